#include "libraries/node/group_client.h"

#include <algorithm>
#include <future>
#include <memory>
#include <utility>

namespace borageloft::node {

GroupClient::GroupClient(const NodeServices& services, GroupHub& hub, std::string group,
                         std::vector<std::string> hosts)
    : services_(services),
      hub_(hub),
      group_(std::move(group)),
      hosts_(std::move(hosts)),
      target_(hosts_.at(services.random() % hosts_.size())),
      // Random, so that an answer to an earlier life of this process finds no request.
      next_request_(services.random()) {
  hub.AddClient(group_, [this](const std::string& from, const GroupMessage& message) {
    Receive(from, std::get<ForwardAnswer>(message.body));
  });
}

void GroupClient::Send(std::string command, base::TimePoint deadline, CommandCallback callback) {
  std::string target;
  GroupMessage message{group_, ForwardedCommand{0, command}};
  {
    const std::scoped_lock lock(mutex_);
    const std::uint64_t request = next_request_++;
    std::get<ForwardedCommand>(message.body).request = request;
    pending_.emplace(
        request, Pending{std::move(command), deadline, services_.clock() + kAnswerTimeout, false,
                         true, std::move(callback)});
    target = target_;
  }
  hub_.Send(target, message);
}

CommandOutcome GroupClient::SendAndWait(std::string command, base::TimePoint deadline) {
  auto promise = std::make_shared<std::promise<CommandOutcome>>();
  auto future = promise->get_future();
  Send(std::move(command), deadline,
       [promise](const CommandOutcome& outcome) { promise->set_value(outcome); });
  return future.get();
}

void GroupClient::Tick() {
  const base::TimePoint now = services_.clock();
  std::vector<GroupMessage> messages;
  std::vector<std::pair<CommandCallback, CommandOutcome>> ended;
  std::string target;
  {
    const std::scoped_lock lock(mutex_);
    bool has_silent_host = false;
    for (auto entry = pending_.begin(); entry != pending_.end();) {
      Pending& pending = entry->second;
      // A command that was sent and not answered may have been carried out.
      const bool may_take_effect = pending.may_take_effect || pending.is_awaited;
      if (now >= pending.deadline) {
        ended.emplace_back(
            std::move(pending.callback),
            CommandOutcome{may_take_effect ? ForwardResult::kUnknown : ForwardResult::kNoEffect,
                           ""});
        entry = pending_.erase(entry);
        continue;
      }
      if (now >= pending.next_send) {
        has_silent_host = has_silent_host || pending.is_awaited;
        pending.may_take_effect = may_take_effect;
        pending.is_awaited = true;
        pending.next_send = now + kAnswerTimeout;
        messages.push_back({group_, ForwardedCommand{entry->first, pending.command}});
      }
      ++entry;
    }
    if (has_silent_host) {
      MoveToNextHost();
    }
    target = target_;
  }
  for (const GroupMessage& message : messages) {
    hub_.Send(target, message);
  }
  for (const auto& [callback, outcome] : ended) {
    callback(outcome);
  }
}

void GroupClient::Receive(const std::string& from, const ForwardAnswer& answer) {
  CommandCallback callback;
  {
    const std::scoped_lock lock(mutex_);
    const auto found = pending_.find(answer.request);
    if (found == pending_.end()) {
      return;
    }
    Pending& pending = found->second;
    if (answer.result == ForwardResult::kCommitted) {
      callback = std::move(pending.callback);
      pending_.erase(found);
      target_ = from;
    } else {
      pending.may_take_effect = pending.may_take_effect || answer.result == ForwardResult::kUnknown;
      pending.is_awaited = false;
      pending.next_send = services_.clock() + kRetryPause;
      const bool has_other_leader =
          answer.leader != from &&
          std::find(hosts_.begin(), hosts_.end(), answer.leader) != hosts_.end();
      if (from == target_ && has_other_leader) {
        target_ = answer.leader;
        pending.next_send = services_.clock();
      } else if (from == target_) {
        MoveToNextHost();
      }
    }
  }
  if (callback) {
    callback({ForwardResult::kCommitted, answer.value});
  }
}

void GroupClient::MoveToNextHost() {
  const auto current = std::find(hosts_.begin(), hosts_.end(), target_);
  const auto next = current == hosts_.end() ? hosts_.begin() : std::next(current);
  target_ = next == hosts_.end() ? hosts_.front() : *next;
}

}  // namespace borageloft::node
