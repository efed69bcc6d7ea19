#include "libraries/mesh/peer_address.h"

namespace borageloft::mesh {

namespace {

// A peer that answers nothing for this long is given up: below the shortest deadlines in use, and
// above the pauses of a busy host.
constexpr std::chrono::milliseconds kPeerPing{200};
constexpr std::chrono::milliseconds kPeerSilence{1200};
// A host that has no power drops the first packet, and the system sends the next one a second
// later; a new attempt is sooner there. Above two round trips between regions.
constexpr std::chrono::milliseconds kPeerConnect{300};
constexpr std::size_t kFrameBytes = std::size_t{12} << 20U;
constexpr std::size_t kQueueBytes = std::size_t{24} << 20U;

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

transport::PeerAddress PeerOf(const std::string& node) {
  const auto endpoint = settings::ParseEndpoint(node);
  return {node, endpoint.value_or(settings::Endpoint{"127.0.0.1", 0})};
}

transport::TransportOptions PeerOptions(const MeshSettings& settings) {
  transport::TransportOptions options;
  options.node = NodeNameOf(settings);
  options.frame_bytes = kFrameBytes;
  options.queue_bytes = kQueueBytes;
  options.ping_interval = kPeerPing;
  options.silence_timeout = kPeerSilence;
  options.connect_timeout = kPeerConnect;
  return options;
}

}  // namespace borageloft::mesh
