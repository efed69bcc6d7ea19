#include "libraries/mesh/peer_address.h"

namespace borageloft::mesh {

namespace {

// A connection to a peer that sends nothing for the silence timeout is closed. The timeout is below
// the shortest deadlines in use and above the pauses of a busy host.
constexpr std::chrono::milliseconds kPeerPingInterval{200};
constexpr std::chrono::milliseconds kPeerSilenceTimeout{1200};
// The first packet to a host without power is lost, and the kernel retransmits it only after 1 s; a
// new attempt reaches a host that is back sooner. The timeout is above two round trips between
// regions.
constexpr std::chrono::milliseconds kPeerConnectTimeout{300};
// Above the size of the requests that a node may hold by default.
constexpr std::size_t kMaximumFrameBytes = std::size_t{36} << 20U;
constexpr std::size_t kMaximumQueueBytes = std::size_t{40} << 20U;

}  // namespace

std::string NodeNameOf(const MeshSettings& settings) {
  return settings::FormatEndpoint(settings.peers);
}

std::vector<std::string> SeedNodes(const MeshSettings& settings) {
  std::vector<std::string> nodes;
  for (const settings::Endpoint& seed : settings.seeds) {
    nodes.push_back(settings::FormatEndpoint({seed.address, settings.peers.port}));
  }
  return nodes;
}

transport::PeerAddress PeerAddressOf(const std::string& node) {
  const auto endpoint = settings::ParseEndpoint(node);
  return {node, endpoint.value_or(settings::Endpoint{"127.0.0.1", 0})};
}

transport::TransportOptions PeerOptions(const MeshSettings& settings) {
  transport::TransportOptions options;
  options.node = NodeNameOf(settings);
  options.frame_bytes = kMaximumFrameBytes;
  options.queue_bytes = kMaximumQueueBytes;
  options.ping_interval = kPeerPingInterval;
  options.silence_timeout = kPeerSilenceTimeout;
  options.connect_timeout = kPeerConnectTimeout;
  return options;
}

}  // namespace borageloft::mesh
