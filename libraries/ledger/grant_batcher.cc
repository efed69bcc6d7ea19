#include "libraries/ledger/grant_batcher.h"

#include <utility>

#include "libraries/ledger/ledger_error.h"

namespace borageloft::ledger {

namespace {

// Bytes of a batch around its commands.
constexpr std::size_t kBatchOverheadBytes = 32;

}  // namespace

GrantBatcher::GrantBatcher(GrantBatcherOptions options) : options_(options) {
  if (options_.maximum_commands == 0 || options_.maximum_commands > kMaximumBatchCommands) {
    throw LedgerError("grant batcher: a batch holds 1 to " + std::to_string(kMaximumBatchCommands) +
                      " commands");
  }
  // One command with the largest answer must always fit.
  if (options_.maximum_bytes < 2 * kMaximumAnswerBytes ||
      options_.maximum_bytes > kMaximumBatchBytes) {
    throw LedgerError("grant batcher: a batch holds " + std::to_string(2 * kMaximumAnswerBytes) +
                      " to " + std::to_string(kMaximumBatchBytes) + " bytes");
  }
}

AddDecision GrantBatcher::Add(Command command, base::TimePoint now) {
  if (queue_.size() >= options_.maximum_queued) {
    return AddDecision::kFull;
  }
  const std::size_t bytes = EncodedSizeBound(command);
  queue_.push_back({std::move(command), bytes, now});
  queued_bytes_ += bytes;
  return AddDecision::kQueued;
}

std::optional<base::TimePoint> GrantBatcher::NextDue() const {
  if (queue_.empty()) {
    return std::nullopt;
  }
  return IsFull() ? queue_.front().added : queue_.front().added + options_.linger;
}

std::optional<CommandBatch> GrantBatcher::TakeReady(base::TimePoint now,
                                                    base::WallTime proposed_at) {
  const auto due = NextDue();
  if (!due || *due > now) {
    return std::nullopt;
  }
  CommandBatch batch{.proposed_at = proposed_at, .commands = {}};
  std::size_t bytes = kBatchOverheadBytes;
  while (!queue_.empty() && batch.commands.size() < options_.maximum_commands &&
         bytes + queue_.front().bytes <= options_.maximum_bytes) {
    bytes += queue_.front().bytes;
    queued_bytes_ -= queue_.front().bytes;
    batch.commands.push_back(std::move(queue_.front().command));
    queue_.pop_front();
  }
  VERIFY(!batch.commands.empty());
  return batch;
}

void GrantBatcher::Clear() {
  queue_.clear();
  queued_bytes_ = 0;
}

bool GrantBatcher::IsFull() const {
  return queue_.size() >= options_.maximum_commands ||
         queued_bytes_ + kBatchOverheadBytes >= options_.maximum_bytes;
}

}  // namespace borageloft::ledger
