#ifndef BORAGELOFT_CONSENSUS_TYPES_H_
#define BORAGELOFT_CONSENSUS_TYPES_H_

#include <cstdint>

namespace borageloft::consensus {

/** Names one replica for its whole life. An id is never used again after its disk is lost. */
using ReplicaId = std::uint64_t;

/** Number of an election; each term has at most one leader. */
using Term = std::uint64_t;

/** Position in the replicated log; the first entry has index 1. */
using Index = std::uint64_t;

/** Stands for no replica, for example an unknown leader or a vote not yet given. */
inline constexpr ReplicaId kNoReplica = 0;

}  // namespace borageloft::consensus

#endif  // BORAGELOFT_CONSENSUS_TYPES_H_
