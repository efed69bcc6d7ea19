#ifndef BORAGELOFT_LEDGER_GRANT_BATCHER_H_
#define BORAGELOFT_LEDGER_GRANT_BATCHER_H_

#include <cstddef>
#include <deque>
#include <optional>

#include "libraries/ledger/ledger_command.h"

namespace borageloft::ledger {

/** Settings of a batcher. */
struct GrantBatcherOptions {
  /** Most commands in one batch; 1 switches batching off. */
  std::size_t maximum_commands = 512;
  /** Most encoded bytes in one batch. */
  std::size_t maximum_bytes = std::size_t{1} << 20U;
  /** Most commands that wait; further ones are refused. */
  std::size_t maximum_queued = 16'384;
  /** Longest time that a command waits for others. */
  base::Duration linger = std::chrono::microseconds(500);
};

/** Whether a command was taken. */
enum class AddDecision {
  kQueued,
  kFull,  ///< The queue is full; the command was dropped and its sender sends it again.
};

/**
 * Collects commands for one proposal, so that many grants share one sync. Commands keep their
 * order. Not thread-safe.
 */
class GrantBatcher {
 public:
  /**
   * @param options Settings.
   * @throws LedgerError if they exceed the bounds of a batch.
   */
  explicit GrantBatcher(GrantBatcherOptions options = {});

  /** Takes a command. @param now Current time. */
  AddDecision Add(Command command, base::TimePoint now);

  /** @return When the next batch is ready: now or earlier if one is; nothing if none waits. */
  std::optional<base::TimePoint> NextDue() const;

  /**
   * Takes the next batch, if it is full or its oldest command has waited for the linger time.
   * @param now Current time.
   * @param proposed_at Wall time for the batch.
   */
  std::optional<CommandBatch> TakeReady(base::TimePoint now, base::WallTime proposed_at);

  /** Drops all commands, for example when this host is no longer the leader. */
  void Clear();

  /** @return Number of commands that wait. */
  std::size_t queued() const { return queue_.size(); }

 private:
  struct Queued {
    Command command;
    std::size_t bytes = 0;
    base::TimePoint added;
  };

  bool IsFull() const;

  GrantBatcherOptions options_;
  std::deque<Queued> queue_;
  std::size_t queued_bytes_ = 0;
};

}  // namespace borageloft::ledger

#endif  // BORAGELOFT_LEDGER_GRANT_BATCHER_H_
