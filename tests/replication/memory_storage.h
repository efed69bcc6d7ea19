#ifndef BORAGELOFT_TESTS_REPLICATION_MEMORY_STORAGE_H_
#define BORAGELOFT_TESTS_REPLICATION_MEMORY_STORAGE_H_

#include <functional>
#include <memory>
#include <stdexcept>
#include <string>

#include "libraries/replication/replication.h"

namespace borageloft::replication {

/** In-memory storage that outlives its ReplicaHost and can fail at a chosen operation. */
class MemoryStorage {
 public:
  ReplicaStorage Hooks() {
    return {[this] { return Load(); },
            [this](const consensus::HardState& state) {
              ThrowIfFailing("hard_state");
              state_.hard_state = state;
            },
            [this](const std::vector<consensus::Entry>& entries) { Append(entries); },
            [this](consensus::Index first) {
              ThrowIfFailing("truncate");
              std::erase_if(state_.entries,
                            [&](const auto& entry) { return entry.index >= first; });
            },
            [this](const consensus::Snapshot& snapshot) {
              ThrowIfFailing("snapshot");
              state_.snapshot = std::make_shared<const consensus::Snapshot>(snapshot);
              std::erase_if(state_.entries,
                            [&](const auto& entry) { return entry.index <= snapshot.index; });
            },
            [this](const consensus::Snapshot& snapshot) {
              ThrowIfFailing("install_first");
              state_.snapshot = std::make_shared<const consensus::Snapshot>(snapshot);
              ThrowIfFailing("install_second");
              state_.entries.clear();
            }};
  }

  void Wipe() { state_ = {}; }

  /** Name of the operation that fails, or empty for none. */
  std::string failing_operation;
  /** Called at the start of each append; may be empty. */
  std::function<void()> on_append;
  /** Number of entries of the last append. */
  std::size_t last_append = 0;
  consensus::PersistedState& state() { return state_; }

 private:
  std::optional<consensus::PersistedState> Load() {
    ThrowIfFailing("load");
    return state_.snapshot ? std::make_optional(state_) : std::nullopt;
  }

  void Append(const std::vector<consensus::Entry>& entries) {
    if (on_append) {
      on_append();
    }
    ThrowIfFailing("append");
    const consensus::Index last =
        state_.entries.empty() ? state_.snapshot->index : state_.entries.back().index;
    if (entries.front().index != last + 1) {
      throw std::logic_error("append leaves a gap in the log");
    }
    state_.entries.insert(state_.entries.end(), entries.begin(), entries.end());
    last_append = entries.size();
  }

  void ThrowIfFailing(const std::string& operation) const {
    if (failing_operation == operation) {
      throw std::runtime_error("no space left on device");
    }
  }

  consensus::PersistedState state_;
};

}  // namespace borageloft::replication

#endif  // BORAGELOFT_TESTS_REPLICATION_MEMORY_STORAGE_H_
