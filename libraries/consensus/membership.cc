#include "libraries/consensus/membership.h"

#include <algorithm>
#include <utility>

#include "libraries/consensus/error.h"
#include "libraries/consensus/limits.h"

namespace borageloft::consensus {

Membership Membership::OfVoters(const std::vector<std::string>& hosts) {
  std::map<ReplicaId, Member> members;
  for (const std::string& host : hosts) {
    members.emplace(members.size() + 1, Member{host, true});
  }
  const ReplicaId next_id = members.size() + 1;
  return FromParts(std::move(members), next_id);
}

Membership Membership::FromParts(std::map<ReplicaId, Member> members, ReplicaId next_id) {
  if (members.size() > kMaxMembers) {
    throw ConsensusError("membership has more than 16 members");
  }
  for (const auto& [id, member] : members) {
    if (id == kNoReplica || id >= next_id) {
      throw ConsensusError("membership has a replica id that was never assigned");
    }
    if (member.host.size() > kMaxHostBytes) {
      throw ConsensusError("membership has a host name longer than 255 bytes");
    }
  }
  Membership membership;
  membership.members_ = std::move(members);
  membership.next_id_ = next_id;
  return membership;
}

bool Membership::IsValid(const MembershipChange& change) const {
  const auto found = members_.find(change.replica);
  switch (change.kind) {
    case MembershipChangeKind::kAddLearner:
      return members_.size() < kMaxMembers && change.host.size() <= kMaxHostBytes;
    case MembershipChangeKind::kPromoteLearner:
      return found != members_.end() && !found->second.is_voter;
    case MembershipChangeKind::kRemove:
      return found != members_.end() && (!found->second.is_voter || voter_count() > 1);
  }
  return false;
}

Membership Membership::After(const MembershipChange& change) const {
  VERIFY(IsValid(change));
  Membership result = *this;
  switch (change.kind) {
    case MembershipChangeKind::kAddLearner:
      result.members_.emplace(result.next_id_, Member{change.host, false});
      ++result.next_id_;
      break;
    case MembershipChangeKind::kPromoteLearner:
      result.members_.at(change.replica).is_voter = true;
      break;
    case MembershipChangeKind::kRemove:
      result.members_.erase(change.replica);
      break;
  }
  return result;
}

bool Membership::IsVoter(ReplicaId replica) const {
  const auto found = members_.find(replica);
  return found != members_.end() && found->second.is_voter;
}

std::size_t Membership::voter_count() const {
  return static_cast<std::size_t>(std::count_if(
      members_.begin(), members_.end(), [](const auto& member) { return member.second.is_voter; }));
}

}  // namespace borageloft::consensus
