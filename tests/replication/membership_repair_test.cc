#include "libraries/replication/membership_repair.h"

#include <gtest/gtest.h>

#include <map>

namespace borageloft::replication {
namespace {

using consensus::MembershipChangeKind;
using consensus::ReplicaId;
using std::chrono::milliseconds;

// Three voters, led by the first, and a learner that has caught up.
RepairView ViewOf(const std::map<ReplicaId, milliseconds>& silent) {
  RepairView view;
  view.membership = consensus::Membership::OfVoters({"a", "b", "c"})
                        .After({MembershipChangeKind::kAddLearner, consensus::kNoReplica, "d"});
  view.leader = 1;
  view.target_voters = 3;
  view.address_of = [](const std::string& host) { return host; };
  view.is_reachable = [silent](ReplicaId replica) { return !silent.contains(replica); };
  view.is_stopping = [](ReplicaId) { return false; };
  view.has_caught_up = [](ReplicaId replica) { return replica == 4; };
  view.time_since_contact = [silent](ReplicaId replica) -> base::Duration {
    return silent.contains(replica) ? silent.at(replica) : milliseconds(0);
  };
  return view;
}

// Guards against a spare that takes the place of a voter which only pauses, while another one has
// been lost for longer.
TEST(MembershipRepairTest, TheVoterThatWasSilentForLongestIsReplaced) {
  const auto change = PlanRepair(ViewOf({{2, milliseconds(1100)}, {3, milliseconds(1500)}}));
  ASSERT_TRUE(change.has_value());
  EXPECT_EQ(change->kind, MembershipChangeKind::kRemove);
  EXPECT_EQ(change->replica, 3U);
}

// Guards against a voter that loses its place by a pause of about one election timeout.
TEST(MembershipRepairTest, AVoterThatPausesKeepsItsPlace) {
  EXPECT_FALSE(PlanRepair(ViewOf({{2, milliseconds(600)}})).has_value());
}

}  // namespace
}  // namespace borageloft::replication
