#ifndef BORAGELOFT_TESTS_CONSENSUS_SIMULATION_H_
#define BORAGELOFT_TESTS_CONSENSUS_SIMULATION_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "libraries/consensus/consensus.h"

namespace borageloft::consensus {

/** Thrown when an invariant of the group is violated. */
class InvariantFailure : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/** Event counts of a run, so that a test can verify that the faults occurred. */
struct SimulationCounts {
  std::uint64_t commits = 0;
  std::uint64_t leaders = 0;
  std::uint64_t reads = 0;
  std::uint64_t restarts = 0;
  std::uint64_t lost_disks = 0;
  std::uint64_t promotions = 0;
  std::uint64_t snapshots_installed = 0;
  std::uint64_t transfers = 0;
};

/**
 * Deterministic simulation of three to five replicas on a manual clock. The network loses,
 * duplicates, delays and reorders messages. The clocks of the hosts run at different speeds, and
 * hosts pause, restart from exactly what they persisted, or lose their disks. The same seed gives
 * the same run.
 */
class Simulation {
 public:
  explicit Simulation(std::uint64_t seed);

  /** Runs one random step of one host and checks the invariants of its replica. */
  void Step();

  /** Stops all faults and requires that the group recovers and commits on every host. */
  void HealAndConverge();

  const SimulationCounts& counts() const { return counts_; }

 private:
  struct Host {
    std::string name;
    PersistedState disk;
    std::optional<Replica> replica;
    std::optional<Ready> ready;
    bool is_persisted = false;
    ReplicaId id = kNoReplica;  // Kept across restarts; kNoReplica after the disk was lost.
    std::set<ReplicaId> used_ids;
    // The state machine is a hash chain over all entries.
    Index applied = 0;
    std::uint64_t digest = 0;
    Index seen_commit = 0;
    Term seen_leader_term = 0;
    base::TimePoint down_until;
    base::TimePoint paused_until;
    std::int64_t clock_percent =
        100;  // Speed of the host's clock in percent of the simulated time.
  };
  struct Applied {
    Term term;
    Term first_applied_term;  // Upper bound for the term in which the entry was committed.
    std::uint64_t digest;
  };

  bool Chance(std::uint64_t one_in) { return base::DrawBelow(random_, one_in) == 0; }
  Host& AnyHost() { return hosts_[base::DrawBelow(random_, hosts_.size())]; }
  Host* FindHost(ReplicaId id);
  Host* Leader();
  base::TimePoint TimeAt(const Host& host) const;
  void RunHost(Host& host);
  void Deliver(Host& host);
  void ProcessReady(Host& host);
  void Persist(Host& host, bool is_torn);
  void FinishReady(Host& host);
  void Apply(Host& host, const Entry& entry);
  void TakeSnapshot(Host& host);
  void Send(Host& host, const Message& message);
  void CheckInvariants(Host& host);
  void CheckNewLeader(const Host& host);
  void Start(Host& host);
  void Crash(Host& host, bool loses_disk);
  void InjectFault();
  void SubmitRequest();
  void RepairMembership();
  void Require(bool condition, const char* what) const;

  base::Random random_;
  base::TimePoint now_;
  ReplicaOptions options_;
  std::vector<Host> hosts_;
  std::multimap<base::TimePoint, std::string> network_;
  std::map<std::pair<ReplicaId, ReplicaId>, base::TimePoint> blocked_until_;
  Index snapshot_every_ = 0;
  std::uint64_t latency_us_ = 0;
  std::uint64_t fault_one_in_ = 0;  // Average number of steps between two faults.
  bool is_healed_ = false;
  std::uint64_t sequence_ = 0;

  std::vector<Applied> applied_{{0, 0, 0}};  // Committed entries by index.
  std::map<Term, ReplicaId> leaders_;
  std::map<std::pair<ReplicaId, Term>, ReplicaId> votes_;
  std::map<std::uint64_t, Index> reads_;
  SimulationCounts counts_;
};

}  // namespace borageloft::consensus

#endif  // BORAGELOFT_TESTS_CONSENSUS_SIMULATION_H_
