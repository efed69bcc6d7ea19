#ifndef BORAGELOFT_CONSENSUS_LIMITS_H_
#define BORAGELOFT_CONSENSUS_LIMITS_H_

#include <cstddef>

namespace borageloft::consensus {

/** Maximum size of an encoded message; it fits into one 1.25 MiB frame of the node protocol. */
inline constexpr std::size_t kMaxMessageBytes = std::size_t{1} << 20U;

/** Maximum size of the command of one entry. */
inline constexpr std::size_t kMaxCommandBytes = std::size_t{512} << 10U;

/** Maximum number of entries of one append request. */
inline constexpr std::size_t kMaxEntriesPerMessage = 1024;

/** Maximum number of members of one group, including learners. */
inline constexpr std::size_t kMaxMembers = 16;

/** Maximum length of the name of a member's host. */
inline constexpr std::size_t kMaxHostBytes = 255;

/** Maximum size of one snapshot chunk. */
inline constexpr std::size_t kMaxChunkBytes = std::size_t{512} << 10U;

/** Maximum size of a state machine snapshot. */
inline constexpr std::size_t kMaxSnapshotBytes = std::size_t{64} << 20U;

/** Maximum number of linearisable reads that wait for confirmation at once. */
inline constexpr std::size_t kMaxPendingReads = 4096;

}  // namespace borageloft::consensus

#endif  // BORAGELOFT_CONSENSUS_LIMITS_H_
