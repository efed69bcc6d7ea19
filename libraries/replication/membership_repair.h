#ifndef BORAGELOFT_REPLICATION_MEMBERSHIP_REPAIR_H_
#define BORAGELOFT_REPLICATION_MEMBERSHIP_REPAIR_H_

#include <functional>
#include <optional>
#include <string>

#include "libraries/consensus/consensus.h"

namespace borageloft::replication {

/** Input of PlanRepair(): the membership and what the leader knows of its members. */
struct RepairView {
  consensus::Membership membership;
  consensus::ReplicaId leader = consensus::kNoReplica;
  /** Desired number of voters; 0 promotes every learner. */
  std::size_t target_voters = 0;
  /** Time without contact after which a voter is replaced by a learner that has caught up. */
  base::Duration replace_after = std::chrono::seconds(1);
  /** Time without contact after which a learner is removed. */
  base::Duration forget_after = std::chrono::seconds(10);
  /** Address of a member's host; a replica replaces earlier ones at the same address. */
  std::function<std::string(const std::string& host)> address_of;
  std::function<bool(consensus::ReplicaId)> is_reachable;
  /** Whether a member has announced that it stops. */
  std::function<bool(consensus::ReplicaId)> is_stopping;
  std::function<bool(consensus::ReplicaId)> has_caught_up;
  /** Time for which the group has not heard a member. */
  std::function<base::Duration(consensus::ReplicaId)> time_since_contact;
};

/**
 * Plans the next membership change. Each change affects one member, and a voter is removed only if
 * a learner that has caught up can take its place, so that committed entries stay on as many disks
 * as before. A learner that is lost is removed without that; it joins again if it returns.
 * @return The change to propose, or nothing.
 */
std::optional<consensus::MembershipChange> PlanRepair(const RepairView& view);

}  // namespace borageloft::replication

#endif  // BORAGELOFT_REPLICATION_MEMBERSHIP_REPAIR_H_
