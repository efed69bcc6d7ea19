#include "libraries/replication/replica_host.h"

#include <algorithm>
#include <limits>
#include <memory>
#include <mutex>
#include <utility>

#include "libraries/replication/error.h"
#include "libraries/replication/membership_repair.h"

namespace borageloft::replication {

using consensus::MembershipChange;
using consensus::MembershipChangeKind;
using consensus::PersistedState;
using consensus::ProposalStatus;

ReplicaHost::ReplicaHost(ReplicaHostOptions options, Dependencies dependencies)
    : options_(std::move(options)), dependencies_(std::move(dependencies)) {
  VERIFY(dependencies_.clock && dependencies_.random && dependencies_.timers != nullptr &&
         dependencies_.send);
}

ReplicaHost::~ReplicaHost() {
  if (subscription_) {
    dependencies_.timers->Unsubscribe(*subscription_);
  }
  Completions completions;
  {
    const std::scoped_lock lock(mutex_);
    AbandonAll(std::numeric_limits<consensus::Index>::max(), ReadOutcomeKind::kNotLeader,
               completions);
  }
  for (const auto& complete : completions) {
    complete();
  }
}

void ReplicaHost::Start(const StartPlan& plan) {
  VERIFY(state_ == HostState::kCreated);
  const ReplicaStorage& storage = dependencies_.storage;
  try {
    std::optional<PersistedState> state = LoadConsistent(storage);
    if (plan.mode == StartMode::kRestart && !state) {
      throw ReplicationError(
          "data folder is empty: a control host that lost its disk must be added as a learner "
          "and start with the replica id that the group assigns");
    }
    if (plan.mode == StartMode::kBootstrap && state) {
      throw ReplicationError("data folder is in use: a group is bootstrapped only once");
    }
    if (plan.mode == StartMode::kJoin && state && state->hard_state.replica != plan.replica) {
      throw ReplicationError("data folder belongs to another replica id");
    }
    if (!state) {
      state = plan.mode == StartMode::kBootstrap
                  ? PersistedState::ForBootstrap(plan.replica, plan.membership)
                  : PersistedState::ForJoin(plan.replica);
      // The snapshot marks the folder as in use, so it is saved last.
      storage.save_hard_state(state->hard_state);
      storage.save_snapshot(*state->snapshot);
    }
    dependencies_.state_machine.restore(state->snapshot->data);
    {
      // status() may be called while the replica starts.
      const std::scoped_lock lock(mutex_);
      applied_ = state->snapshot->index;
    }
    Open(std::move(*state));
  } catch (const ReplicationError&) {
    throw;
  } catch (const std::exception& error) {
    throw ReplicationError(std::string("cannot start the replica: ") + error.what());
  }
  subscription_ = dependencies_.timers->SubscribeEvery(options_.tick_interval,
                                                       [this](base::TimePoint) { Tick(); });
}

void ReplicaHost::Propose(std::string command, ProposalCallback callback) {
  Completions completions;
  {
    const std::scoped_lock lock(mutex_);
    if (replica_ && !is_stopping_) {
      TrackProposal(replica_->Propose(std::move(command)), std::move(callback), completions);
    } else {
      CompleteUnavailable(std::move(callback), completions);
    }
  }
  for (const auto& complete : completions) {
    complete();
  }
  RunPersistLoop();
}

void ReplicaHost::ProposeMembership(const MembershipChange& change, ProposalCallback callback) {
  Completions completions;
  {
    const std::scoped_lock lock(mutex_);
    if (replica_ && !is_stopping_) {
      TrackProposal(replica_->ProposeMembership(change), std::move(callback), completions);
    } else {
      CompleteUnavailable(std::move(callback), completions);
    }
  }
  for (const auto& complete : completions) {
    complete();
  }
  RunPersistLoop();
}

void ReplicaHost::Read(ReadCallback callback) {
  ReadOutcome refusal;
  {
    const std::scoped_lock lock(mutex_);
    if (replica_ && replica_->RequestRead(next_read_context_)) {
      reads_.emplace(next_read_context_, std::exchange(callback, nullptr));
      ++next_read_context_;
    } else if (replica_) {
      refusal.kind =
          replica_->is_leader() ? ReadOutcomeKind::kOverloaded : ReadOutcomeKind::kNotLeader;
      refusal.leader_hint = replica_->leader();
    } else if (state_ == HostState::kFailed) {
      refusal.kind = ReadOutcomeKind::kStorageFailed;
    }
  }
  if (callback) {
    callback(refusal);
  }
  RunPersistLoop();
}

void ReplicaHost::Receive(std::string_view bytes) {
  consensus::Message message;
  try {
    message = consensus::DecodeMessage(bytes);
  } catch (const consensus::ConsensusError& error) {
    throw ReplicationError(std::string("cannot decode a consensus message: ") + error.what());
  }
  {
    const std::scoped_lock lock(mutex_);
    if (!replica_) {
      return;
    }
    replica_->Tick(dependencies_.clock());
    replica_->Step(std::move(message));
  }
  RunPersistLoop();
}

void ReplicaHost::NoteStopping(consensus::ReplicaId replica) {
  const std::scoped_lock lock(mutex_);
  stopping_since_[replica] = dependencies_.clock();
}

void ReplicaHost::Shutdown(std::function<void()> done) {
  {
    const std::scoped_lock lock(mutex_);
    is_stopping_ = true;
    on_stopped_ = std::move(done);
    stop_deadline_ = dependencies_.clock() + options_.replica.election_timeout;
    if (replica_) {
      replica_->TransferLeadership();
    }
  }
  RunPersistLoop();
}

HostStatus ReplicaHost::status() const {
  const std::scoped_lock lock(mutex_);
  HostStatus status = counters_;
  status.state = state_;
  status.applied = applied_;
  status.replica = id_;
  if (replica_) {
    status.soft_state = {replica_->role(), replica_->leader(), replica_->term()};
    status.commit = replica_->commit();
    status.applied_term = replica_->TermAt(applied_).value_or(0);
    status.snapshot_index = replica_->snapshot_index();
    status.log_bytes = replica_->log_bytes();
    status.membership = replica_->membership();
    status.has_pending_membership = replica_->HasPendingMembership();
  }
  return status;
}

void ReplicaHost::Tick() {
  Completions completions;
  std::optional<MembershipChange> repair;
  {
    const std::scoped_lock lock(mutex_);
    const base::TimePoint now = dependencies_.clock();
    if (replica_) {
      replica_->Tick(now);
      if (options_.promotes_learners && !is_stopping_) {
        repair = RepairMembership(now);
      }
    }
    for (PendingProposal& proposal : proposals_.TakeExpired(now)) {
      CompleteAs(ProposalOutcomeKind::kUnknown, std::move(proposal.callback), completions);
    }
  }
  if (repair) {
    base::Log(base::LogLevel::kInfo, "consensus_membership_repair",
              {{"change", repair->kind == MembershipChangeKind::kRemove ? "remove" : "promote"},
               {"replica", Json::UInt64{repair->replica}}});
  }
  for (const auto& complete : completions) {
    complete();
  }
  RunPersistLoop();
}

// A voter that is lost together with the leader must not gain time by the election: unless it
// answers the new leader, its silence counts from the last contact to the previous one.
void ReplicaHost::UpdateContacts(base::TimePoint now) {
  if (!replica_->is_leader()) {
    last_contact_.clear();
    last_led_ = std::max(last_led_, replica_->last_leader_contact());
    return;
  }
  const bool is_new_leader = last_contact_.empty();
  for (const auto& [replica, member] : replica_->membership().members()) {
    const base::TimePoint begin = is_new_leader && member.is_voter ? last_led_ : now;
    base::TimePoint& contact = last_contact_.try_emplace(replica, begin).first->second;
    contact = std::max(contact, replica_->HeardAt(replica).value_or(contact));
  }
  last_led_ = now;
}

std::optional<MembershipChange> ReplicaHost::RepairMembership(base::TimePoint now) {
  std::erase_if(stopping_since_, [&](const auto& entry) {
    return now - entry.second >= options_.stop_notice_lifetime;
  });
  UpdateContacts(now);
  if (!replica_->is_leader() || replica_->HasPendingMembership()) {
    return std::nullopt;
  }
  RepairView view;
  view.membership = replica_->membership();
  view.leader = replica_->id();
  view.target_voters = options_.target_voters;
  view.replace_after = options_.replace_after;
  view.forget_after = options_.forget_after;
  view.address_of = options_.address_of;
  view.is_reachable = [this](consensus::ReplicaId replica) {
    return replica_->IsReachable(replica);
  };
  view.is_stopping = [this](consensus::ReplicaId replica) {
    return stopping_since_.contains(replica);
  };
  view.has_caught_up = [this](consensus::ReplicaId replica) {
    return replica_->HasCaughtUp(replica);
  };
  view.time_since_contact = [this, now](consensus::ReplicaId replica) {
    return now - last_contact_.at(replica);
  };
  std::optional<MembershipChange> change = PlanRepair(view);
  if (!change || replica_->ProposeMembership(*change).status != ProposalStatus::kAppended) {
    return std::nullopt;
  }
  return change;
}

void ReplicaHost::TrackProposal(const consensus::ProposalResult& result, ProposalCallback callback,
                                Completions& completions) {
  if (result.status == ProposalStatus::kAppended) {
    proposals_.Add({result.index, result.term, result.assigned,
                    dependencies_.clock() + options_.proposal_timeout, std::move(callback)});
    return;
  }
  ProposalOutcome outcome{ProposalOutcomeKind::kRefused, "",           replica_->leader(), 0,
                          consensus::kNoReplica,         result.status};
  if (result.status == ProposalStatus::kNotLeader) {
    outcome.kind = ProposalOutcomeKind::kNotLeader;
  } else if (result.status == ProposalStatus::kDropped) {
    outcome.kind = ProposalOutcomeKind::kDropped;
  }
  completions.push_back([callback = std::move(callback), outcome] { callback(outcome); });
}

void ReplicaHost::CompleteAs(ProposalOutcomeKind kind, ProposalCallback callback,
                             Completions& completions) {
  ProposalOutcome outcome;
  outcome.kind = kind;
  completions.push_back([callback = std::move(callback), outcome] { callback(outcome); });
}

void ReplicaHost::CompleteUnavailable(ProposalCallback callback, Completions& completions) const {
  ProposalOutcome outcome;
  outcome.kind = state_ == HostState::kFailed ? ProposalOutcomeKind::kStorageFailed
                 : is_stopping_               ? ProposalOutcomeKind::kDropped
                                              : ProposalOutcomeKind::kNotLeader;
  outcome.leader_hint = replica_ ? replica_->leader() : consensus::kNoReplica;
  completions.push_back([callback = std::move(callback), outcome] { callback(outcome); });
}

}  // namespace borageloft::replication
