#ifndef BORAGELOFT_REPLICATION_REPLICA_HOST_OPTIONS_H_
#define BORAGELOFT_REPLICATION_REPLICA_HOST_OPTIONS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

#include "libraries/base/base.h"
#include "libraries/consensus/consensus.h"

namespace borageloft::replication {

/** Settings of a ReplicaHost. */
struct ReplicaHostOptions {
  consensus::ReplicaOptions replica;
  /** Interval of ticks; should be a fraction of the heartbeat interval. */
  base::Duration tick_interval = std::chrono::milliseconds(20);
  /** Time after which a proposal without an outcome completes as unknown. */
  base::Duration proposal_timeout = std::chrono::seconds(5);
  /** Interval between attempts to reopen the storage after a failure. */
  base::Duration reopen_interval = std::chrono::seconds(1);
  /** Number of entries applied between two snapshots. */
  std::uint64_t snapshot_interval = 512;
  /**
   * Size of the log above the latest snapshot at which the next one is taken earlier than that. The
   * log is kept in memory, and is read whole at a start.
   */
  std::uint64_t snapshot_log_bytes = std::uint64_t{8} << 20U;
  /** Whether the leader promotes learners that have caught up and replaces members with them. */
  bool promotes_learners = true;
  /** Desired number of voters; further learners remain spares. 0 means no limit. */
  std::size_t target_voters = 0;
  /**
   * Time without contact after which a voter is replaced by a spare. Two election timeouts, so that
   * the replacement and one election end within the shortest catch-up time of a deployment.
   */
  base::Duration replace_after = std::chrono::seconds(1);
  /** Time for which a member counts as lost once it has announced that it stops. */
  base::Duration stop_notice_lifetime = std::chrono::seconds(2);
  /**
   * Time without contact after which a learner is removed. Longer than a restart takes: a learner
   * that returns later has to join again.
   */
  base::Duration forget_after = std::chrono::seconds(10);
  /** Address of a member's host, for host names that also identify the disk. */
  std::function<std::string(const std::string& host)> address_of = [](const std::string& host) {
    return host;
  };
};

}  // namespace borageloft::replication

#endif  // BORAGELOFT_REPLICATION_REPLICA_HOST_OPTIONS_H_
