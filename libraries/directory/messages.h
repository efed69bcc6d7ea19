#ifndef BORAGELOFT_DIRECTORY_MESSAGES_H_
#define BORAGELOFT_DIRECTORY_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "libraries/base/base.h"

namespace borageloft::directory {

/** A directory message cannot be decoded. */
class DirectoryError : public base::Error {
 public:
  using Error::Error;
};

/** Whether an instance accepts new requests. */
enum class InstanceState : std::uint8_t {
  kServing = 0,
  kLeaving = 1,
};

/** One process of an instance; an instance may start again under the id that it had. */
struct Incarnation {
  std::string instance;
  std::uint64_t born = 0;  ///< Start in Unix milliseconds of its own clock; 0 if not known.

  friend bool operator==(const Incarnation&, const Incarnation&) = default;
};

/** @return Whether both are known or assumed to be the same process. */
inline bool MayBeSame(const Incarnation& left, const Incarnation& right) {
  return left.instance == right.instance &&
         (left.born == right.born || left.born == 0 || right.born == 0);
}

/** Whether an instance calls other services while it runs a request. */
enum class CallUse : std::uint8_t {
  kUnknown = 0,
  kNone = 1,
  kSome = 2,
};

/** Record of a node about the instance on its host. */
struct InstanceRecord {
  std::string node;  ///< Address at which other nodes reach the node; empty if the record is unset.
  std::string zone;
  std::uint64_t epoch = 0;     ///< Identifies the node's process; differs after each start.
  std::uint64_t revision = 0;  ///< Increases with each change within an epoch.
  std::string service;         ///< Empty while the node has no instance.
  std::string instance;
  std::uint32_t slots = 0;
  InstanceState state = InstanceState::kServing;
  std::uint32_t warm_up_left_ms = 0;  ///< Time for which the instance remains slow after its start.
  /** Calls to services without an instance in this zone that a call from another upstream makes
   * when this instance runs it. */
  std::uint32_t remote_calls = 0;
  CallUse calls = CallUse::kUnknown;
  /** Binary logarithm of the slowdown of the instance relative to its usual speed. */
  std::uint32_t slowdown_steps = 0;
  std::uint64_t born = 0;  ///< Start of the instance, see Incarnation.

  friend bool operator==(const InstanceRecord&, const InstanceRecord&) = default;
};

/** What a request to a control host asks for. */
enum class SyncKind : std::uint8_t {
  kRecords = 0,   ///< Renews the sender's record; asks for the records of all nodes.
  kRenewal = 1,   ///< Renews the sender's record only.
  kExchange = 2,  ///< Of a control host; asks for the records that nodes renew at the receiver.
};

/** Request to a control host. It also asks for a newer declaration. */
struct SyncRequest {
  InstanceRecord record;             ///< Of the sender; unset for an exchange.
  std::uint64_t known_version = 0;   ///< Version of the declaration that the node holds.
  std::uint64_t registry_epoch = 0;  ///< Epoch of the registry that `registry_revision` belongs to.
  std::uint64_t registry_revision = 0;
  SyncKind kind = SyncKind::kRecords;
  /** When the node sent the request, in nanoseconds of a clock of its own; 0 if it does not need to
   * know how old the answer's knowledge is. */
  std::uint64_t sent_at = 0;
};

/** Answer of a control host, also sent to other control hosts when the records change. */
struct SyncAnswer {
  bool is_current = false;  ///< Whether the control host is in contact with the leader.
  std::uint64_t version = 0;
  std::string declaration;  ///< Empty if the node already holds this version.
  std::vector<std::string> control_hosts;
  /** Whether every node has had time to renew its record since the control host started. */
  bool is_complete = false;
  std::uint64_t registry_epoch = 0;  ///< 0 if the answer says nothing about records.
  std::uint64_t base_revision = 0;   ///< Base of the changes; 0 if the whole registry follows.
  std::uint64_t registry_revision = 0;
  std::vector<InstanceRecord> records;
  std::vector<std::string> removed;   ///< Nodes whose records were removed.
  std::string zone;                   ///< Of the control host.
  std::uint64_t request_sent_at = 0;  ///< Of the request, as it states it.
  /** Upper bound of the time since the control host knew of every declaration in force, in
   * milliseconds; nothing if it has none. Follows only if the request states when it was sent. */
  std::optional<std::uint32_t> age_ms = std::nullopt;
};

/**
 * Of a node: asks which instance processes are recorded as having left it, and, if it names one, to
 * record that first. Control hosts forward it once, to the leader.
 */
struct DepartureRequest {
  std::string node;
  std::uint64_t epoch = 0;  ///< Of the node's process.
  Incarnation departed;     ///< Process to record; without an id, nothing is recorded.
  bool is_forwarded = false;
};

/** Answer of the leader to a DepartureRequest. */
struct DepartureAnswer {
  std::uint64_t epoch = 0;  ///< Of the request.
  std::vector<Incarnation> departed;
};

/** Of a control host: asks the leader which declaration is in force now. */
struct FreshnessRequest {
  std::uint64_t sent_at = 0;  ///< In nanoseconds of a clock of the sender.
};

/** Answer of the leader, after a majority has confirmed that it still leads. */
struct FreshnessAnswer {
  std::uint64_t request_sent_at = 0;  ///< Of the request, as it states it.
  std::uint64_t version = 0;          ///< Version in force after the request arrived.
};

/** What a node reports and asks for one client account with a quota. */
struct QuotaUse {
  std::string account;
  std::uint32_t arrivals = 0;  ///< Requests since the last report.
  std::uint32_t wanted = 0;    ///< Tokens for requests that wait for them.
  std::uint32_t ahead = 0;     ///< Tokens for requests that are expected soon.
  std::uint32_t returned = 0;  ///< Tokens granted earlier that were not used and have expired.
};

/** Of a node to the owner of the quotas. Control hosts forward it once, to the leader. */
struct QuotaRequest {
  std::string node;
  std::uint64_t epoch = 0;  ///< Of the node's process.
  std::uint64_t sequence = 0;
  bool is_forwarded = false;
  std::uint32_t nodes = 0;  ///< Number of nodes that the sender knows, itself included.
  std::vector<QuotaUse> uses;
};

/** Tokens for one client account. */
struct QuotaGrant {
  std::string account;
  std::uint32_t granted = 0;
  std::uint32_t demand_milli = 0;  ///< Thousandths of a request per second, over all nodes.
  std::uint32_t wait_ms = 0;       ///< Time until a further request will have a token.
};

/** Answer of the owner, with a grant for each use of the request. */
struct QuotaAnswer {
  std::uint64_t epoch = 0;     ///< Of the request.
  std::uint64_t sequence = 0;  ///< Of the request.
  std::vector<QuotaGrant> grants;
};

/** Any directory message. */
using Message = std::variant<SyncRequest, SyncAnswer, DepartureRequest, DepartureAnswer,
                             FreshnessRequest, FreshnessAnswer, QuotaRequest, QuotaAnswer>;

/** @return @p message in its wire format. */
std::string Encode(const Message& message);

/** @throws DirectoryError If @p bytes are not a valid message. */
Message Decode(std::string_view bytes);

}  // namespace borageloft::directory

#endif  // BORAGELOFT_DIRECTORY_MESSAGES_H_
