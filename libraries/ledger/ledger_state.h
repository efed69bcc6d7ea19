#ifndef BORAGELOFT_LEDGER_LEDGER_STATE_H_
#define BORAGELOFT_LEDGER_LEDGER_STATE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/ledger/key_table.h"
#include "libraries/ledger/ledger_command.h"

namespace borageloft::ledger {

/** Bounds of a ledger. They must be equal on all hosts of a group, or the replicas diverge. */
struct LedgerLimits {
  /**
   * Most keys that grants may add within the window. Keys closed as not run may exceed this by an
   * eighth, so that a full ledger can still tell callers that a request was not run.
   */
  std::uint64_t maximum_keys = 20'000'000;
  /** Most bytes of stored answers; the oldest are dropped, and their keys stay finished. */
  std::uint64_t maximum_answer_bytes = std::uint64_t{1} << 30U;
  bool operator==(const LedgerLimits&) const = default;
};

/**
 * Deterministic state machine of one ledger group. It is fed committed log entries in order; equal
 * entries give equal states and results on every host. Its time comes only from the entries and
 * never goes back. Not thread-safe.
 *
 * States of a key: unknown -> granted -> finished | not run, or unknown -> not run. A forgotten key
 * is outside the window and gets no grant, so a key is granted at most once ever.
 */
class LedgerState {
 public:
  /** @param limits Bounds, equal on all hosts of the group. */
  explicit LedgerState(LedgerLimits limits = {}) : limits_(limits) {}

  /**
   * Applies one committed batch.
   * @param batch Bytes made by EncodeBatch.
   * @return Bytes for DecodeResults, one result for each command.
   * @throws LedgerError if the bytes are no batch; the state is unchanged.
   */
  std::string Apply(std::string_view batch);

  /** Applies a decoded batch. */
  std::vector<CommandResult> Apply(const CommandBatch& batch);

  /** @return The whole state; equal states give equal bytes. */
  std::string Snapshot() const;

  /**
   * Replaces the state.
   * @throws LedgerError if the bytes are no snapshot or were made with other limits; the state is
   * unchanged.
   */
  void Restore(std::string_view snapshot);

  /** @return Time of the ledger: the latest time of any batch applied. */
  base::WallTime time() const { return time_; }
  /** @return Number of keys held. */
  std::size_t key_count() const { return table_.size(); }
  /** @return Number of grants without outcome. */
  std::size_t open_count() const { return table_.open_count(); }
  /** @return Bytes of stored answers. */
  std::size_t answer_bytes() const { return table_.answer_bytes(); }

 private:
  CommandResult ApplyCommand(const GrantCommand& command);
  CommandResult ApplyCommand(const FinishCommand& command);
  CommandResult ApplyCommand(const ReleaseCommand& command);
  CommandResult ApplyCommand(const ExpireCommand& command);

  void Grant(const GrantCommand& command, CommandResult& result);
  void CloseAsNotRun(const IdempotencyKey& key, RequestDigest digest, CommandResult& result);
  void ReportSettled(const SettledKey& settled, RequestDigest digest, CommandResult& result) const;
  void Advance(base::WallTime proposed_at);
  bool HasRoomForNotRun() const;
  void RestoreEntry(std::string_view snapshot, std::size_t& offset);

  LedgerLimits limits_;
  base::WallTime time_;
  KeyTable table_;
};

}  // namespace borageloft::ledger

#endif  // BORAGELOFT_LEDGER_LEDGER_STATE_H_
