#include "libraries/replication/replica_storage.h"

#include <algorithm>

namespace borageloft::replication {

std::optional<consensus::PersistedState> LoadConsistent(const ReplicaStorage& storage) {
  std::optional<consensus::PersistedState> state = storage.load();
  if (!state || !state->snapshot) {
    return std::nullopt;
  }
  const consensus::Snapshot& snapshot = *state->snapshot;
  const bool is_replaced =
      std::any_of(state->entries.begin(), state->entries.end(), [&](const consensus::Entry& entry) {
        return entry.index == snapshot.index && entry.term != snapshot.term;
      });
  const bool ends_before = !state->entries.empty() && state->entries.back().index < snapshot.index;
  if (is_replaced || ends_before) {
    storage.install_snapshot(snapshot);
    state->entries.clear();
  }
  return state;
}

}  // namespace borageloft::replication
