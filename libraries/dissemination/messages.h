#ifndef BORAGELOFT_DISSEMINATION_MESSAGES_H_
#define BORAGELOFT_DISSEMINATION_MESSAGES_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "libraries/dissemination/zone_report.h"

namespace borageloft::dissemination {

/** Bounds of the encoding. Encoding and decoding both refuse what exceeds them. */
inline constexpr std::size_t kMaximumText = 128;
inline constexpr std::size_t kMaximumPayload = std::size_t{1024} * 1024;
inline constexpr std::size_t kMaximumMessageBytes = kMaximumPayload + 4096;
inline constexpr std::size_t kMaximumCandidates = 24;
inline constexpr std::size_t kMaximumUnreachable = 24;

/** A release note, or with a snapshot the whole policy as of a number. The payload is opaque. */
struct ReleaseNote {
  std::uint64_t number = 0;
  std::string digest;  ///< Of the release note with this number, also in a snapshot.
  std::string payload;

  bool operator==(const ReleaseNote&) const = default;
};

/** Parent to child: a release note; it takes effect after the one before it. */
struct NoteMessage {
  ReleaseNote note;
};

/** Parent to child: the policy as of a number, in place of all notes up to it. */
struct SnapshotMessage {
  ReleaseNote snapshot;
};

/** Child to parent, each second and on change: attaches, and tells the numbers below it. */
struct StatusUp {
  std::string node;
  std::string zone;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;  ///< Rises within the incarnation.
  std::uint64_t number = 0;
  bool wants_snapshot = false;
  ZoneReport report;         ///< The child and all nodes below it.
  std::string address = {};  ///< Where the child is reached, as IP:port; empty when that is known.
};

/** Parent to child: answer to StatusUp. */
struct StatusDown {
  std::string node;
  std::uint64_t answered = 0;  ///< Sequence of the answered StatusUp.
  std::uint64_t number = 0;
  std::uint64_t oldest = 0;       ///< Oldest note that the parent can send; 0 for none.
  std::uint32_t root_age_ms = 0;  ///< Time since the parent was last joined to a control host.
  bool is_accepted = false;       ///< False when the parent takes no further children.
  bool is_cut_off = false;        ///< The control hosts of the region are cut off.
};

/** Child to its former parent: it is attached elsewhere. */
struct Detach {
  std::string node;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
};

/** Node to control host: asks for its position, each few seconds and when its parent is silent. */
struct PositionRequest {
  std::string node;
  std::string zone;
  std::uint64_t incarnation = 0;
  std::uint64_t version = 0;  ///< Version of the position that the node has.
  std::uint32_t age_s = 0;    ///< Time since the node's process started.
};

/** Where a node is reached, as IP:port. */
struct NodeAddress {
  std::string node;
  std::string address;
};

/** Control host to node: its parent candidates, nearest first. */
struct Position {
  std::uint64_t version = 0;
  std::vector<std::string> candidates;      ///< Parent, grandparent, control hosts.
  std::vector<NodeAddress> addresses = {};  ///< Of the candidates that are no control hosts.
};

/** Control host to those of other regions: the nodes that its registry holds in one zone. */
struct ExpectedNodes {
  std::string zone;
  NodeSet reachable;
  NodeSet all;                           ///< With the unreachable ones.
  std::vector<std::string> unreachable;  ///< The first kMaximumUnreachable names.
};

/** All messages of the dissemination channel. */
using Message = std::variant<NoteMessage, SnapshotMessage, StatusUp, StatusDown, Detach,
                             PositionRequest, Position, ExpectedNodes>;

/** Sends a message to a node or control host. It may be lost, delayed or duplicated. */
using Send = std::function<void(const std::string& to, const Message& message)>;

}  // namespace borageloft::dissemination

#endif  // BORAGELOFT_DISSEMINATION_MESSAGES_H_
