#include "libraries/node/group_hub.h"

#include <utility>

namespace borageloft::node {

GroupHub::GroupHub(ControlChannel& channel) : channel_(channel) {
  channel.Handle(
      wire::Channel::kReplication,
      [this](const std::string& from, const std::string& payload) { Receive(from, payload); });
}

void GroupHub::AddMember(const std::string& group, Handler handler) {
  members_[group] = std::move(handler);
}

void GroupHub::AddClient(const std::string& group, Handler handler) {
  clients_[group] = std::move(handler);
}

void GroupHub::Send(const std::string& to, const GroupMessage& message) {
  channel_.Send(to, wire::Channel::kReplication, EncodeGroupMessage(message));
}

void GroupHub::Receive(const std::string& from, const std::string& payload) {
  const GroupMessage message = DecodeGroupMessage(payload);
  const auto& handlers = std::holds_alternative<ForwardAnswer>(message.body) ? clients_ : members_;
  const auto found = handlers.find(message.group);
  if (found != handlers.end()) {
    found->second(from, message);
  }
}

}  // namespace borageloft::node
