#include "libraries/replication/replica_storage.h"

#include <algorithm>

namespace borageloft::replication {

std::optional<consensus::PersistedState> LoadConsistent(const ReplicaStorage& storage) {
  std::optional<consensus::PersistedState> state = storage.load();
  if (!state || !state->snapshot || state->hard_state.replica == consensus::kNoReplica) {
    return std::nullopt;
  }
  const consensus::Snapshot& snapshot = *state->snapshot;
  const bool is_replaced =
      std::any_of(state->entries.begin(), state->entries.end(), [&](const consensus::Entry& entry) {
        return entry.index == snapshot.index && entry.term != snapshot.term;
      });
  if (is_replaced) {
    storage.truncate(state->entries.front().index);
    state->entries.clear();
  }
  return state;
}

}  // namespace borageloft::replication
