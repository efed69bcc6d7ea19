#ifndef BORAGELOFT_REPLICATION_REPLICA_HOST_H_
#define BORAGELOFT_REPLICATION_REPLICA_HOST_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/base.h"
#include "libraries/consensus/consensus.h"
#include "libraries/replication/host_hooks.h"
#include "libraries/replication/host_status.h"
#include "libraries/replication/outcomes.h"
#include "libraries/replication/proposal_table.h"
#include "libraries/replication/replica_host_options.h"
#include "libraries/replication/replica_storage.h"
#include "libraries/replication/start_plan.h"
#include "libraries/timer/timer.h"

namespace borageloft::replication {

/**
 * Runs one consensus replica: persists its state before it sends messages, applies committed
 * commands to the state machine, and completes proposals and reads. Proposals that arrive while a
 * sync is running share the next one (group commit).
 *
 * Thread-safe. The replica is guarded by a lock of rank kConsensus. The persist loop runs on the
 * calling or timer thread that caused the work, on one thread at a time and with no lock held, so
 * callers must not hold a lock either.
 */
class ReplicaHost {
 public:
  /** Dependencies that differ between production and tests. */
  struct Dependencies {
    base::Clock clock;
    base::Random random;
    timer::TimerService* timers = nullptr;
    ReplicaStorage storage;
    StateMachine state_machine;
    SendHook send;
    SoftStateHook on_soft_state;
  };

  /** @param options Settings. @param dependencies Hooks; the timers must outlive this object. */
  ReplicaHost(ReplicaHostOptions options, Dependencies dependencies);
  /**
   * Stops without a leadership transfer; pending proposals complete as unknown. No other call may
   * be running.
   */
  ~ReplicaHost();

  ReplicaHost(const ReplicaHost&) = delete;
  ReplicaHost& operator=(const ReplicaHost&) = delete;

  /**
   * Opens the storage and starts the replica.
   * @throws ReplicationError if the plan does not match the stored state, or if the storage fails.
   */
  void Start(const StartPlan& plan);

  /** Proposes a command; @p callback receives the outcome. */
  void Propose(std::string command, ProposalCallback callback);

  /** Proposes a membership change; @p callback receives the outcome. */
  void ProposeMembership(const consensus::MembershipChange& change, ProposalCallback callback);

  /** Starts a linearisable read; @p callback receives the outcome and may read the state machine.
   */
  void Read(ReadCallback callback);

  /**
   * Handles a message of another replica.
   * @throws ReplicationError if the bytes do not decode.
   */
  void Receive(std::string_view bytes);

  /**
   * Notes that another member stops. A learner that has caught up replaces it without the usual
   * wait for its return.
   */
  void NoteStopping(consensus::ReplicaId replica);

  /**
   * Transfers leadership and stops; new proposals are dropped immediately.
   * @param done Called once the host has stopped, at the latest after one election timeout.
   */
  void Shutdown(std::function<void()> done);

  /** @return State and counters. */
  HostStatus status() const;

 private:
  using Completions = std::vector<std::function<void()>>;

  struct AppliedEntry {
    consensus::Index index;
    consensus::Term term;
    std::string result;
  };

  void Tick();
  // Returns the change that it has proposed, if any.
  std::optional<consensus::MembershipChange> RepairMembership(base::TimePoint now);
  void UpdateContacts(base::TimePoint now);
  void TrackProposal(const consensus::ProposalResult& result, ProposalCallback callback,
                     Completions& completions);
  static void CompleteAs(ProposalOutcomeKind kind, ProposalCallback callback,
                         Completions& completions);
  void CompleteUnavailable(ProposalCallback callback, Completions& completions) const;

  // The persist loop, defined in persist_loop.cc; run by the thread that set is_loop_running_.
  void RunPersistLoop() noexcept;
  void ProcessReady(const consensus::Ready& ready);
  void Persist(const consensus::Ready& ready);
  std::vector<AppliedEntry> Apply(const consensus::Ready& ready);
  void Complete(const consensus::Ready& ready, const std::vector<AppliedEntry>& applied,
                Completions& completions);
  void CompleteReads(const consensus::Ready& ready, Completions& completions);
  void TakeSnapshot();
  void Fail(const std::string& reason, consensus::Index last_possibly_stored);
  void Reopen();
  void Open(consensus::PersistedState state);
  void FinishShutdown();
  void AbandonAll(consensus::Index last_possibly_stored, ReadOutcomeKind read_outcome,
                  Completions& completions);

  const ReplicaHostOptions options_;
  Dependencies dependencies_;

  mutable base::RankedMutex mutex_{base::LockRank::kConsensus};
  // Guarded by mutex_.
  HostState state_ = HostState::kCreated;
  std::optional<consensus::Replica> replica_;
  bool is_loop_running_ = false;
  bool is_stopping_ = false;
  std::function<void()> on_stopped_;
  base::TimePoint stop_deadline_;
  base::TimePoint reopen_at_;
  ProposalTable proposals_;
  std::uint64_t next_read_context_ = 1;
  std::map<std::uint64_t, ReadCallback> reads_;
  std::multimap<consensus::Index, ReadCallback> confirmed_reads_;
  consensus::Index applied_ = 0;
  // Kept while the storage has failed and there is no replica.
  consensus::ReplicaId id_ = consensus::kNoReplica;
  // Time of the last contact by member, while this replica is leader.
  std::map<consensus::ReplicaId, base::TimePoint> last_contact_;
  // Time at which this replica last heard a leader, or was one.
  base::TimePoint last_led_;
  // Time at which members announced that they stop. A member that is still in the group after
  // `stop_notice_lifetime` is then judged by its contact again.
  std::map<consensus::ReplicaId, base::TimePoint> stopping_since_;
  HostStatus counters_;
  std::optional<timer::SubscriptionId> subscription_;

  // Used only by the thread that runs the persist loop.
  consensus::Index last_stored_index_ = 0;
};

}  // namespace borageloft::replication

#endif  // BORAGELOFT_REPLICATION_REPLICA_HOST_H_
