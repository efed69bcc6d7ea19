#ifndef BORAGELOFT_DIRECTORY_MESSAGES_H_
#define BORAGELOFT_DIRECTORY_MESSAGES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "libraries/base/base.h"

namespace borageloft::directory {

/** A directory message cannot be read. */
class DirectoryError : public base::Error {
 public:
  using Error::Error;
};

/** Whether an instance takes work. */
enum class InstanceState : std::uint8_t {
  kServing = 0,
  kLeaving = 1,
};

/** Whether an instance calls other services while it runs a request. */
enum class CallUse : std::uint8_t {
  kUnknown = 0,
  kNone = 1,
  kSome = 2,
};

/** What a node says of the instance beside it. */
struct InstanceRecord {
  std::string node;  ///< Address at which other nodes reach the node; empty if the record is unset.
  std::string zone;
  std::uint64_t epoch = 0;     ///< Life of the node's process; differs after each start.
  std::uint64_t revision = 0;  ///< Rises with each change within one life.
  std::string service;         ///< Empty while the node has no instance.
  std::string instance;
  std::uint32_t slots = 0;
  InstanceState state = InstanceState::kServing;
  std::uint32_t warm_up_left_ms = 0;  ///< Time for which the instance remains slow after its start.
  /** Calls that a call of another upstream makes from here to services without an instance in this
   * zone. */
  std::uint32_t remote_calls = 0;
  CallUse calls = CallUse::kUnknown;
  /** How much slower than usual the instance has become, in powers of two. */
  std::uint32_t slowdown_steps = 0;

  friend bool operator==(const InstanceRecord&, const InstanceRecord&) = default;
};

/** Question of a node to a control host, which also renews the node's own record there. */
struct SyncRequest {
  InstanceRecord record;
  std::uint64_t known_version = 0;   ///< Declaration that the node holds.
  std::uint64_t registry_epoch = 0;  ///< Life of the control host that `registry_revision` is of.
  std::uint64_t registry_revision = 0;
};

/** Answer of a control host, also sent unasked when a new declaration is in force. */
struct SyncAnswer {
  bool is_current = false;  ///< Whether the control host is in contact with the leader.
  std::uint64_t version = 0;
  std::string declaration;  ///< Empty if the node holds this version already.
  std::vector<std::string> control_hosts;
  /** Whether every node has had time to renew its record since the control host started. */
  bool is_complete = false;
  std::uint64_t registry_epoch = 0;
  std::uint64_t base_revision = 0;  ///< Changes after this one follow; 0 for the whole registry.
  std::uint64_t registry_revision = 0;
  std::vector<InstanceRecord> records;
  std::vector<std::string> removed;  ///< Nodes without a record.
};

/** Any directory message. */
using Message = std::variant<SyncRequest, SyncAnswer>;

/** @return The bytes of @p message. */
std::string Encode(const Message& message);

/** @throws DirectoryError if the bytes are no message. */
Message Decode(std::string_view bytes);

}  // namespace borageloft::directory

#endif  // BORAGELOFT_DIRECTORY_MESSAGES_H_
