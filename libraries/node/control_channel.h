#ifndef BORAGELOFT_NODE_CONTROL_CHANNEL_H_
#define BORAGELOFT_NODE_CONTROL_CHANNEL_H_

#include <functional>
#include <map>
#include <string>
#include <utility>

#include "libraries/base/base.h"
#include "libraries/settings/settings.h"
#include "libraries/transport/transport.h"

namespace borageloft::node {

/** Receives a control message. Runs with no lock held. */
using ControlHandler = std::function<void(const std::string& from, const std::string& payload)>;

/**
 * Carries control messages between the same parts of different nodes, and between parts of one
 * node. Knows the addresses of control hosts from the settings and learns others. Thread-safe.
 */
class ControlChannel {
 public:
  /** Runs a task later on another thread. */
  using Post = std::function<void(std::function<void()> task)>;

  /** Sends a message to another node; it may be lost. */
  using Carrier = std::function<void(const transport::PeerAddress& to, wire::Channel channel,
                                     std::string payload)>;

  /**
   * @param node This node.
   * @param transport Carries messages to other nodes.
   * @param post Carries messages to this node itself.
   */
  ControlChannel(std::string node, const std::vector<settings::ControlPeer>& peers, Post post);

  /** Sets the transport, once, before the first message. */
  void Attach(transport::PeerTransport& transport);

  /** Sets what carries messages in place of a transport, for tests in one process. */
  void SetCarrier(Carrier carrier) { carrier_ = std::move(carrier); }

  /** Sets the receiver of a channel, before messages arrive. */
  void Handle(wire::Channel channel, ControlHandler handler);

  /** Sends a message. It may be lost. */
  void Send(const std::string& to, wire::Channel channel, std::string payload);

  /** Hands a message that arrived to its receiver. */
  void Receive(const std::string& from, wire::Channel channel, const std::string& payload);

  /** Learns where a node is reached. */
  void Learn(const std::string& node, const settings::Endpoint& endpoint);

 private:
  const std::string node_;
  const Post post_;
  Carrier carrier_;
  std::map<wire::Channel, ControlHandler> handlers_;
  base::RankedMutex mutex_{base::LockRank::kTransport};
  std::map<std::string, settings::Endpoint> addresses_;
};

}  // namespace borageloft::node

#endif  // BORAGELOFT_NODE_CONTROL_CHANNEL_H_
