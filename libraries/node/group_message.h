#ifndef BORAGELOFT_NODE_GROUP_MESSAGE_H_
#define BORAGELOFT_NODE_GROUP_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "libraries/base/base.h"

namespace borageloft::node {

/** Bytes between nodes are no group message. */
class GroupMessageError : public base::Error {
 public:
  using Error::Error;
};

/** A message of the consensus protocol. */
struct RaftMessage {
  std::uint64_t sender = 0;  // Replica id.
  std::string bytes;
};

/** A control host without stored state asks what the others have. */
struct StateProbe {};

/** Answer to StateProbe. */
struct StateProbeAnswer {
  bool is_empty = true;
  std::uint64_t term = 0;  // Highest term seen.
};

/** A control host that lost its disk asks to become a learner. */
struct JoinRequest {};

/** Answer to JoinRequest once the membership change is committed. */
struct JoinAnswer {
  std::uint64_t replica = 0;
};

/** A command for the group, from any node. */
struct ForwardedCommand {
  std::uint64_t request = 0;
  std::string command;
};

/** What became of a forwarded command at the host that was asked. */
enum class ForwardResult : std::uint8_t {
  kCommitted = 0,  // In force; the result of the state machine follows.
  kNoEffect = 1,   // This host did not and will not carry it out; another one may.
  kUnknown = 2,    // It may still take effect.
};

/** Answer to ForwardedCommand. */
struct ForwardAnswer {
  std::uint64_t request = 0;
  ForwardResult result = ForwardResult::kUnknown;
  std::string leader;  // Host that leads as far as known; empty for none.
  std::string value;
};

using GroupMessageBody = std::variant<RaftMessage, StateProbe, StateProbeAnswer, JoinRequest,
                                      JoinAnswer, ForwardedCommand, ForwardAnswer>;

/** A message of one replication group. */
struct GroupMessage {
  std::string group;
  GroupMessageBody body;
};

/** @return msgpack encoding of a message. */
std::string EncodeGroupMessage(const GroupMessage& message);

/** @return The decoded message. @throws GroupMessageError when the bytes are malformed. */
GroupMessage DecodeGroupMessage(std::string_view bytes);

}  // namespace borageloft::node

#endif  // BORAGELOFT_NODE_GROUP_MESSAGE_H_
