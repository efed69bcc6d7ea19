#ifndef BORAGELOFT_ROUTING_UPSTREAM_VIEW_H_
#define BORAGELOFT_ROUTING_UPSTREAM_VIEW_H_

#include <cstdint>
#include <string>

namespace borageloft::routing {

/** Identifies an upstream of a service. */
struct UpstreamId {
  std::string value;

  bool operator==(const UpstreamId&) const = default;
  bool operator<(const UpstreamId& other) const { return value < other.value; }
};

/** Whether an upstream accepts new requests. */
enum class UpstreamState { kServing, kLeaving };

/** An upstream as membership reports it. */
struct UpstreamView {
  UpstreamId id;
  std::string node;          ///< Id of the node on the host of the upstream.
  std::string node_address;  ///< "host:port" at which other nodes reach that node.
  std::string zone;
  std::uint32_t slots = 1;  ///< Announced slots; 0 counts as 1.
  UpstreamState state = UpstreamState::kServing;
  std::uint64_t incarnation = 1;  ///< Increases with each restart.
};

}  // namespace borageloft::routing

#endif  // BORAGELOFT_ROUTING_UPSTREAM_VIEW_H_
