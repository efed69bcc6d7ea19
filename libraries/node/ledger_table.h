#ifndef BORAGELOFT_NODE_LEDGER_TABLE_H_
#define BORAGELOFT_NODE_LEDGER_TABLE_H_

#include <cstdint>
#include <future>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "libraries/ledger/ledger.h"
#include "libraries/node/group_client.h"
#include "libraries/node/node_services.h"
#include "libraries/node/upstream_gate.h"
#include "libraries/wire/wire.h"

namespace borageloft::node {

/** Settings of a LedgerTable. */
struct LedgerTableOptions {
  /**
   * The retention is short since the ledger has the answers as well: the gate's copy only saves a
   * round trip for resends that follow at once.
   */
  ledger::PermitGateOptions gate{.maximum_keys = 65'536, .retention = std::chrono::seconds(10)};
  /** Batches; maximum_commands = 1 switches batching off. */
  ledger::GrantBatcherOptions batcher;
  /** Batches of one group that wait for an answer at once. */
  std::size_t maximum_in_flight = 8;
  /**
   * Time without any answer of a group after which new requests are refused as not run, in place of
   * asking for a grant whose outcome would stay unknown. Longer than a commit across zones.
   */
  base::Duration quorum_silence = std::chrono::milliseconds(600);
};

/**
 * At-most-once execution at the gate of one node: asks the ledger groups for permits, keeps resends
 * from running, and records outcomes. Thread-safe; no lock is held while a request waits.
 */
class LedgerTable {
 public:
  /** @param incarnation Higher than in every earlier life of this node. */
  LedgerTable(const NodeServices& services, GroupHub& hub, std::uint64_t incarnation,
              LedgerTableOptions options = {});

  /** @return Hooks for the gate; this object must outlive them. */
  OnceHooks Hooks();

  /** Learns the home regions of the services. */
  void ApplyPolicy(const notes::Policy& policy);

  /**
   * Asks for the permit of a request and waits until the deadline at most.
   * @return Nothing when the request must run now and Finish() must be called, else its answer.
   */
  std::optional<wire::Response> Acquire(const wire::Request& request, base::TimePoint deadline);

  /**
   * Records how a request ended that Acquire() let run.
   * @return The answer to give.
   */
  wire::Response Finish(const wire::Request& request, wire::Response response,
                        base::TimePoint deadline);

  /** Sends pending commands again and gives up late keys. Call it every 10 ms. */
  void Tick();

  /** Ends all waiting with an unknown outcome and sends nothing more. */
  void Stop();

 private:
  using Key = ledger::IdempotencyKey;
  using Verdict = std::variant<ledger::Permit, wire::Response>;

  struct Waiter {
    std::promise<Verdict> promise;
    bool is_owner = false;  // The one that runs the request when the permit comes.
    bool is_done = false;
  };
  using WaiterPointer = std::shared_ptr<Waiter>;

  struct Group {
    std::unique_ptr<GroupClient> client;
    ledger::GrantBatcher batcher;
    std::size_t in_flight = 0;
    std::optional<base::TimePoint> unanswered_since;
    bool has_timer = false;
  };

  /** What the table knows of a key beside the gate. */
  struct Record {
    Group* group = nullptr;
    std::vector<WaiterPointer> waiters;
    std::size_t commands = 0;  // Queued or in flight.
    std::uint64_t grant_number = 0;
    std::size_t grants_in_flight = 0;
    bool may_be_granted = false;
  };

  /** A batch to send once the lock is released. */
  struct Outgoing {
    Group* group;
    ledger::CommandBatch batch;
  };
  using OutgoingBatches = std::vector<Outgoing>;

  Group* FindGroupLocked(const Key& key, const std::string& service);
  bool IsSilentLocked(const Group& group, base::TimePoint now) const;
  bool IsStaleGrantLocked(const ledger::Command& command) const;
  void EnqueueLocked(Group& group, ledger::Command command, base::TimePoint now);
  void TakeBatchesLocked(Group& group, base::TimePoint now, OutgoingBatches& outgoing);
  void TakeAllBatchesLocked(base::TimePoint now, OutgoingBatches& outgoing);
  void ExpireLocked(base::TimePoint now, base::WallTime wall);
  void ResendLocked(base::TimePoint now);
  void PruneLocked();
  void Send(OutgoingBatches outgoing);
  void HandleOutcome(Group& group, const std::vector<ledger::Command>& commands,
                     const CommandOutcome& outcome);
  void HandleResultLocked(const ledger::CommandResult& result, base::WallTime wall);
  static void WakeLocked(Waiter& waiter, Verdict verdict);
  static void WakeAllLocked(Record& record, const wire::Response& response);
  Verdict Await(const Key& key, const WaiterPointer& waiter, base::TimePoint deadline,
                base::WallTime wall_deadline);
  wire::Response GiveUpLocked(const Key& key, const WaiterPointer& waiter,
                              base::WallTime wall_deadline, OutgoingBatches& outgoing);
  static wire::Response AnswerTo(const ledger::Offer& offer);

  const NodeServices& services_;
  const LedgerTableOptions options_;
  base::RankedMutex mutex_{base::LockRank::kLedger};
  ledger::PermitGate gate_;
  ledger::LedgerGroups ledger_groups_;
  std::map<std::string, std::string> homes_;
  std::map<std::string, Group> groups_;
  std::unordered_map<Key, Record, ledger::IdempotencyKeyHash> records_;
  base::TimePoint next_resend_;
  base::TimePoint next_prune_;
  bool is_stopped_ = false;
};

}  // namespace borageloft::node

#endif  // BORAGELOFT_NODE_LEDGER_TABLE_H_
