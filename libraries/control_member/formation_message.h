#ifndef BORAGELOFT_CONTROL_MEMBER_FORMATION_MESSAGE_H_
#define BORAGELOFT_CONTROL_MEMBER_FORMATION_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "libraries/consensus/consensus.h"

namespace borageloft::control_member {

/** A message of the control group is malformed, or the member cannot start. */
class ControlMemberError : public base::Error {
 public:
  using Error::Error;
};

/** Carries an encoded message of the consensus protocol between two replicas. */
struct ReplicationMessage {
  consensus::ReplicaId sender = consensus::kNoReplica;
  std::string bytes;
};

/** A host with an empty disk asks to join the group. Followers forward it once, to the leader. */
struct JoinRequest {
  std::string storage;  ///< Name of the disk: the host's address and a random number for the disk.
  bool is_forwarded = false;
};

/** The leader has added a disk to the group as a learner. */
struct JoinAnswer {
  std::string storage;
  consensus::ReplicaId replica = consensus::kNoReplica;
};

/** The leader informs a replica that it is no longer a member. */
struct RemovalNotice {
  consensus::ReplicaId replica = consensus::kNoReplica;
  consensus::Term term = 0;  ///< Term of the leader that sends the notice.
};

/** A replica without a leader asks whether it is still a member. Followers forward it once. */
struct MembershipInquiry {
  std::string address;  ///< Of the host that asks.
  consensus::ReplicaId replica = consensus::kNoReplica;
  bool is_forwarded = false;
};

/** A replica that stops tells the other members, so that a spare can take its place at once. */
struct StopNotice {
  consensus::ReplicaId replica = consensus::kNoReplica;
  std::string address;  ///< Of the host that stops.
};

/** Any message between control hosts. */
using FormationMessage = std::variant<ReplicationMessage, JoinRequest, JoinAnswer, RemovalNotice,
                                      MembershipInquiry, StopNotice>;

/** @return @p message in its wire format. */
std::string EncodeFormationMessage(const FormationMessage& message);

/** Decodes a message. @throws ControlMemberError if @p bytes are malformed. */
FormationMessage DecodeFormationMessage(std::string_view bytes);

}  // namespace borageloft::control_member

#endif  // BORAGELOFT_CONTROL_MEMBER_FORMATION_MESSAGE_H_
