#ifndef BORAGELOFT_CONSENSUS_TYPES_H_
#define BORAGELOFT_CONSENSUS_TYPES_H_

#include <cstdint>

namespace borageloft::consensus {

/** Permanent id of a replica. An id is not reused after its disk is lost. */
using ReplicaId = std::uint64_t;

/** Raft term; each term has at most one leader. */
using Term = std::uint64_t;

/** Position in the replicated log; the first entry has index 1. */
using Index = std::uint64_t;

/** Id that means no replica, for example an unknown leader or no vote yet. */
inline constexpr ReplicaId kNoReplica = 0;

}  // namespace borageloft::consensus

#endif  // BORAGELOFT_CONSENSUS_TYPES_H_
