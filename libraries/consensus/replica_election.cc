#include <algorithm>
#include <utility>

#include "libraries/consensus/replica.h"

namespace borageloft::consensus {

namespace {

bool IsFromLeader(const MessageBody& body) {
  return std::holds_alternative<AppendRequest>(body) || std::holds_alternative<Heartbeat>(body) ||
         std::holds_alternative<SnapshotChunk>(body);
}

}  // namespace

void Replica::ResetElectionTimer() {
  SetElectionTimer(options_.election_timeout, options_.election_timeout);
}

void Replica::SetElectionTimer(base::Duration minimum, base::Duration spread) {
  const auto range = static_cast<std::uint64_t>(spread.count());
  const auto jitter = base::Duration(static_cast<std::int64_t>(base::DrawBelow(random_, range)));
  election_due_ = now_ + minimum + jitter;
}

void Replica::SetVote(Term term, ReplicaId vote) {
  VERIFY(term >= hard_state_.term);
  // A second vote in the same term could elect a second leader.
  VERIFY(term > hard_state_.term || hard_state_.vote == kNoReplica || hard_state_.vote == vote);
  if (term > hard_state_.term) {
    term_leader_ = kNoReplica;
  }
  hard_state_.term = term;
  hard_state_.vote = vote;
}

void Replica::BecomeFollower(Term term, ReplicaId leader) {
  if (role_ == Role::kLeader) {
    DropReads();
    progress_.clear();
    transfer_target_ = kNoReplica;
  }
  if (term > hard_state_.term) {
    SetVote(term, kNoReplica);
  }
  role_ = Role::kFollower;
  leader_ = leader;
  ResetElectionTimer();
}

bool Replica::HasLeaderContact() const {
  return role_ == Role::kLeader ||
         (leader_ != kNoReplica && now_ - last_contact_ < options_.election_timeout);
}

void Replica::Campaign(bool is_pre_vote, bool is_transfer) {
  granted_.clear();
  refused_.clear();
  leader_ = kNoReplica;
  Term campaign_term = term() + 1;
  if (is_pre_vote) {
    role_ = Role::kPreCandidate;
  } else {
    SetVote(campaign_term, id());
    role_ = Role::kCandidate;
  }
  // A pre-vote needs no disk write, so it is retried sooner than a vote if it is split.
  if (is_pre_vote) {
    SetElectionTimer(options_.pre_vote_delay, options_.pre_vote_spread);
  } else {
    ResetElectionTimer();
  }
  granted_.insert(id());
  for (const auto& [replica, member] : log_.membership().members()) {
    if (replica != id() && member.is_voter) {
      SendInTerm(replica, campaign_term,
                 VoteRequest{is_pre_vote, is_transfer, log_.last_index(), log_.last_term()});
    }
  }
  if (log_.membership().quorum() == 1) {
    if (is_pre_vote) {
      Campaign(/*is_pre_vote=*/false, is_transfer);
    } else {
      BecomeLeader();
    }
  }
}

void Replica::BecomeLeader() {
  VERIFY(term_leader_ == kNoReplica);
  role_ = Role::kLeader;
  leader_ = id();
  term_leader_ = id();
  reads_ = ReadQueue();
  progress_.clear();
  heartbeat_due_ = now_ + options_.heartbeat_interval;
  SyncProgress();
  // Entries of earlier terms can only be committed together with an entry of this term.
  AppendEntry(EntryKind::kEmpty, "");
}

bool Replica::AdoptTerm(const Message& message) {
  const auto* request = std::get_if<VoteRequest>(&message.body);
  if (request != nullptr && !request->is_transfer && HasLeaderContact()) {
    // A replica that returns from a partition must not depose a leader that others can reach.
    return false;
  }
  const auto* response = std::get_if<VoteResponse>(&message.body);
  if ((request != nullptr && request->is_pre_vote) ||
      (response != nullptr && response->is_pre_vote && response->is_granted)) {
    // A pre-vote is for a future term, which must not be entered yet.
    return true;
  }
  BecomeFollower(message.term, IsFromLeader(message.body) ? message.from : kNoReplica);
  return true;
}

void Replica::AnswerStaleTerm(const Message& message) {
  if (IsFromLeader(message.body)) {
    // The higher term in the response makes the leader of an earlier term step down.
    Send(message.from, AppendResponse{true, 0, 0, 0, 0});
  } else if (const auto* request = std::get_if<VoteRequest>(&message.body)) {
    Send(message.from, VoteResponse{request->is_pre_vote, false});
  }
}

void Replica::RecordLeaderContact(ReplicaId leader) {
  VERIFY(role_ != Role::kLeader);
  VERIFY(term_leader_ == kNoReplica || term_leader_ == leader);
  if (role_ != Role::kFollower || leader_ != leader) {
    BecomeFollower(term(), leader);
  }
  term_leader_ = leader;
  last_contact_ = now_;
  ResetElectionTimer();
}

void Replica::Handle(ReplicaId from, Term term, const VoteRequest& request) {
  const bool is_new_term = request.is_pre_vote && term > hard_state_.term;
  const bool can_vote =
      hard_state_.vote == from ||
      (hard_state_.vote == kNoReplica && leader_ == kNoReplica && term_leader_ == kNoReplica);
  const bool is_granted =
      (is_new_term || can_vote) && log_.IsUpToDate(request.last_index, request.last_term);
  if (is_granted && !request.is_pre_vote) {
    SetVote(term, from);
    ResetElectionTimer();
  }
  // A granted pre-vote carries the requested term. A refusal carries this replica's own term, so
  // that a candidate with an older term learns of it.
  SendInTerm(from, is_granted ? term : hard_state_.term,
             VoteResponse{request.is_pre_vote, is_granted});
}

void Replica::Handle(ReplicaId from, Term term, const VoteResponse& response) {
  const Role expected_role = response.is_pre_vote ? Role::kPreCandidate : Role::kCandidate;
  if (role_ != expected_role || !log_.membership().IsVoter(from)) {
    return;
  }
  if (response.is_granted && term != hard_state_.term + (response.is_pre_vote ? 1 : 0)) {
    return;
  }
  if (!response.is_granted && !response.is_pre_vote && refused_.empty()) {
    // The vote may be split; retry after the shorter pre-vote delay instead of waiting for a whole
    // election timeout.
    const base::TimePoint due = election_due_;
    SetElectionTimer(options_.pre_vote_delay, options_.pre_vote_spread);
    election_due_ = std::min(election_due_, due);
  }
  (response.is_granted ? granted_ : refused_).insert(from);
  const std::size_t quorum = log_.membership().quorum();
  if (granted_.size() >= quorum) {
    if (response.is_pre_vote) {
      Campaign(/*is_pre_vote=*/false, /*is_transfer=*/false);
    } else {
      BecomeLeader();
    }
  } else if (refused_.size() >= quorum) {
    BecomeFollower(hard_state_.term, kNoReplica);
  }
}

void Replica::Handle(ReplicaId from, Term /*term*/, const TransferRequest& /*request*/) {
  if (role_ == Role::kFollower && leader_ == from && log_.membership().IsVoter(id())) {
    Campaign(/*is_pre_vote=*/false, /*is_transfer=*/true);
  }
}

}  // namespace borageloft::consensus
