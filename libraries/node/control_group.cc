#include "libraries/node/control_group.h"

#include <algorithm>
#include <future>
#include <utility>

namespace borageloft::node {

namespace {

constexpr base::Duration kProbeInterval = std::chrono::milliseconds(200);

ForwardResult ResultOf(replication::ProposalOutcomeKind kind) {
  switch (kind) {
    case replication::ProposalOutcomeKind::kCommitted:
      return ForwardResult::kCommitted;
    case replication::ProposalOutcomeKind::kNotLeader:
    case replication::ProposalOutcomeKind::kDropped:
    case replication::ProposalOutcomeKind::kRefused:
    case replication::ProposalOutcomeKind::kStorageFailed:
      return ForwardResult::kNoEffect;
    case replication::ProposalOutcomeKind::kUnknown:
      return ForwardResult::kUnknown;
  }
  return ForwardResult::kUnknown;
}

}  // namespace

ControlGroup::ControlGroup(const NodeServices& services, const storage::DataFolder& folder,
                           GroupHub& hub, std::string group, std::vector<std::string> hosts,
                           replication::StateMachine state_machine, PrepareHook prepare)
    : services_(services),
      hub_(hub),
      group_(std::move(group)),
      hosts_(std::move(hosts)),
      prepare_(std::move(prepare)),
      timers_(services.clock),
      storage_(folder, group_) {
  replication::ReplicaHost::Dependencies dependencies;
  dependencies.clock = services.clock;
  dependencies.random = services.random;
  dependencies.timers = &timers_;
  dependencies.storage = storage_.Hooks();
  dependencies.state_machine = std::move(state_machine);
  dependencies.send = [this](consensus::ReplicaId to, std::string bytes) {
    const std::string host = HostOf(to);
    if (!host.empty()) {
      SendTo(host, RaftMessage{host_->status().replica, std::move(bytes)});
    }
  };
  dependencies.on_soft_state = [this](const consensus::SoftState& state) {
    base::Log(base::LogLevel::kInfo, "control_role_changed",
              {{"group", group_},
               {"is_leader", state.role == consensus::Role::kLeader},
               {"leader", HostOf(state.leader)},
               {"term", static_cast<Json::UInt64>(state.term)}});
  };
  host_ = std::make_unique<replication::ReplicaHost>(replication::ReplicaHostOptions{},
                                                     std::move(dependencies));
  hub.AddMember(group_, [this](const std::string& from, const GroupMessage& message) {
    worker_.Post([this, from, message] { Receive(from, message); });
  });
}

ControlGroup::~ControlGroup() {
  std::promise<void> stopped;
  worker_.Post([&] { host_->Shutdown([&] { stopped.set_value(); }); });
  auto future = stopped.get_future();
  while (future.wait_for(std::chrono::milliseconds(10)) != std::future_status::ready) {
    Tick();
  }
  worker_.Stop();
}

void ControlGroup::Start() {
  std::promise<void> started;
  worker_.Post([&] {
    try {
      const auto stored = LoadConsistent(storage_.Hooks());
      if (stored) {
        StartHost({replication::StartMode::kRestart, consensus::kNoReplica, {}});
      } else {
        const std::scoped_lock lock(mutex_);
        stage_ = Stage::kProbing;
      }
      started.set_value();
    } catch (...) {
      started.set_exception(std::current_exception());
    }
  });
  started.get_future().get();
}

void ControlGroup::Tick() {
  // One queued round is enough; more would pile up behind a slow sync.
  if (is_tick_queued_.exchange(true)) {
    return;
  }
  worker_.Post([this] {
    is_tick_queued_ = false;
    Advance(services_.clock());
    timers_.RunDue();
  });
}

ControlGroupStatus ControlGroup::status() const {
  ControlGroupStatus status;
  status.host = host_->status();
  status.leader = HostOf(status.host.soft_state.leader);
  for (const auto& [replica, member] : status.host.membership.members()) {
    status.members.push_back(member.is_voter ? member.host : member.host + "+");
  }
  return status;
}

void ControlGroup::Receive(const std::string& from, const GroupMessage& message) {
  try {
    if (const auto* raft = std::get_if<RaftMessage>(&message.body)) {
      {
        const std::scoped_lock lock(mutex_);
        learned_hosts_[raft->sender] = from;
      }
      host_->Receive(raft->bytes);
    } else if (std::holds_alternative<StateProbe>(message.body)) {
      HandleProbe(from);
    } else if (const auto* answer = std::get_if<StateProbeAnswer>(&message.body)) {
      HandleProbeAnswer(from, *answer);
    } else if (std::holds_alternative<JoinRequest>(message.body)) {
      HandleJoinRequest(from);
    } else if (const auto* join = std::get_if<JoinAnswer>(&message.body)) {
      StartHost({replication::StartMode::kJoin, join->replica, {}});
    } else if (const auto* command = std::get_if<ForwardedCommand>(&message.body)) {
      HandleForward(from, *command);
    }
  } catch (const base::Error& error) {
    base::Log(base::LogLevel::kWarning, "group_message_refused",
              {{"group", group_}, {"from", from}, {"error", error.what()}});
  }
}

void ControlGroup::HandleProbe(const std::string& from) {
  const replication::HostStatus status = host_->status();
  const bool is_running = status.state == replication::HostState::kRunning;
  bool is_empty = false;
  {
    // Before Start() has looked at the files, and while a stored replica is being opened, the host
    // does not know that it is empty; a wrong "empty" would let another host found the group anew.
    const std::scoped_lock lock(mutex_);
    is_empty = stage_ == Stage::kProbing || stage_ == Stage::kJoining;
  }
  // A host whose storage failed has state that it cannot show, so it says nothing.
  if (is_running || (is_empty && status.state == replication::HostState::kCreated)) {
    SendTo(from, StateProbeAnswer{!is_running, status.soft_state.term});
  }
}

void ControlGroup::HandleProbeAnswer(const std::string& from, const StateProbeAnswer& answer) {
  const std::scoped_lock lock(mutex_);
  if (stage_ == Stage::kProbing) {
    answers_[from] = answer;
  }
}

void ControlGroup::HandleJoinRequest(const std::string& from) {
  if (std::find(hosts_.begin(), hosts_.end(), from) == hosts_.end()) {
    return;
  }
  const replication::HostStatus status = host_->status();
  // An id from a change that is not committed may never become a member. The host asks again.
  if (status.has_pending_membership) {
    return;
  }
  // The host asks until it is told; a learner that was added for it already is its own.
  for (const auto& [replica, member] : status.membership.members()) {
    if (member.host == from && !member.is_voter) {
      SendTo(from, JoinAnswer{replica});
      return;
    }
  }
  host_->ProposeMembership(
      {consensus::MembershipChangeKind::kAddLearner, consensus::kNoReplica, from},
      [this, from](const replication::ProposalOutcome& outcome) {
        if (outcome.kind == replication::ProposalOutcomeKind::kCommitted) {
          SendTo(from, JoinAnswer{outcome.assigned});
        }
      });
}

void ControlGroup::HandleForward(const std::string& from, const ForwardedCommand& command) {
  std::optional<std::string> prepared = prepare_ ? prepare_(command.command) : command.command;
  if (!prepared) {
    SendTo(from, ForwardAnswer{command.request, ForwardResult::kNoEffect, "", ""});
    return;
  }
  host_->Propose(std::move(*prepared), [this, from, request = command.request](
                                           const replication::ProposalOutcome& outcome) {
    SendTo(from, ForwardAnswer{request, ResultOf(outcome.kind), HostOf(outcome.leader_hint),
                               outcome.result});
  });
}

// Decides how a host without stored state starts.
void ControlGroup::Advance(base::TimePoint now) {
  std::vector<std::string> others;
  bool is_founding = false;
  bool is_joining = false;
  {
    const std::scoped_lock lock(mutex_);
    if (stage_ != Stage::kProbing && stage_ != Stage::kJoining) {
      return;
    }
    std::copy_if(hosts_.begin(), hosts_.end(), std::back_inserter(others),
                 [this](const std::string& host) { return host != services_.settings.node; });
    const bool has_begun = std::any_of(answers_.begin(), answers_.end(), [](const auto& entry) {
      return !entry.second.is_empty && entry.second.term > 0;
    });
    is_founding = answers_.size() == others.size() && !has_begun;
    is_joining = has_begun;
    if (!is_founding && now < next_probe_) {
      return;
    }
    next_probe_ = now + kProbeInterval;
    if (is_joining) {
      stage_ = Stage::kJoining;
    }
  }
  if (is_founding) {
    const auto place = std::find(hosts_.begin(), hosts_.end(), services_.settings.node);
    // OfVoters() numbers the hosts from 1 in the given order.
    const auto replica = static_cast<consensus::ReplicaId>(place - hosts_.begin()) + 1;
    StartHost(
        {replication::StartMode::kBootstrap, replica, consensus::Membership::OfVoters(hosts_)});
    return;
  }
  for (const std::string& host : others) {
    SendTo(host, is_joining ? GroupMessageBody(JoinRequest{}) : GroupMessageBody(StateProbe{}));
  }
}

void ControlGroup::StartHost(const replication::StartPlan& plan) {
  {
    const std::scoped_lock lock(mutex_);
    if (stage_ == Stage::kRunning) {
      return;
    }
    stage_ = Stage::kRunning;
  }
  host_->Start(plan);
  base::Log(base::LogLevel::kInfo, "control_group_started",
            {{"group", group_},
             {"mode", plan.mode == replication::StartMode::kRestart     ? "restart"
                      : plan.mode == replication::StartMode::kBootstrap ? "bootstrap"
                                                                        : "join"}});
}

std::string ControlGroup::HostOf(consensus::ReplicaId replica) const {
  if (replica == consensus::kNoReplica) {
    return "";
  }
  const replication::HostStatus status = host_->status();
  const auto found = status.membership.members().find(replica);
  if (found != status.membership.members().end()) {
    return found->second.host;
  }
  // A learner that has no entries yet knows the leader only from its messages.
  const std::scoped_lock lock(mutex_);
  const auto learned = learned_hosts_.find(replica);
  return learned == learned_hosts_.end() ? "" : learned->second;
}

void ControlGroup::SendTo(const std::string& host, GroupMessageBody body) {
  hub_.Send(host, {group_, std::move(body)});
}

}  // namespace borageloft::node
