#ifndef BORAGELOFT_LEDGER_LEDGER_RUN_H_
#define BORAGELOFT_LEDGER_LEDGER_RUN_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "libraries/ledger/ledger.h"

namespace borageloft::ledger {

/** Thrown when the run breaks a rule. */
class RunFailure : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

/** Counts of one run, to show that it reached the interesting cases. */
struct RunCounts {
  std::uint64_t granted = 0;
  std::uint64_t ran = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t answered_again = 0;
  std::uint64_t refused_permits = 0;
  std::uint64_t restarts = 0;
  std::uint64_t expired = 0;
};

/**
 * Several gates and one replicated ledger, joined by a queue that loses, repeats and reorders
 * messages. Gates restart at any moment and have clocks that differ by up to 30 s.
 */
class LedgerRun {
 public:
  explicit LedgerRun(std::uint64_t seed);

  /** Does one random step. @throws RunFailure if a rule is broken. */
  void Step();
  /** Compares a fresh replica with the ledger, and ends the run. */
  void CheckReplica();
  const RunCounts& counts() const { return counts_; }

 private:
  struct Caller {
    IdempotencyKey key;
    RequestDigest digest{};
  };
  struct Gate {
    std::unique_ptr<PermitGate> gate;
    std::uint64_t incarnation = 0;
    base::Duration clock_error{};
    std::vector<Permit> permits;  // Also used ones, which are tried again.
    std::set<IdempotencyKey> running;
  };
  struct Message {
    std::size_t gate = 0;
    std::variant<Command, CommandResult> content;
  };

  base::WallTime NowAt(const Gate& gate) const { return now_ + gate.clock_error; }
  std::uint64_t Draw(std::uint64_t bound) { return base::DrawBelow(random_, bound); }
  void Require(bool holds, const std::string& rule, const IdempotencyKey& key) const;
  void OfferRequest(std::size_t index);
  void TryPermit(Gate& gate);
  void FinishRun(std::size_t index);
  void Restart(std::size_t index);
  void Deliver();
  void ApplyBatch();
  void RestoreFromSnapshot();
  void HandleResult(std::size_t index, const CommandResult& result);
  void ObserveNotRun(const IdempotencyKey& key);
  void Send(std::size_t index, std::variant<Command, CommandResult> content);

  base::Random random_;
  base::WallTime now_ = base::WallTime(std::chrono::hours(500'000));
  base::TimePoint steady_;
  std::vector<Gate> gates_;
  std::vector<Caller> callers_;
  std::vector<Message> messages_;
  GrantBatcher batcher_;
  LedgerState ledger_;
  LedgerState replica_;
  std::map<IdempotencyKey, int> runs_;
  std::set<IdempotencyKey> told_not_run_;
  std::map<IdempotencyKey, PermitId> grants_;
  std::map<IdempotencyKey, std::vector<PermitId>> withdrawn_;
  RunCounts counts_;
};

}  // namespace borageloft::ledger

#endif  // BORAGELOFT_LEDGER_LEDGER_RUN_H_
