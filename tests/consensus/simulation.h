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

/** A broken invariant of the group. */
class InvariantFailure : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/** What a run did, so that a test can tell that it exercised the faults. */
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
 * Three to five real replicas on a manual clock, with a network that loses, duplicates, delays and
 * reorders messages, hosts whose clocks run at different speeds, and hosts that pause, restart from
 * exactly what they persisted or lose their disks. The same seed gives the same run.
 */
class Simulation {
 public:
  explicit Simulation(std::uint64_t seed);

  /** Does one random step and checks the invariants of the replica that moved. */
  void Step();

  /** Ends all faults and requires that the group repairs itself and commits on every host. */
  void HealAndConverge();

  const SimulationCounts& counts() const { return counts_; }

 private:
  struct Host {
    std::string name;
    PersistedState disk;
    std::optional<Replica> replica;
    std::optional<Ready> ready;
    bool is_persisted = false;
    ReplicaId id = kNoReplica;  // Kept over restarts; none after the disk was lost.
    std::set<ReplicaId> used_ids;
    // The state machine is a chain of hashes over all entries.
    Index applied = 0;
    std::uint64_t digest = 0;
    Index seen_commit = 0;
    Term seen_leader_term = 0;
    base::TimePoint down_until;
    base::TimePoint paused_until;
    std::int64_t clock_percent = 100;  // Speed of the host's clock.
  };
  struct Applied {
    Term term;
    Term first_applied_in;  // Upper bound of the term in which the entry was committed.
    std::uint64_t digest;
  };

  bool Chance(std::uint64_t one_in) { return base::DrawBelow(random_, one_in) == 0; }
  Host& AnyHost() { return hosts_[base::DrawBelow(random_, hosts_.size())]; }
  Host* FindHost(ReplicaId id);
  Host* Leader();
  base::TimePoint TimeAt(const Host& host) const;
  void Run(Host& host);
  void Deliver(Host& host);
  void DoReady(Host& host);
  void Persist(Host& host, bool is_torn);
  void Finish(Host& host);
  void Apply(Host& host, const Entry& entry);
  void TakeSnapshot(Host& host);
  void Send(Host& host, const Message& message);
  void Check(Host& host);
  void CheckNewLeader(const Host& host);
  void Start(Host& host);
  void Crash(Host& host, bool loses_disk);
  void InjectFault();
  void Offer();
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
  std::uint64_t fault_one_in_ = 0;  // Steps between two faults, on average.
  bool is_healed_ = false;
  std::uint64_t sequence_ = 0;

  std::vector<Applied> applied_{{0, 0, 0}};  // By index.
  std::map<Term, ReplicaId> leaders_;
  std::map<std::pair<ReplicaId, Term>, ReplicaId> votes_;
  std::map<std::uint64_t, Index> reads_;
  SimulationCounts counts_;
};

}  // namespace borageloft::consensus

#endif  // BORAGELOFT_TESTS_CONSENSUS_SIMULATION_H_
