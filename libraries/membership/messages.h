#ifndef BORAGELOFT_MEMBERSHIP_MESSAGES_H_
#define BORAGELOFT_MEMBERSHIP_MESSAGES_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace borageloft::membership {

/** Bounds of the encoding. Encoding and decoding both refuse what exceeds them. */
inline constexpr std::size_t kMaximumMessageBytes = std::size_t{256} * 1024;
inline constexpr std::size_t kMaximumText = 128;
inline constexpr std::size_t kMaximumRecords = 256;
inline constexpr std::size_t kMaximumServices = 512;
inline constexpr std::uint32_t kMaximumSlots = 1'000'000;

/** Life cycle of the upstream beside a node. The order is the only allowed direction. */
enum class UpstreamState : std::uint8_t { kAbsent, kJoining, kServing, kLeaving, kGone };

/** Life cycle of a node process. */
enum class NodeState : std::uint8_t { kRunning, kLeaving, kStopped };

/** What a registry knows of a node. */
enum class EntryState : std::uint8_t { kAlive, kSuspect, kUnreachable, kLeaving, kRemoved };

/** Order of the records of one node: a record replaces only records with a smaller stamp. */
struct Stamp {
  std::uint64_t incarnation = 0;
  std::uint64_t revision = 0;  ///< Rises with each change of content within the incarnation.

  // The check takes the operator for a comparison with 0.
  auto operator<=>(const Stamp&) const = default;  // NOLINT(modernize-use-nullptr)
};

/** Revision of a removed incarnation: larger than that of each record of the incarnation. */
inline constexpr std::uint64_t kFencedRevision = std::numeric_limits<std::uint64_t>::max();

/** What an upstream announced, with its state. */
struct UpstreamData {
  std::string service;
  std::string address;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  std::uint64_t announcement = 0;  ///< Rises when the upstream announces itself anew.
  UpstreamState state = UpstreamState::kJoining;

  bool operator==(const UpstreamData&) const = default;
};

/** What a node says of itself. */
struct NodeRecord {
  std::string node;
  Stamp stamp;
  std::string region;
  std::string zone;
  std::string address;
  NodeState node_state = NodeState::kRunning;
  std::optional<UpstreamData> upstream;

  bool operator==(const NodeRecord&) const = default;
};

/** A record with the state that the registry gives it; kRemoved takes it out of a view. */
struct RecordEntry {
  NodeRecord record;
  EntryState state = EntryState::kAlive;

  bool operator==(const RecordEntry&) const = default;
};

/** Node to each control host of its region: the node is alive and has this content. */
struct Lease {
  NodeRecord record;
  std::uint64_t sequence = 0;  ///< Rises with each lease sent within the incarnation.
};

/** Control host to node: answer to some of the leases, and to each refused one. */
struct LeaseAnswer {
  std::string registry;
  std::uint64_t life = 0;
  bool is_settled = false;        ///< The registry serves views.
  std::uint64_t incarnation = 0;  ///< Incarnation of the answered lease.
  std::uint64_t fenced = 0;       ///< Incarnations up to this one are refused; 0 for none.
};

/** A service with the version of a view. */
struct ServiceVersion {
  std::string service;
  std::uint64_t version = 0;
};

/** Node to control host: begins or renews subscriptions and asks for what is newer. */
struct Subscribe {
  std::string node;
  std::uint64_t life = 0;  ///< Life of the registry that the versions belong to; 0 for none.
  std::vector<ServiceVersion> services;
  std::vector<std::string> ended;
};

/** Control host to subscriber: current versions of services, for anti-entropy. */
struct ServiceVersions {
  std::string registry;
  std::uint64_t life = 0;
  bool is_settled = false;
  std::vector<ServiceVersion> services;
};

/** A range of changes of a versioned view. A full transfer starts at version 0. */
struct ViewChunk {
  std::uint64_t life = 0;
  std::uint64_t from = 0;
  std::uint64_t to = 0;
  std::uint64_t target = 0;  ///< Version when the whole transfer is complete.
  bool is_full = false;
  std::vector<RecordEntry> entries;
};

/** Control host to subscriber: changes of the upstreams of a service. */
struct ServiceDelta {
  std::string registry;
  std::string service;
  ViewChunk chunk;
};

/** Incarnation of a node. */
struct NodeIncarnation {
  std::string node;
  std::uint64_t incarnation = 0;
};

/** Control host to the others of its region: did you hear these nodes? */
struct ConfirmRequest {
  std::string registry;
  std::vector<NodeIncarnation> nodes;
};

/** A lease heard by another control host. */
struct HeardLease {
  Lease lease;
  std::uint32_t age_ms = 0;
};

/** Answer to ConfirmRequest. */
struct ConfirmAnswer {
  std::string registry;
  std::vector<HeardLease> confirmed;
  std::vector<std::string> unconfirmed;
};

/** Control host to control host: asks for the changes of the receiver's region. */
struct StateRequest {
  std::string registry;
  std::uint64_t life = 0;
  std::uint64_t after = 0;
};

/** Control host to control host: changes of the sender's region; empty when there are none. */
struct StateDelta {
  std::string registry;
  std::string region;
  ViewChunk chunk;
};

/** An incarnation that cannot be accepted, because a higher or equal one is known or removed. */
struct Fence {
  std::string node;
  std::uint64_t shown = 0;  ///< Incarnation that the receiver shows.
  std::uint64_t above = 0;  ///< The node has to take an incarnation above this one.
};

/** To a registry: the sender cannot accept what it shows; the nodes need new incarnations. */
struct FenceNotice {
  std::string sender;
  std::vector<Fence> fences;
};

/** All messages of the membership channel. */
using Message = std::variant<Lease, LeaseAnswer, Subscribe, ServiceVersions, ServiceDelta,
                             ConfirmRequest, ConfirmAnswer, StateRequest, StateDelta, FenceNotice>;

/** Sends a message to a node or control host. It may be lost, delayed or duplicated. */
using Send = std::function<void(const std::string& to, const Message& message)>;

/**
 * @return Whether @p next may follow @p current: within one announcement of one incarnation an
 * upstream only moves forward through its life cycle.
 */
bool IsAllowedTransition(const NodeRecord& current, const NodeRecord& next);

}  // namespace borageloft::membership

#endif  // BORAGELOFT_MEMBERSHIP_MESSAGES_H_
