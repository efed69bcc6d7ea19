#include "libraries/replication/membership_repair.h"

namespace borageloft::replication {

using consensus::Member;
using consensus::MembershipChange;
using consensus::MembershipChangeKind;
using consensus::ReplicaId;

namespace {

bool IsFull(const RepairView& view) {
  return view.target_voters != 0 && view.membership.voter_count() >= view.target_voters;
}

// Ids increase, so the replica with the highest id at an address is the current one.
bool IsReplaced(const RepairView& view, ReplicaId replica, const Member& member) {
  const std::string address = view.address_of(member.host);
  for (const auto& [other, candidate] : view.membership.members()) {
    if (other > replica && view.address_of(candidate.host) == address) {
      return true;
    }
  }
  return false;
}

// Finds a voter at the learner's address, which must be removed before the learner is promoted.
std::optional<ReplicaId> FindPredecessor(const RepairView& view, const Member& learner) {
  const std::string address = view.address_of(learner.host);
  for (const auto& [replica, member] : view.membership.members()) {
    if (member.is_voter && view.address_of(member.host) == address) {
      return replica;
    }
  }
  return std::nullopt;
}

bool IsLost(const RepairView& view, ReplicaId replica) {
  return view.is_stopping(replica) ||
         (!view.is_reachable(replica) && view.time_since_contact(replica) >= view.replace_after);
}

bool IsForgotten(const RepairView& view, ReplicaId learner) {
  return !view.is_reachable(learner) && view.time_since_contact(learner) >= view.forget_after;
}

// Prefers the voter that has been silent for longest, as one that only pauses or restarts comes
// back soon and must then join again.
std::optional<ReplicaId> FindLostVoter(const RepairView& view) {
  std::optional<ReplicaId> found;
  for (const auto& [replica, member] : view.membership.members()) {
    const bool is_candidate = member.is_voter && replica != view.leader && IsLost(view, replica);
    if (is_candidate &&
        (!found || view.time_since_contact(replica) > view.time_since_contact(*found))) {
      found = replica;
    }
  }
  return found;
}

}  // namespace

std::optional<MembershipChange> PlanRepair(const RepairView& view) {
  for (const auto& [learner, member] : view.membership.members()) {
    if (member.is_voter) {
      continue;
    }
    // A learner that is gone for good would take up one of the limited places for members.
    if (IsReplaced(view, learner, member) || IsForgotten(view, learner)) {
      return MembershipChange{MembershipChangeKind::kRemove, learner, ""};
    }
    if (!view.has_caught_up(learner)) {
      continue;
    }
    if (const auto predecessor = FindPredecessor(view, member)) {
      // Right after a restart, the earlier replica still counts as reachable. Promoting the learner
      // at that point would leave a voter in the group that never responds again.
      if (!view.is_reachable(*predecessor)) {
        return MembershipChange{MembershipChangeKind::kRemove, *predecessor, ""};
      }
      continue;
    }
    if (!IsFull(view)) {
      return MembershipChange{MembershipChangeKind::kPromoteLearner, learner, ""};
    }
    if (view.is_reachable(learner) && !view.is_stopping(learner)) {
      if (const auto lost = FindLostVoter(view)) {
        return MembershipChange{MembershipChangeKind::kRemove, *lost, ""};
      }
    }
  }
  return std::nullopt;
}

}  // namespace borageloft::replication
