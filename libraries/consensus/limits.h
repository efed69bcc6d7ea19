#ifndef BORAGELOFT_CONSENSUS_LIMITS_H_
#define BORAGELOFT_CONSENSUS_LIMITS_H_

#include <cstddef>

namespace borageloft::consensus {

/** Longest encoded message; it fits into one 1.25 MiB frame of the node protocol. */
inline constexpr std::size_t kMaxMessageBytes = std::size_t{1} << 20U;

/** Longest command of one entry. */
inline constexpr std::size_t kMaxCommandBytes = std::size_t{512} << 10U;

/** Most entries of one append request. */
inline constexpr std::size_t kMaxEntriesPerMessage = 1024;

/** Most members of one group, learners included. */
inline constexpr std::size_t kMaxMembers = 16;

/** Longest name of a member's host. */
inline constexpr std::size_t kMaxHostBytes = 255;

/** Longest chunk of a snapshot. */
inline constexpr std::size_t kMaxChunkBytes = std::size_t{512} << 10U;

/** Largest snapshot of a state machine. */
inline constexpr std::size_t kMaxSnapshotBytes = std::size_t{64} << 20U;

/** Most linearisable reads that wait for confirmation at once. */
inline constexpr std::size_t kMaxPendingReads = 4096;

}  // namespace borageloft::consensus

#endif  // BORAGELOFT_CONSENSUS_LIMITS_H_
