#include <algorithm>
#include <limits>
#include <mutex>
#include <utility>

#include "libraries/replication/replica_host.h"

namespace borageloft::replication {

using consensus::Entry;
using consensus::EntryKind;
using consensus::Index;
using consensus::Ready;

void ReplicaHost::RunPersistLoop() noexcept {
  {
    const std::scoped_lock lock(mutex_);
    if (is_loop_running_) {
      // The thread that runs the loop checks for work again before it ends.
      return;
    }
    is_loop_running_ = true;
  }
  while (true) {
    std::optional<Ready> ready;
    bool reopens = false;
    {
      const std::scoped_lock lock(mutex_);
      if (replica_) {
        ready = replica_->TakeReady();
      }
      reopens =
          state_ == HostState::kFailed && !is_stopping_ && dependencies_.clock() >= reopen_at_;
      if (!ready && !reopens) {
        is_loop_running_ = false;
        break;
      }
    }
    if (ready) {
      ProcessReady(*ready);
    } else {
      Reopen();
    }
  }
  FinishShutdown();
}

void ReplicaHost::ProcessReady(const Ready& ready) {
  try {
    Persist(ready);
  } catch (const std::exception& error) {
    Fail(error.what(), ready.entries.empty() ? last_stored_index_ : ready.entries.back().index);
    return;
  }
  for (const consensus::Message& message : ready.messages) {
    try {
      dependencies_.send(message.to, consensus::EncodeMessage(message));
    } catch (const std::exception& error) {
      base::Log(base::LogLevel::kDebug, "consensus_send_failed", {{"error", error.what()}});
    }
  }
  const std::vector<AppliedEntry> applied = Apply(ready);
  Completions completions;
  {
    const std::scoped_lock lock(mutex_);
    Complete(ready, applied, completions);
    CompleteReads(ready, completions);
    replica_->Advance(ready.receipt);
  }
  for (const auto& complete : completions) {
    complete();
  }
  if (ready.soft_state) {
    base::Log(base::LogLevel::kInfo, "consensus_role",
              {{"leader", Json::UInt64{ready.soft_state->leader}},
               {"is_leader", ready.soft_state->role == consensus::Role::kLeader},
               {"term", Json::UInt64{ready.soft_state->term}}});
    if (dependencies_.on_soft_state) {
      dependencies_.on_soft_state(*ready.soft_state);
    }
  }
  TakeSnapshot();
}

void ReplicaHost::Persist(const Ready& ready) {
  const ReplicaStorage& storage = dependencies_.storage;
  if (ready.hard_state) {
    storage.save_hard_state(*ready.hard_state);
  }
  if (ready.snapshot) {
    // A crash between the two steps of the installation is repaired by LoadConsistent().
    storage.install_snapshot(*ready.snapshot);
    last_stored_index_ = ready.snapshot->index;
  }
  if (ready.entries.empty()) {
    return;
  }
  const Index first = ready.entries.front().index;
  if (first <= last_stored_index_) {
    storage.truncate(first);
  }
  storage.append(ready.entries);
  last_stored_index_ = ready.entries.back().index;
  const std::scoped_lock lock(mutex_);
  ++counters_.appends;
  counters_.appended_entries += ready.entries.size();
}

std::vector<ReplicaHost::AppliedEntry> ReplicaHost::Apply(const Ready& ready) {
  // After the storage was reopened, the replica returns entries again that are already applied.
  Index applied = applied_;
  if (ready.snapshot && ready.snapshot->index > applied) {
    dependencies_.state_machine.restore(ready.snapshot->data);
    applied = ready.snapshot->index;
  }
  std::vector<AppliedEntry> result;
  result.reserve(ready.committed.size());
  for (const Entry& entry : ready.committed) {
    if (entry.index <= applied) {
      continue;
    }
    VERIFY(entry.index == applied + 1);
    applied = entry.index;
    result.push_back({entry.index, entry.term,
                      entry.kind == EntryKind::kCommand
                          ? dependencies_.state_machine.apply(entry.index, entry.data)
                          : std::string()});
  }
  return result;
}

void ReplicaHost::Complete(const Ready& ready, const std::vector<AppliedEntry>& applied,
                           Completions& completions) {
  if (ready.snapshot && ready.snapshot->index > applied_) {
    applied_ = ready.snapshot->index;
    // The snapshot does not show which of these proposals it includes.
    for (PendingProposal& proposal : proposals_.TakeUpTo(applied_)) {
      CompleteAs(ProposalOutcomeKind::kUnknown, std::move(proposal.callback), completions);
    }
  }
  for (const AppliedEntry& entry : applied) {
    applied_ = entry.index;
    for (PendingProposal& proposal : proposals_.TakeUpTo(entry.index)) {
      ProposalOutcome outcome;
      outcome.index = entry.index;
      outcome.leader_hint = replica_->leader();
      if (proposal.term == entry.term) {
        outcome.kind = ProposalOutcomeKind::kCommitted;
        outcome.result = entry.result;
        outcome.assigned = proposal.assigned;
      } else {
        // Another entry was committed at its index, so the proposal can never be committed.
        outcome.kind = ProposalOutcomeKind::kDropped;
      }
      completions.push_back([callback = std::move(proposal.callback),
                             outcome = std::move(outcome)] { callback(outcome); });
    }
  }
}

void ReplicaHost::CompleteReads(const Ready& ready, Completions& completions) {
  for (const consensus::ReadState& state : ready.read_states) {
    const auto found = reads_.find(state.context);
    if (found == reads_.end()) {
      continue;
    }
    if (state.is_confirmed) {
      confirmed_reads_.emplace(state.index, std::move(found->second));
    } else {
      const ReadOutcome outcome{ReadOutcomeKind::kNotLeader, replica_->leader()};
      completions.push_back([callback = std::move(found->second), outcome] { callback(outcome); });
    }
    reads_.erase(found);
  }
  const auto end = confirmed_reads_.upper_bound(applied_);
  for (auto it = confirmed_reads_.begin(); it != end; ++it) {
    const ReadOutcome outcome{ReadOutcomeKind::kReady, replica_->leader()};
    completions.push_back([callback = std::move(it->second), outcome] { callback(outcome); });
  }
  confirmed_reads_.erase(confirmed_reads_.begin(), end);
}

void ReplicaHost::TakeSnapshot() {
  {
    const std::scoped_lock lock(mutex_);
    const bool is_due = applied_ >= replica_->snapshot_index() + options_.snapshot_interval ||
                        replica_->bytes_since_snapshot() >= options_.snapshot_log_bytes;
    if (!is_due || replica_->applied() != applied_ || applied_ == replica_->snapshot_index()) {
      return;
    }
  }
  std::string data = dependencies_.state_machine.snapshot();
  consensus::SnapshotPointer snapshot;
  {
    const std::scoped_lock lock(mutex_);
    // A snapshot of the leader may have been installed meanwhile, which makes this one obsolete.
    if (applied_ <= replica_->snapshot_index()) {
      return;
    }
    snapshot = replica_->MakeSnapshot(applied_, std::move(data));
  }
  try {
    dependencies_.storage.save_snapshot(*snapshot);
  } catch (const std::exception& error) {
    Fail(error.what(), last_stored_index_);
    return;
  }
  const std::scoped_lock lock(mutex_);
  replica_->Compact(std::move(snapshot));
}

void ReplicaHost::Fail(const std::string& reason, Index last_possibly_stored) {
  base::Log(base::LogLevel::kError, "consensus_storage_failed", {{"error", reason}});
  Completions completions;
  std::optional<consensus::SoftState> soft_state;
  {
    const std::scoped_lock lock(mutex_);
    soft_state =
        consensus::SoftState{consensus::Role::kFollower, consensus::kNoReplica, replica_->term()};
    // The replica's in-memory state is ahead of its disk, so it must neither send nor vote.
    replica_.reset();
    state_ = HostState::kFailed;
    reopen_at_ = dependencies_.clock() + options_.reopen_interval;
    ++counters_.storage_failures;
    AbandonAll(last_possibly_stored, ReadOutcomeKind::kStorageFailed, completions);
  }
  for (const auto& complete : completions) {
    complete();
  }
  if (dependencies_.on_soft_state) {
    dependencies_.on_soft_state(*soft_state);
  }
}

void ReplicaHost::AbandonAll(Index last_possibly_stored, ReadOutcomeKind read_outcome,
                             Completions& completions) {
  // Entries above this index were neither passed to the storage nor sent, so they cannot take
  // effect.
  for (PendingProposal& proposal : proposals_.TakeAbove(last_possibly_stored)) {
    CompleteAs(ProposalOutcomeKind::kStorageFailed, std::move(proposal.callback), completions);
  }
  for (PendingProposal& proposal : proposals_.TakeUpTo(last_possibly_stored)) {
    CompleteAs(ProposalOutcomeKind::kUnknown, std::move(proposal.callback), completions);
  }
  const ReadOutcome outcome{read_outcome, consensus::kNoReplica};
  for (auto& [context, callback] : reads_) {
    completions.push_back([callback = std::move(callback), outcome] { callback(outcome); });
  }
  for (auto& [index, callback] : confirmed_reads_) {
    completions.push_back([callback = std::move(callback), outcome] { callback(outcome); });
  }
  reads_.clear();
  confirmed_reads_.clear();
}

void ReplicaHost::Reopen() {
  std::string reason = "data folder is empty";
  try {
    if (auto state = LoadConsistent(dependencies_.storage)) {
      if (state->snapshot->index > applied_) {
        dependencies_.state_machine.restore(state->snapshot->data);
        const std::scoped_lock lock(mutex_);
        applied_ = state->snapshot->index;
      }
      Open(std::move(*state));
      base::Log(base::LogLevel::kInfo, "consensus_storage_reopened");
      return;
    }
  } catch (const std::exception& error) {
    reason = error.what();
  }
  base::Log(base::LogLevel::kError, "consensus_storage_failed", {{"error", reason}});
  const std::scoped_lock lock(mutex_);
  ++counters_.storage_failures;
  reopen_at_ = dependencies_.clock() + options_.reopen_interval;
}

void ReplicaHost::Open(consensus::PersistedState state) {
  last_stored_index_ = state.snapshot->index;
  if (!state.entries.empty()) {
    last_stored_index_ = std::max(last_stored_index_, state.entries.back().index);
  }
  const std::scoped_lock lock(mutex_);
  replica_.emplace(options_.replica, dependencies_.random, std::move(state), dependencies_.clock());
  id_ = replica_->id();
  state_ = HostState::kRunning;
}

void ReplicaHost::FinishShutdown() {
  Completions completions;
  {
    const std::scoped_lock lock(mutex_);
    const bool is_leader = replica_ && replica_->is_leader();
    if (!is_stopping_ || is_loop_running_ || state_ == HostState::kStopped ||
        (is_leader && dependencies_.clock() < stop_deadline_)) {
      return;
    }
    replica_.reset();
    state_ = HostState::kStopped;
    AbandonAll(std::numeric_limits<Index>::max(), ReadOutcomeKind::kNotLeader, completions);
    if (on_stopped_) {
      completions.push_back(std::exchange(on_stopped_, nullptr));
    }
  }
  for (const auto& complete : completions) {
    complete();
  }
}

}  // namespace borageloft::replication
