#ifndef BORAGELOFT_TRANSPORT_PEER_TRANSPORT_H_
#define BORAGELOFT_TRANSPORT_PEER_TRANSPORT_H_

#include <asio.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "libraries/transport/transport_types.h"

namespace borageloft::transport {

class Connection;
struct ConnectionEvents;

/** Names a call that was sent, for its cancellation. */
struct CallId {
  std::weak_ptr<Connection> connection;
  std::uint64_t stream = 0;
};

/**
 * All connections of this node with other nodes: one for each pair, opened when first needed by
 * either side and replaced after a failure. Thread-safe.
 */
class PeerTransport {
 public:
  /** @param context Event loop that runs the connections; must outlive this object. */
  PeerTransport(asio::io_context& context, TransportOptions options, TransportHooks hooks);
  ~PeerTransport();

  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  /**
   * Begins to accept connections.
   * @return The address listened on, with the port that the system chose for port 0.
   * @throws TransportError when the address cannot be used.
   */
  settings::Endpoint Listen(const settings::Endpoint& endpoint);

  /**
   * Sends a request to a node.
   * @param handler Receives the end of the call exactly once.
   */
  CallId SendRequest(const PeerAddress& peer, wire::Request request, ResponseHandler handler);

  /** Ends a call early; its handler is told kNotSent or kLost unless it has ended already. */
  void CancelCall(const CallId& call);

  /** Sends a control message; it may be lost. */
  void SendControl(const PeerAddress& peer, wire::Channel channel, std::string payload);

  /** Sends heartbeats and closes silent connections. Subscribe it to a timer at ping_interval. */
  void CheckHeartbeats();

  /** @return Time for which the connection to a node has left a heartbeat unanswered, or zero. */
  base::Duration SilentFor(const std::string& node) const;

  /** Closes the connection to a node that timed out too often, so that a new one replaces it. */
  void ReplaceConnection(const std::string& node);

  /** Stops accepting and closes every connection. */
  void Stop();

  TransportCounters counters() const;

  /** @return How many connections are open. */
  std::size_t connection_count() const;

 private:
  // Outlives this object as long as a connection's handler may run.
  struct State;

  std::shared_ptr<State> state_;
};

}  // namespace borageloft::transport

#endif  // BORAGELOFT_TRANSPORT_PEER_TRANSPORT_H_
