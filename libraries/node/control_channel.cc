#include "libraries/node/control_channel.h"

#include <utility>

namespace borageloft::node {

ControlChannel::ControlChannel(std::string node, const std::vector<settings::ControlPeer>& peers,
                               Post post)
    : node_(std::move(node)), post_(std::move(post)) {
  for (const settings::ControlPeer& peer : peers) {
    addresses_.emplace(peer.node, peer.endpoint);
  }
}

void ControlChannel::Attach(transport::PeerTransport& transport) {
  carrier_ = [&transport](const transport::PeerAddress& to, wire::Channel channel,
                          std::string payload) {
    transport.SendControl(to, channel, std::move(payload));
  };
}

void ControlChannel::Handle(wire::Channel channel, ControlHandler handler) {
  handlers_[channel] = std::move(handler);
}

void ControlChannel::Send(const std::string& to, wire::Channel channel, std::string payload) {
  if (to == node_) {
    post_([this, channel, payload = std::move(payload)] { Receive(node_, channel, payload); });
    return;
  }
  transport::PeerAddress peer{to, {}};
  {
    const std::scoped_lock lock(mutex_);
    const auto found = addresses_.find(to);
    if (found == addresses_.end()) {
      return;
    }
    peer.endpoint = found->second;
  }
  carrier_(peer, channel, std::move(payload));
}

void ControlChannel::Receive(const std::string& from, wire::Channel channel,
                             const std::string& payload) {
  const auto found = handlers_.find(channel);
  if (found == handlers_.end()) {
    return;
  }
  try {
    found->second(from, payload);
  } catch (const std::exception& error) {
    // A malformed message of another node must not end this one.
    base::Log(base::LogLevel::kWarning, "control_message_refused",
              {{"from", from}, {"channel", static_cast<int>(channel)}, {"error", error.what()}});
  }
}

void ControlChannel::Learn(const std::string& node, const settings::Endpoint& endpoint) {
  const std::scoped_lock lock(mutex_);
  addresses_[node] = endpoint;
}

}  // namespace borageloft::node
