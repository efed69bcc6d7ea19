#ifndef BORAGELOFT_CONSENSUS_MEMBERSHIP_H_
#define BORAGELOFT_CONSENSUS_MEMBERSHIP_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "libraries/consensus/types.h"

namespace borageloft::consensus {

/** One member of a group. */
struct Member {
  /** Name of the control host in the transport. */
  std::string host;
  /** False for a learner, which receives the log but does not count towards a quorum. */
  bool is_voter = false;

  bool operator==(const Member&) const = default;
};

/** Kind of a membership change. Each change affects one member. */
enum class MembershipChangeKind { kAddLearner, kPromoteLearner, kRemove };

/** A membership change to propose. */
struct MembershipChange {
  MembershipChangeKind kind = MembershipChangeKind::kAddLearner;
  /** Member to promote or remove. Unused for kAddLearner: the group assigns a new id. */
  ReplicaId replica = kNoReplica;
  /** Host of the learner to add. */
  std::string host;
};

/**
 * Members of a group. Ids are assigned in increasing order and never reused, so that a host that
 * lost its disk, and with it the record of its votes, cannot rejoin under its old id.
 */
class Membership {
 public:
  Membership() = default;

  /** @return The first membership of a group: voters with the ids 1, 2, ... in the given order. */
  static Membership OfVoters(const std::vector<std::string>& hosts);

  /**
   * Restores a membership from its parts.
   * @throws ConsensusError if a limit of limits.h is exceeded or an id is not in [1, next_id).
   */
  static Membership FromParts(std::map<ReplicaId, Member> members, ReplicaId next_id);

  /**
   * @return Whether @p change applies to this membership: the member exists, is a learner for a
   * promotion, and the last voter is not removed.
   */
  bool IsValid(const MembershipChange& change) const;

  /** @return This membership with @p change applied, which must be valid. */
  Membership After(const MembershipChange& change) const;

  /** @return Members by id. */
  const std::map<ReplicaId, Member>& members() const { return members_; }
  /** @return Id to assign to the next added learner. */
  ReplicaId next_id() const { return next_id_; }
  /** @return Whether @p replica is a member. */
  bool Contains(ReplicaId replica) const { return members_.contains(replica); }
  /** @return Whether @p replica is a voter. */
  bool IsVoter(ReplicaId replica) const;
  /** @return Number of voters. */
  std::size_t voter_count() const;
  /** @return Number of voters in a majority. */
  std::size_t quorum() const { return voter_count() / 2 + 1; }

  bool operator==(const Membership&) const = default;

 private:
  std::map<ReplicaId, Member> members_;
  ReplicaId next_id_ = 1;
};

}  // namespace borageloft::consensus

#endif  // BORAGELOFT_CONSENSUS_MEMBERSHIP_H_
