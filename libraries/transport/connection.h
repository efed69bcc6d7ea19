#ifndef BORAGELOFT_TRANSPORT_CONNECTION_H_
#define BORAGELOFT_TRANSPORT_CONNECTION_H_

#include <array>
#include <asio.hpp>
#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libraries/transport/stream_compression.h"
#include "libraries/transport/transport_types.h"

namespace borageloft::transport {

/** Which side opened a connection. */
enum class Direction { kOutbound, kInbound };

class Connection;

/** What a connection reports to the transport that owns it. */
struct ConnectionEvents {
  /** The peer said who it is. @return Whether the connection may go on. */
  std::function<bool(const std::shared_ptr<Connection>& connection, const wire::Hello& hello)>
      handle_hello;
  std::function<void(const std::shared_ptr<Connection>& connection, wire::Request request)>
      handle_request;
  std::function<void(InboundRequestId id)> handle_cancel;
  std::function<void(const std::string& from, wire::Channel channel, std::string payload)>
      handle_control;
  std::function<void(const std::shared_ptr<Connection>& connection, const char* reason)>
      handle_closed;
  std::function<void()> handle_late_response;
  std::function<void(TrafficKind kind, bool crosses_zones, std::size_t bytes)> count_sent;
};

/**
 * One multiplexed connection to another node. Public functions may be called from any thread;
 * the state behind them is touched only on the connection's strand.
 */
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  /**
   * @param id Number of the connection, unique in this process.
   * @param generation Generation of an outbound connection; an inbound one learns it from Hello.
   * @param expected_node Node that an outbound connection must reach; empty for an inbound one.
   */
  Connection(asio::ip::tcp::socket socket, Direction direction, std::uint64_t id,
             std::uint64_t generation, std::string expected_node, const TransportOptions& options,
             ConnectionEvents events);

  /** Opens an outbound connection. */
  void Dial(const settings::Endpoint& endpoint);

  /** Starts an inbound connection. */
  void Start();

  /**
   * Sends a request.
   * @return The stream, for CancelCall().
   */
  std::uint64_t SendRequest(wire::Request request, ResponseHandler handler);

  /** Ends a call: its handler is told kNotSent or kLost, and the peer is told to cancel. */
  void CancelCall(std::uint64_t stream);

  /** Sends the answer to a request that arrived on this connection. */
  void SendResponse(wire::Response response);

  /** Sends a control message. It is dropped when the queue is full: their protocols repeat. */
  void SendControl(wire::Channel channel, std::string payload);

  /**
   * Sends a heartbeat when calls are pending and nothing has arrived for one ping interval, and
   * closes the connection when no frame follows in time. Idle connections are tested rarely.
   */
  void CheckHeartbeat();

  /** Closes the connection. */
  void Close(const char* reason);

  /** @return Time for which a heartbeat has gone unanswered; zero if none has. Any thread. */
  base::Duration SilentFor(base::TimePoint now) const;

  std::uint64_t id() const { return id_; }
  Direction direction() const { return direction_; }

  /** @return The peer's node name; set before handle_hello is called, then constant. */
  const std::string& peer() const { return peer_; }

 private:
  struct PendingCall {
    ResponseHandler handler;
    bool is_written = false;
  };

  enum class InboundState { kRunning, kCancelled };

  struct QueuedFrame {
    std::string bytes;
    TrafficKind kind = TrafficKind::kHandshake;
    std::uint64_t stream = 0;  // Set for request frames only.
  };

  void HandleConnected(const asio::error_code& error);
  void CheckSilence(base::TimePoint now);
  void Read();
  void HandleBytes(std::size_t count);
  void HandleFrame(wire::Frame frame);
  void HandlePacked(const wire::Packed& packed);
  void HandleHello(const wire::Hello& hello);
  void HandleRequest(wire::Request request);
  void Answer(wire::Response response);
  void HandleResponse(wire::Response response);
  void HandleCancel(const wire::Cancel& cancel);
  void StartCall(std::uint64_t stream, wire::Request request, ResponseHandler handler);
  void FinishCall(std::uint64_t stream);
  bool Enqueue(const wire::Frame& frame, std::uint64_t stream = 0);
  void SendHello();
  void WriteNext();
  void PackBatch();
  void CountBatch(double packed_share) const;
  void WriteBatch();
  void HandleWritten(const asio::error_code& error);
  void Fail(const char* reason);
  void FailCalls();
  void CancelInbound();

  const TransportOptions& options_;
  const Direction direction_;
  const std::uint64_t id_;
  const std::string expected_node_;
  ConnectionEvents events_;

  asio::ip::tcp::socket socket_;
  asio::steady_timer connect_timer_;
  std::uint64_t generation_;
  std::string peer_;
  bool is_ready_ = false;
  bool is_closed_ = false;
  bool is_writing_ = false;
  bool crosses_zones_ = false;
  std::atomic<std::uint64_t> next_stream_;
  base::TimePoint last_received_;
  base::TimePoint last_ping_;
  std::optional<base::TimePoint> awaited_since_;  // Oldest heartbeat without any frame after it.
  std::atomic<base::Duration::rep> awaited_ticks_{0};  // The same for other threads; 0 for none.
  std::uint64_t ping_sequence_ = 0;
  wire::FrameReader reader_;
  std::optional<StreamCompressor> compressor_;
  std::optional<StreamDecompressor> decompressor_;
  wire::FrameReader packed_reader_;
  std::array<char, 64 * 1024> read_buffer_;
  std::deque<QueuedFrame> queue_;
  std::vector<QueuedFrame> writing_;
  std::size_t queued_bytes_ = 0;
  std::map<std::uint64_t, PendingCall> calls_;
  // Requests of the peer until they are answered here. A cancelled one keeps its stream, so that
  // the peer cannot give the stream to another request while the answer is still to come.
  std::map<std::uint64_t, InboundState> inbound_;
};

}  // namespace borageloft::transport

#endif  // BORAGELOFT_TRANSPORT_CONNECTION_H_
