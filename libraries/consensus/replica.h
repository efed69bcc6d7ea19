#ifndef BORAGELOFT_CONSENSUS_REPLICA_H_
#define BORAGELOFT_CONSENSUS_REPLICA_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libraries/base/base.h"
#include "libraries/consensus/message.h"
#include "libraries/consensus/progress.h"
#include "libraries/consensus/raft_log.h"
#include "libraries/consensus/read_queue.h"
#include "libraries/consensus/ready.h"
#include "libraries/consensus/replica_options.h"
#include "libraries/consensus/snapshot_receiver.h"

namespace borageloft::consensus {

/** Result of handing a proposal to a replica. */
enum class ProposalStatus {
  kAppended,       // In the leader's log; the outcome is known once its index is committed.
  kNotLeader,      // Not appended; leader() may name the leader.
  kDropped,        // Not appended: too many uncommitted bytes, or a leadership transfer is active.
  kTooLarge,       // Not appended: longer than kMaxCommandBytes.
  kChangePending,  // Not appended: another membership change is not committed yet.
  kInvalidChange,  // Not appended: the change does not apply to the membership.
  kNotCaughtUp,    // Not appended: the learner to promote has not caught up.
  kQuorumAtRisk,   // Not appended: the new membership has no quorum of reachable voters.
};

/** Result of a proposal. A proposal that was not appended has no effect, now or later. */
struct ProposalResult {
  ProposalStatus status = ProposalStatus::kNotLeader;
  /** Position of the appended entry; committed if the entry committed at index has this term. */
  Index index = 0;
  Term term = 0;
  /** Id assigned to an added learner. It may be used once the change is committed. */
  ReplicaId assigned = kNoReplica;
};

/**
 * Raft replica without I/O: ticks, messages and proposals go in, Ready objects come out. It
 * implements leader election with pre-vote and randomised timeouts, check-quorum, pipelined log
 * replication, read-index reads, chunked snapshot transfer, membership changes of one member at a
 * time with learners, and leadership transfer. Not thread-safe.
 */
class Replica {
 public:
  /**
   * @param options Settings.
   * @param random Source of election timeouts.
   * @param state Persisted state, or the initial state of a new replica.
   * @param now Current time.
   * @throws ConsensusError if @p state has no replica id or no snapshot, or if its log has a gap,
   * decreasing terms or a term above the one of the hard state.
   */
  Replica(ReplicaOptions options, base::Random random, PersistedState state, base::TimePoint now);

  /** Advances the clock and runs due timers. An earlier @p now than before is ignored. */
  void Tick(base::TimePoint now);

  /** Handles a message of another replica. Messages for other replica ids are ignored. */
  void Step(Message message);

  /** Appends a command if this replica is leader. */
  ProposalResult Propose(std::string command);

  /** Appends a membership change if this replica is leader and the change is safe. */
  ProposalResult ProposeMembership(const MembershipChange& change);

  /**
   * Starts a linearisable read, whose outcome is a ReadState with the same context.
   * @return False if this replica is not leader or too many reads are pending; nothing is started
   * then.
   */
  bool RequestRead(std::uint64_t context);

  /**
   * Transfers leadership, for example before a shutdown. Proposals are dropped until the transfer
   * ends; if the target has not become leader within an election timeout, this replica remains
   * leader.
   * @param target Voter to become leader, or kNoReplica for the reachable voter with the highest
   * matching index.
   * @return False if this replica is not leader or there is no suitable voter.
   */
  bool TransferLeadership(ReplicaId target = kNoReplica);

  /**
   * @return Work to do, or nothing. After a Ready, call Advance() before the next call of
   * TakeReady(); other calls are allowed in between.
   */
  std::optional<Ready> TakeReady();

  /** Acknowledges that the work of a Ready is done. */
  void Advance(const ReadyReceipt& receipt);

  /**
   * Builds a snapshot of the state machine without storing it.
   * @param index Applied index, not below the latest snapshot.
   * @param data Encoded state machine after the entry at @p index.
   * @return The snapshot to save, and to pass to Compact() once it is durable.
   */
  SnapshotPointer MakeSnapshot(Index index, std::string data) const;

  /**
   * Discards log entries up to a durable snapshot, except retained_entries of them. A snapshot that
   * is not newer than the latest is ignored.
   */
  void Compact(SnapshotPointer snapshot);

  /** @return Whether this replica is leader and learner @p replica has caught up. */
  bool HasCaughtUp(ReplicaId replica) const;

  /** @return Whether this replica is leader and heard @p replica within one election timeout. */
  bool IsReachable(ReplicaId replica) const { return is_leader() && IsActive(replica); }

  /** @return Time of the last message of @p replica in this replica's leadership, if any. */
  std::optional<base::TimePoint> HeardAt(ReplicaId replica) const;

  /** @return Time at which this replica last heard from a leader; its start before that. */
  base::TimePoint last_leader_contact() const { return last_contact_; }

