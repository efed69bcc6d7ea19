#include "libraries/consensus/replica.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "libraries/consensus/error.h"
#include "libraries/consensus/limits.h"

namespace borageloft::consensus {

namespace {

PersistedState Checked(PersistedState state) {
  if (state.hard_state.replica == kNoReplica) {
    throw ConsensusError(
        "persisted state has no replica id; a host that lost its disk must join as a learner");
  }
  if (!state.snapshot) {
    throw ConsensusError("persisted state has no snapshot");
  }
  return state;
}

ReplicaOptions Clamped(ReplicaOptions options) {
  // An append request must fit into kMaxMessageBytes even with one further command of
  // kMaxCommandBytes.
  options.max_append_bytes = std::min(options.max_append_bytes, kMaxCommandBytes / 2);
  options.snapshot_chunk_bytes =
      std::clamp<std::size_t>(options.snapshot_chunk_bytes, 1, kMaxChunkBytes);
  return options;
}

}  // namespace

Replica::Replica(ReplicaOptions options, base::Random random, PersistedState state,
                 base::TimePoint now)
    : options_(Clamped(options)),
      random_(std::move(random)),
      now_(now),
      hard_state_(Checked(state).hard_state),
      durable_hard_state_(hard_state_),
      log_(state.snapshot, std::move(state.entries)),
      stable_(log_.last_index()),
      applied_(log_.snapshot()->index),
      last_contact_(now),
      reported_soft_state_{Role::kFollower, kNoReplica, hard_state_.term} {
  if (log_.last_term() > hard_state_.term) {
    throw ConsensusError("stored log has a higher term than the stored hard state");
  }
  SetElectionTimer(options_.pre_vote_delay, options_.pre_vote_spread);
}

void Replica::Tick(base::TimePoint now) {
  now_ = std::max(now_, now);
  if (role_ == Role::kLeader) {
    TickLeader();
    return;
  }
  if (now_ < election_due_) {
    return;
  }
  if (log_.membership().IsVoter(id())) {
    Campaign(/*is_pre_vote=*/true, /*is_transfer=*/false);
  } else {
    // A learner does not campaign; without this it would follow a leader that it no longer hears.
    leader_ = kNoReplica;
    ResetElectionTimer();
  }
}

void Replica::Step(Message message) {
  if (message.to != id() || message.from == id() || message.from == kNoReplica ||
      message.term == 0) {
    return;
  }
  if (message.term < term()) {
    AnswerStaleTerm(message);
    return;
  }
  if (message.term > term() && !AdoptTerm(message)) {
    return;
  }
  std::visit([&](auto& body) { Handle(message.from, message.term, body); }, message.body);
}

std::optional<Ready> Replica::TakeReady() {
  VERIFY(!is_ready_outstanding_);
  if (role_ == Role::kLeader) {
    StartReadRound();
    SendAppends();
  }
  Ready ready;
  if (hard_state_ != durable_hard_state_) {
    ready.hard_state = hard_state_;
  }
  ready.snapshot = std::exchange(pending_snapshot_, nullptr);
  ready.entries =
      log_.Slice(stable_ + 1, log_.last_index(), std::numeric_limits<std::size_t>::max());
  ready.messages = std::exchange(messages_, {});
  ready.committed = log_.Slice(applied_ + 1, log_.commit(), options_.max_apply_bytes);
  ready.read_states = std::exchange(read_states_, {});
  const SoftState soft_state{role_, leader_, term()};
  if (soft_state != reported_soft_state_) {
    ready.soft_state = soft_state;
    reported_soft_state_ = soft_state;
  }
  if (!ready.hard_state && !ready.snapshot && ready.entries.empty() && ready.messages.empty() &&
      ready.committed.empty() && ready.read_states.empty() && !ready.soft_state) {
    return std::nullopt;
  }
  ready.receipt.hard_state = ready.hard_state;
  if (!ready.entries.empty()) {
    ready.receipt.persisted_index = ready.entries.back().index;
  }
  ready.receipt.applied_index = ready.committed.empty() ? applied_ : ready.committed.back().index;
  is_ready_outstanding_ = true;
  replaced_from_ = std::numeric_limits<Index>::max();
  return ready;
}

void Replica::Advance(const ReadyReceipt& receipt) {
  VERIFY(is_ready_outstanding_);
  is_ready_outstanding_ = false;
  if (receipt.hard_state) {
    durable_hard_state_ = *receipt.hard_state;
  }
  // Entries that were replaced while they were being written do not count as durable. Entries
  // before them do, and must not be written again: a rewrite first truncates the stored log and
  // would temporarily remove entries that were already acknowledged.
  stable_ = std::max(stable_, std::min(receipt.persisted_index, replaced_from_ - 1));
  applied_ = std::max(applied_, receipt.applied_index);
  VERIFY(applied_ <= log_.commit());
  VERIFY(stable_ <= log_.last_index());
  if (role_ == Role::kLeader) {
    AdvanceCommit();
  }
}

SnapshotPointer Replica::MakeSnapshot(Index index, std::string data) const {
  VERIFY(index >= snapshot_index() && index <= applied_);
  VERIFY(data.size() <= kMaxSnapshotBytes);
  return std::make_shared<const Snapshot>(
      Snapshot{index, *log_.TermAt(index), log_.MembershipAt(index), std::move(data)});
}

void Replica::Compact(SnapshotPointer snapshot) {
  if (snapshot->index > snapshot_index()) {
    log_.Compact(std::move(snapshot), options_.retained_entries, options_.retained_bytes);
  }
}

void Replica::Send(ReplicaId to, MessageBody body) { SendInTerm(to, term(), std::move(body)); }

void Replica::SendInTerm(ReplicaId to, Term term, MessageBody body) {
  messages_.push_back({id(), to, term, std::move(body)});
}

}  // namespace borageloft::consensus
