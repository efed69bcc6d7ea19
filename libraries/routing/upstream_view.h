#ifndef BORAGELOFT_ROUTING_UPSTREAM_VIEW_H_
#define BORAGELOFT_ROUTING_UPSTREAM_VIEW_H_

#include <cstdint>
#include <string>

namespace borageloft::routing {

/** Names one upstream of a service. */
struct UpstreamId {
  std::string value;

  bool operator==(const UpstreamId&) const = default;
  bool operator<(const UpstreamId& other) const { return value < other.value; }
};

/** Whether an upstream takes new work. */
enum class UpstreamState { kServing, kLeaving };

/** What membership tells about one upstream. */
struct UpstreamView {
  UpstreamId id;
  std::string node;          ///< Id of the node beside the upstream.
  std::string node_address;  ///< "host:port" of that node's node address.
  std::string zone;
  std::uint32_t slots = 1;  ///< Announced slots; 0 counts as 1.
  UpstreamState state = UpstreamState::kServing;
  std::uint64_t incarnation = 1;  ///< Rises with each restart.
};

}  // namespace borageloft::routing

#endif  // BORAGELOFT_ROUTING_UPSTREAM_VIEW_H_