  ReplicaId id() const { return hard_state_.replica; }
  Role role() const { return role_; }
  bool is_leader() const { return role_ == Role::kLeader; }
  /** @return Known leader, or kNoReplica. */
  ReplicaId leader() const { return leader_; }
  Term term() const { return hard_state_.term; }
  /** @return Committed index; it never decreases. */
  Index commit() const { return log_.commit(); }
  /** @return Highest index whose application was acknowledged by Advance(). */
  Index applied() const { return applied_; }
  Index last_index() const { return log_.last_index(); }
  /** @return Index of the latest snapshot. */
  Index snapshot_index() const { return log_.snapshot()->index; }
  /** @return Size in bytes of the log in memory. */
  std::uint64_t log_bytes() const { return log_.bytes(); }
  /** @return Size in bytes of the log above the latest snapshot. */
  std::uint64_t bytes_since_snapshot() const { return log_.BytesAfter(snapshot_index()); }
  /** @return Term of the entry at @p index, or nothing if it is not in the log. */
  std::optional<Term> TermAt(Index index) const { return log_.TermAt(index); }
  /** @return Membership in force, which may be uncommitted. */
  const Membership& membership() const { return log_.membership(); }
  /** @return Whether a membership change is not committed yet. */
  bool HasPendingMembership() const { return log_.membership_index() > log_.commit(); }

 private:
  // Elections; defined in replica_election.cc.
  void ResetElectionTimer();
  void SetElectionTimer(base::Duration minimum, base::Duration spread);
  void BecomeFollower(Term term, ReplicaId leader);
  void Campaign(bool is_pre_vote, bool is_transfer);
  void BecomeLeader();
  void SetVote(Term term, ReplicaId vote);
  bool HasLeaderContact() const;
  bool AdoptTerm(const Message& message);
  void AnswerStaleTerm(const Message& message);
  void RecordLeaderContact(ReplicaId leader);
  void Handle(ReplicaId from, Term term, const VoteRequest& request);
  void Handle(ReplicaId from, Term term, const VoteResponse& response);
  void Handle(ReplicaId from, Term term, const TransferRequest& request);

  // Follower; defined in replica_follower.cc.
  void Handle(ReplicaId from, Term term, AppendRequest& request);
  void Handle(ReplicaId from, Term term, const Heartbeat& heartbeat);
  void Handle(ReplicaId from, Term term, const SnapshotChunk& chunk);
  void CommitChecked(Index commit, Term commit_term, Index verified);
  void RejectAppend(ReplicaId from, const AppendRequest& request);
  void InstallSnapshot(SnapshotPointer snapshot);

  // Leader; defined in replica_leader.cc.
  void Handle(ReplicaId from, Term term, const AppendResponse& response);
  void Handle(ReplicaId from, Term term, const HeartbeatResponse& response);
  void Handle(ReplicaId from, Term term, const SnapshotChunkResponse& response);
  Index FindNext(const AppendResponse& rejection) const;
  void TickLeader();
  Progress* FindProgress(ReplicaId replica);
  void SyncProgress();
  bool HasActiveQuorum(const Membership& membership) const;
  bool IsActive(ReplicaId replica) const;
  void BroadcastHeartbeat();
  void StartReadRound();
  void ConfirmReads();
  void DropReads();
  void SendAppends();
  void SendTo(ReplicaId replica, Progress& progress);
  void SendAppend(ReplicaId replica, Progress& progress);
  void SendChunk(ReplicaId replica, Progress& progress);
  void AdvanceCommit();
  void ContinueTransfer();
  void AppendEntry(EntryKind kind, std::string data);

  void Send(ReplicaId to, MessageBody body);
  void SendInTerm(ReplicaId to, Term term, MessageBody body);

  ReplicaOptions options_;
  base::Random random_;
  base::TimePoint now_;
  HardState hard_state_;
  HardState durable_hard_state_;
  RaftLog log_;
  Index stable_ = 0;   // Last local entry known to be durable.
  Index applied_ = 0;  // Last entry known to be applied to the local state machine.

  Role role_ = Role::kFollower;
  ReplicaId leader_ = kNoReplica;
  ReplicaId term_leader_ = kNoReplica;  // Leader of this term; kept after contact is lost.
  base::TimePoint last_contact_;
  base::TimePoint election_due_;
  std::set<ReplicaId> granted_;
  std::set<ReplicaId> refused_;
  SnapshotReceiver snapshot_receiver_;

  std::map<ReplicaId, Progress> progress_;
  base::TimePoint heartbeat_due_;
  ReadQueue reads_;
  ReplicaId transfer_target_ = kNoReplica;
  base::TimePoint transfer_due_;

  bool is_ready_outstanding_ = false;
  // First index whose entry was replaced while the outstanding Ready was being persisted.
  Index replaced_from_ = 0;
  SnapshotPointer pending_snapshot_;
  std::vector<Message> messages_;
  std::vector<ReadState> read_states_;
  SoftState reported_soft_state_;
};

}  // namespace borageloft::consensus

#endif  // BORAGELOFT_CONSENSUS_REPLICA_H_
