#ifndef BORAGELOFT_TRANSPORT_TRANSPORT_TYPES_H_
#define BORAGELOFT_TRANSPORT_TRANSPORT_TYPES_H_

#include <cstdint>
#include <functional>
#include <string>
#include <variant>

#include "libraries/settings/settings.h"
#include "libraries/transport/traffic_table.h"
#include "libraries/wire/wire.h"

namespace borageloft::transport {

/** The transport could not start. */
class TransportError : public base::Error {
 public:
  using Error::Error;
};

/** Where a node is reached. */
struct PeerAddress {
  std::string node;
  settings::Endpoint endpoint;

  friend auto operator<=>(const PeerAddress&, const PeerAddress&) = default;
};

/** Why a call between nodes ended without an answer. */
enum class CallFailure {
  kNotSent,  // The request frame was never handed to the socket: it cannot have run.
  kLost,     // The request frame may have arrived: the outcome is unknown.
};

/** End of a call between nodes. */
using CallResult = std::variant<wire::Response, CallFailure>;

/** Receives the end of a call exactly once, on a transport thread. */
using ResponseHandler = std::function<void(CallResult result)>;

/** Names a request that arrived, for its cancellation. */
struct InboundRequestId {
  std::uint64_t connection = 0;
  std::uint64_t stream = 0;

  friend auto operator<=>(const InboundRequestId&, const InboundRequestId&) = default;
};

/** Sends the answer to a request that arrived. Call it at most once, from any thread. */
using Responder = std::function<void(wire::Response response)>;

/** Bounds and intervals of the connections. */
struct TransportOptions {
  std::string node;
  std::uint64_t incarnation = 1;
  std::size_t frame_bytes = 1280 * 1024;
  std::size_t streams = 4096;
  std::size_t connections = 1024;
  std::size_t queue_bytes = 8 * 1024 * 1024;  // Unsent bytes on one connection.
  base::Duration ping_interval = std::chrono::milliseconds(500);
  base::Duration silence_timeout = std::chrono::seconds(2);
  base::Duration connect_timeout = std::chrono::seconds(1);
  /** Tells whether the link to a node crosses zones. Frames on such links travel compressed. If
   * empty, no link does. */
  std::function<bool(const std::string& node)> crosses_zones;
};

/** What the transport reports. All hooks run on transport threads with no lock held. */
struct TransportHooks {
  /** A request arrived. */
  std::function<void(const std::string& from, InboundRequestId id, wire::Request request,
                     Responder respond)>
      handle_request;
  /** The calling node cancelled a request or its connection is gone. */
  std::function<void(InboundRequestId id)> handle_cancel;
  /** A control message arrived. */
  std::function<void(const std::string& from, wire::Channel channel, std::string payload)>
      handle_control;
};

/** Counters of the transport, for metrics. */
struct TransportCounters {
  std::uint64_t connections_opened = 0;
  std::uint64_t connections_silent = 0;
  std::uint64_t connections_refused = 0;
  std::uint64_t late_responses = 0;
  std::uint64_t control_bytes_sent = 0;
  std::uint64_t control_messages_sent = 0;
  std::uint64_t control_dropped = 0;
  TrafficCounters traffic;
};

}  // namespace borageloft::transport

#endif  // BORAGELOFT_TRANSPORT_TRANSPORT_TYPES_H_
