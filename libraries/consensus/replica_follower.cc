#include <algorithm>
#include <utility>

#include "libraries/consensus/replica.h"

namespace borageloft::consensus {

void Replica::Handle(ReplicaId from, Term term, AppendRequest& request) {
  if (!request.entries.empty() && request.entries.back().term > term) {
    return;
  }
  RecordLeaderContact(from);
  if (request.previous_index < log_.commit()) {
    // A delayed request; all committed entries match the leader's log.
    Send(from, AppendResponse{false, log_.commit(), 0, 0, 0});
    return;
  }
  if (!log_.Matches(request.previous_index, request.previous_term)) {
    RejectAppend(from, request);
    return;
  }
  const Index verified = request.previous_index + request.entries.size();
  if (const auto removed = log_.Merge(std::move(request.entries))) {
    stable_ = std::min(stable_, *removed - 1);
    replaced_from_ = std::min(replaced_from_, *removed);
  }
  CommitChecked(request.commit, request.commit_term, verified);
  Send(from, AppendResponse{false, verified, 0, 0, 0});
}

void Replica::Handle(ReplicaId from, Term /*term*/, const Heartbeat& heartbeat) {
  RecordLeaderContact(from);
  CommitChecked(heartbeat.commit, heartbeat.commit_term, heartbeat.commit);
  Send(from, HeartbeatResponse{heartbeat.round});
}

void Replica::Handle(ReplicaId from, Term /*term*/, const SnapshotChunk& chunk) {
  RecordLeaderContact(from);
  if (chunk.index <= log_.commit()) {
    Send(from, AppendResponse{false, log_.commit(), 0, 0, 0});
    return;
  }
  if (SnapshotPointer snapshot = snapshot_receiver_.Take(chunk)) {
    InstallSnapshot(std::move(snapshot));
    Send(from, AppendResponse{false, log_.commit(), 0, 0, 0});
    return;
  }
  Send(from, SnapshotChunkResponse{chunk.index, chunk.offset, snapshot_receiver_.next_offset()});
}

void Replica::CommitChecked(Index commit, Term commit_term, Index verified) {
  log_.CommitTo(std::min(commit, verified));
  if (commit <= verified) {
    // An equal index and term imply that all earlier entries are equal as well.
    const std::optional<Term> own_term = log_.TermAt(commit);
    VERIFY(!own_term || *own_term == commit_term);
  }
}

void Replica::RejectAppend(ReplicaId from, const AppendRequest& request) {
  // The leader's log cannot match above the last local entry whose term is at most previous_term,
  // so the leader skips a whole term with each rejection.
  const Index hint = log_.FindAtMost(request.previous_index, request.previous_term);
  Send(from, AppendResponse{true, 0, request.previous_index, hint, *log_.TermAt(hint)});
}

void Replica::InstallSnapshot(SnapshotPointer snapshot) {
  if (log_.Matches(snapshot->index, snapshot->term)) {
    log_.CommitTo(snapshot->index);
    return;
  }
  stable_ = snapshot->index;
  applied_ = snapshot->index;
  replaced_from_ = std::min(replaced_from_, snapshot->index + 1);
  pending_snapshot_ = snapshot;
  log_.Install(std::move(snapshot));
}

}  // namespace borageloft::consensus
