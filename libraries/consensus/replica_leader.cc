#include <algorithm>
#include <utility>

#include "libraries/consensus/codec.h"
#include "libraries/consensus/limits.h"
#include "libraries/consensus/replica.h"

namespace borageloft::consensus {

ProposalResult Replica::Propose(std::string command) {
  if (role_ != Role::kLeader) {
    return {ProposalStatus::kNotLeader};
  }
  if (command.size() > kMaxCommandBytes) {
    return {ProposalStatus::kTooLarge};
  }
  if (transfer_target_ != kNoReplica ||
      log_.BytesAfter(log_.commit()) + command.size() > options_.max_uncommitted_bytes) {
    return {ProposalStatus::kDropped};
  }
  AppendEntry(EntryKind::kCommand, std::move(command));
  return {ProposalStatus::kAppended, log_.last_index(), term()};
}

ProposalResult Replica::ProposeMembership(const MembershipChange& change) {
  if (role_ != Role::kLeader) {
    return {ProposalStatus::kNotLeader};
  }
  if (transfer_target_ != kNoReplica) {
    return {ProposalStatus::kDropped};
  }
  // Until an entry of this term is committed, an uncommitted change of an earlier leader may still
  // be in effect on other replicas, and two concurrent changes can form disjoint majorities.
  if (HasPendingMembership() || log_.TermAt(log_.commit()) != term()) {
    return {ProposalStatus::kChangePending};
  }
  if (!log_.membership().IsValid(change)) {
    return {ProposalStatus::kInvalidChange};
  }
  if (change.kind == MembershipChangeKind::kPromoteLearner && !HasCaughtUp(change.replica)) {
    return {ProposalStatus::kNotCaughtUp};
  }
  const Membership after = log_.membership().After(change);
  if (!HasActiveQuorum(after)) {
    return {ProposalStatus::kQuorumAtRisk};
  }
  AppendEntry(EntryKind::kMembership, EncodeMembership(after));
  SyncProgress();
  ProposalResult result{ProposalStatus::kAppended, log_.last_index(), term()};
  if (change.kind == MembershipChangeKind::kAddLearner) {
    result.assigned = after.next_id() - 1;
  }
  return result;
}

bool Replica::RequestRead(std::uint64_t context) {
  return role_ == Role::kLeader && reads_.Add(context);
}

bool Replica::TransferLeadership(ReplicaId target) {
  if (role_ != Role::kLeader) {
    return false;
  }
  if (target == kNoReplica) {
    Index best = 0;
    for (const auto& [replica, progress] : progress_) {
      if (log_.membership().IsVoter(replica) && IsActive(replica) && progress.match() >= best) {
        best = progress.match();
        target = replica;
      }
    }
  }
  if (target == id() || !log_.membership().IsVoter(target)) {
    return false;
  }
  transfer_target_ = target;
  transfer_due_ = now_ + options_.election_timeout;
  ContinueTransfer();
  return true;
}

bool Replica::HasCaughtUp(ReplicaId replica) const {
  const auto found = progress_.find(replica);
  return found != progress_.end() && IsActive(replica) &&
         found->second.mode() == Progress::Mode::kReplicate &&
         found->second.match() + options_.catch_up_entries >= log_.last_index();
}

void Replica::AppendEntry(EntryKind kind, std::string data) {
  log_.Append({term(), log_.last_index() + 1, kind, std::move(data)});
}

void Replica::TickLeader() {
  if (!HasActiveQuorum(log_.membership())) {
    BecomeFollower(term(), kNoReplica);
    return;
  }
  if (transfer_target_ != kNoReplica && now_ >= transfer_due_) {
    transfer_target_ = kNoReplica;
  }
  for (auto& [replica, progress] : progress_) {
    progress.Retransmit(now_, 2 * options_.heartbeat_interval);
  }
  if (now_ >= heartbeat_due_) {
    heartbeat_due_ = now_ + options_.heartbeat_interval;
    BroadcastHeartbeat();
  }
}

Progress* Replica::FindProgress(ReplicaId replica) {
  const auto found = progress_.find(replica);
  return found == progress_.end() ? nullptr : &found->second;
}

void Replica::SyncProgress() {
  std::erase_if(progress_,
                [&](const auto& item) { return !log_.membership().Contains(item.first); });
  for (const auto& [replica, member] : log_.membership().members()) {
    if (replica != id()) {
      progress_.try_emplace(replica, log_.last_index() + 1, now_);
    }
  }
}

bool Replica::IsActive(ReplicaId replica) const {
  if (replica == id()) {
    return true;
  }
  const auto found = progress_.find(replica);
  return found != progress_.end() &&
         now_ - found->second.silent_since() < options_.election_timeout;
}

std::optional<base::TimePoint> Replica::HeardAt(ReplicaId replica) const {
  const auto found = progress_.find(replica);
  return found == progress_.end() ? std::nullopt : found->second.heard_at();
}

bool Replica::HasActiveQuorum(const Membership& membership) const {
  std::size_t active = 0;
  for (const auto& [replica, member] : membership.members()) {
    if (member.is_voter && IsActive(replica)) {
      ++active;
    }
  }
  return active >= membership.quorum();
}

void Replica::BroadcastHeartbeat() {
  for (const auto& [replica, progress] : progress_) {
    const Index commit = std::min(log_.commit(), progress.match());
    // If the entry at match is compacted here, its term is unknown and no committed index is sent;
    // the follower has the entry or will receive a snapshot above it.
    const std::optional<Term> commit_term = log_.TermAt(commit);
    Send(replica, Heartbeat{commit_term ? commit : 0, commit_term.value_or(0), reads_.round()});
  }
}

void Replica::StartReadRound() {
  // The committed index is known to be current only once an entry of this term is committed.
  if (!reads_.HasUnassigned() || log_.TermAt(log_.commit()) != term()) {
    return;
  }
  reads_.StartRound(log_.commit());
  BroadcastHeartbeat();
  ConfirmReads();
}

void Replica::ConfirmReads() {
  std::vector<std::uint64_t> rounds;
  for (const auto& [replica, member] : log_.membership().members()) {
    if (member.is_voter) {
      const Progress* progress = FindProgress(replica);
      rounds.push_back(progress == nullptr ? reads_.round() : progress->round());
    }
  }
  std::sort(rounds.rbegin(), rounds.rend());
  for (const ReadState& state : reads_.Confirm(rounds[log_.membership().quorum() - 1])) {
    read_states_.push_back(state);
  }
}

void Replica::DropReads() {
  for (const ReadState& state : reads_.DropAll()) {
    read_states_.push_back(state);
  }
}

void Replica::SendAppends() {
  for (auto& [replica, progress] : progress_) {
    SendTo(replica, progress);
  }
}

void Replica::SendTo(ReplicaId replica, Progress& progress) {
  while (progress.CanSend(options_.max_in_flight_bytes)) {
    if (progress.mode() != Progress::Mode::kSnapshot && progress.next() <= log_.base_index()) {
      progress.StartSnapshot(log_.snapshot());
    }
    if (progress.mode() == Progress::Mode::kSnapshot) {
      SendChunk(replica, progress);
      return;
    }
    const bool has_updates = progress.next() <= log_.last_index() ||
                             progress.sent_commit() < std::min(log_.commit(), progress.match());
    if (progress.mode() == Progress::Mode::kReplicate && !has_updates) {
      return;
    }
    SendAppend(replica, progress);
  }
}

void Replica::SendAppend(ReplicaId replica, Progress& progress) {
  AppendRequest request;
  request.previous_index = progress.next() - 1;
  request.previous_term = *log_.TermAt(request.previous_index);
  request.entries = log_.Slice(progress.next(), progress.next() + kMaxEntriesPerMessage - 1,
                               options_.max_append_bytes);
  const Index last = request.previous_index + request.entries.size();
  request.commit = std::min(log_.commit(), last);
  const std::optional<Term> commit_term = log_.TermAt(request.commit);
  VERIFY(commit_term.has_value());
  request.commit_term = *commit_term;
  std::size_t bytes = 0;
  for (const Entry& entry : request.entries) {
    bytes += entry.data.size();
  }
  progress.RecordAppend(request.entries.size(), bytes, request.commit, now_);
  Send(replica, std::move(request));
}

void Replica::SendChunk(ReplicaId replica, Progress& progress) {
  const Snapshot& snapshot = *progress.snapshot();
  SnapshotChunk chunk;
  chunk.index = snapshot.index;
  chunk.term = snapshot.term;
  chunk.membership = snapshot.membership;
  chunk.total_bytes = snapshot.data.size();
  chunk.checksum = base::Hash(snapshot.data);
  chunk.offset = progress.snapshot_offset();
  chunk.data = snapshot.data.substr(chunk.offset, options_.snapshot_chunk_bytes);
  progress.RecordChunk(now_);
  Send(replica, std::move(chunk));
}

void Replica::Handle(ReplicaId from, Term /*term*/, const AppendResponse& response) {
  Progress* progress = role_ == Role::kLeader ? FindProgress(from) : nullptr;
  if (progress == nullptr) {
    return;
  }
  progress->RecordMessage(now_);
  if (!response.is_rejected) {
    VERIFY(response.match <= log_.last_index());
    if (progress->Acknowledge(response.match)) {
      AdvanceCommit();
      ContinueTransfer();
    }
    return;
  }
  const bool is_stale = progress->mode() == Progress::Mode::kSnapshot ||
                        response.rejected_index <= progress->match() ||
                        (progress->mode() == Progress::Mode::kProbe &&
                         response.rejected_index != progress->next() - 1);
  if (!is_stale) {
    progress->Probe(std::min(response.rejected_index, FindNext(response)));
  }
}

Index Replica::FindNext(const AppendResponse& rejection) const {
  if (rejection.hint_index < log_.base_index()) {
    return rejection.hint_index + 1;
  }
  const Index last = log_.FindAtMost(rejection.hint_index, rejection.hint_term);
  // If even the base entry has a later term, the logs diverge before it and the follower needs the
  // snapshot; returning an index up to the base index starts its transfer.
  const bool diverges_before_base = *log_.TermAt(last) > rejection.hint_term;
  return diverges_before_base ? last : last + 1;
}

void Replica::Handle(ReplicaId from, Term /*term*/, const HeartbeatResponse& response) {
  Progress* progress = role_ == Role::kLeader ? FindProgress(from) : nullptr;
  if (progress == nullptr) {
    return;
  }
  progress->RecordMessage(now_);
  progress->AcknowledgeRound(response.round);
  ConfirmReads();
}

void Replica::Handle(ReplicaId from, Term /*term*/, const SnapshotChunkResponse& response) {
  Progress* progress = role_ == Role::kLeader ? FindProgress(from) : nullptr;
  if (progress == nullptr) {
    return;
  }
  progress->RecordMessage(now_);
  progress->AcknowledgeChunk(response.index, response.offset, response.next_offset);
}

void Replica::AdvanceCommit() {
  std::vector<Index> durable;
  for (const auto& [replica, member] : log_.membership().members()) {
    if (member.is_voter) {
      const Progress* progress = FindProgress(replica);
      durable.push_back(progress == nullptr ? stable_ : progress->match());
    }
  }
  std::sort(durable.rbegin(), durable.rend());
  const Index quorum_index = durable[log_.membership().quorum() - 1];
  // An entry of an earlier term may still be replaced by another leader, even if a quorum has it.
  if (quorum_index > log_.commit() && log_.TermAt(quorum_index) == term()) {
    log_.CommitTo(quorum_index);
  }
  if (!HasPendingMembership() && !log_.membership().Contains(id())) {
    // The removal of this leader is committed; the remaining voters elect a new one.
    SendAppends();
    BecomeFollower(term(), kNoReplica);
  }
}

void Replica::ContinueTransfer() {
  if (transfer_target_ == kNoReplica) {
    return;
  }
  const Progress* progress = FindProgress(transfer_target_);
  if (progress == nullptr) {
    transfer_target_ = kNoReplica;
  } else if (progress->match() == log_.last_index()) {
    Send(transfer_target_, TransferRequest{});
  }
}

}  // namespace borageloft::consensus
