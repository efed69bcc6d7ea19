#ifndef BORAGELOFT_CONSENSUS_REPLICA_OPTIONS_H_
#define BORAGELOFT_CONSENSUS_REPLICA_OPTIONS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "libraries/base/base.h"

namespace borageloft::consensus {

/** Settings of a replica. */
struct ReplicaOptions {
  /**
   * A follower campaigns after a random time in [election_timeout, 2 * election_timeout) without
   * contact to a leader, and a leader steps down after election_timeout without contact to a
   * quorum. With the default, a failover with one split vote stays within the goal of 2 s.
   */
  base::Duration election_timeout = std::chrono::milliseconds(500);
  /**
   * The first campaign after a start and the retry of a pre-vote follow after a random time in
   * [pre_vote_delay, pre_vote_delay + pre_vote_spread). This can be shorter than an election
   * timeout because a running leader is heard within one heartbeat interval and its followers
   * refuse the pre-vote; it speeds up recovery after a power loss of the whole group. The spread is
   * several round trips, so that few votes are split.
   */
  base::Duration pre_vote_delay = std::chrono::milliseconds(100);
  base::Duration pre_vote_spread = std::chrono::milliseconds(300);
  /** Interval of heartbeats; an unacknowledged request is sent again after two intervals. */
  base::Duration heartbeat_interval = std::chrono::milliseconds(100);
  /** Maximum command bytes of one append request; a single entry may exceed it. At most 256 KiB. */
  std::size_t max_append_bytes = std::size_t{256} << 10U;
  /** Limit of bytes in flight to one follower; nothing more is sent once it is reached. */
  std::size_t max_in_flight_bytes = std::size_t{1} << 20U;
  /** Maximum bytes appended and not yet committed; proposals beyond it are dropped. */
  std::size_t max_uncommitted_bytes = std::size_t{8} << 20U;
  /** Maximum command bytes of committed entries in one Ready; a single entry may exceed it. */
  std::size_t max_apply_bytes = std::size_t{1} << 20U;
  /** Size of a snapshot chunk. At most kMaxChunkBytes. */
  std::size_t snapshot_chunk_bytes = std::size_t{256} << 10U;
  /** Entries retained up to a snapshot, so that a short outage needs no snapshot transfer. */
  std::uint64_t retained_entries = 64;
  /** Limit of the size of those entries. */
  std::uint64_t retained_bytes = std::uint64_t{4} << 20U;
  /** A learner counts as caught up when it lacks at most this many entries. */
  std::uint64_t catch_up_entries = 64;
};

}  // namespace borageloft::consensus

#endif  // BORAGELOFT_CONSENSUS_REPLICA_OPTIONS_H_
