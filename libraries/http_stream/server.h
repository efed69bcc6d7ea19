#ifndef BORAGELOFT_HTTP_STREAM_SERVER_H_
#define BORAGELOFT_HTTP_STREAM_SERVER_H_

#include <array>
#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "libraries/http_stream/message_parser.h"
#include "libraries/settings/settings.h"

namespace borageloft::http_stream {

/** Thrown when a server cannot listen on its address. */
class ServerError : public base::Error {
 public:
  using Error::Error;
};

class Session;

/**
 * Handle to a request that a server has received, used to send its response. Copies refer to the
 * same request.
 */
class Exchange {
 public:
  Exchange(std::weak_ptr<Session> session, std::uint64_t number)
      : session_(std::move(session)), number_(number) {}

  /** Sends the response. Has no effect after the first call or once the caller has disconnected. */
  void Respond(ResponseMessage response) const;

  /**
   * Sets the function that is called if the request is abandoned.
   * @param callback Called at most once, when the connection closes before a response was given.
   */
  void NotifyAbandoned(std::function<void()> callback) const;

 private:
  std::weak_ptr<Session> session_;
  std::uint64_t number_;
};

/** Called with each complete request. Must respond to the exchange, during the call or later. */
using RequestHandler =
    std::function<void(RequestMessage request, base::TimePoint received, const Exchange& exchange)>;

/** Limits on the connections of a server. */
struct ServerLimits {
  MessageLimits message;
  /** Time to wait for an incomplete request header; then the response is 408. */
  base::Duration header_timeout = std::chrono::seconds(5);
  /** Time after which a connection is closed that has no request, whose caller has stopped in the
   * middle of a body, or whose caller reads nothing of a response. */
  base::Duration idle_timeout = std::chrono::seconds(15);
  /** Maximum requests of one connection in progress; further ones stay unparsed meanwhile. */
  std::size_t pipeline_depth = 32;
  /**
   * Maximum size of the requests held on all connections together, from their first byte until
   * their response; a request beyond it is answered with 503. An eighth is kept for requests of at
   * most kSmallRequestBytes. The responses that callers have not read may take as much again.
   */
  std::size_t held_bytes = std::size_t{48} << 20U;
  static constexpr std::size_t kSmallRequestBytes = std::size_t{64} << 10U;
  /** Counted for each request and each response beside its bytes, for what describes it. */
  static constexpr std::size_t kBytesPerRequest = std::size_t{2} << 10U;
  static constexpr std::size_t kBytesPerResponse = std::size_t{1} << 9U;
  /** Maximum open connections; further ones are closed as soon as they are accepted. */
  std::size_t connections = 3000;
  /** Maximum open connections of one address. */
  std::size_t connections_per_address = 3000;
  /** Once the connections or the held bytes are used up, a connection whose request is incomplete
   * is closed for another one if less than kProgressBytes of it have arrived in this time. */
  base::Duration stall_patience = std::chrono::seconds(1);
  static constexpr std::size_t kProgressBytes = std::size_t{1} << 10U;
};

/** Counters of a server, for metrics. */
struct ServerCounters {
  std::uint64_t connections_opened = 0;
  std::uint64_t connections_refused = 0;
  std::uint64_t requests = 0;
  std::uint64_t malformed = 0;
  std::uint64_t refused_for_bytes = 0;
  std::uint64_t closed_slow_readers = 0;     ///< Their responses took too much memory or time.
  std::uint64_t closed_stalled_bodies = 0;   ///< The caller stopped in the middle of a body.
  std::uint64_t closed_stalled_senders = 0;  ///< Incomplete requests that made room for others.
  std::uint64_t abandoned = 0;
};

/**
 * HTTP/1.1 server on one event loop, with pipelining: requests of one connection are handled
 * concurrently, and their responses are sent in request order. Not thread-safe: everything runs on
 * the loop's thread.
 */
class Server {
 public:
  Server(asio::io_context& context, ServerLimits limits, RequestHandler handler);
  ~Server();

  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /**
   * Binds to an address and begins to accept connections.
   * @param endpoint Address and port; with port 0 the operating system chooses the port.
   * @return The address, with the port that the server listens on.
   * @throws ServerError if the server cannot listen on the address.
   */
  settings::Endpoint Listen(const settings::Endpoint& endpoint);

  /** Replaces the limits. Open connections apply the message limits from their next request on. */
  void set_limits(const ServerLimits& limits) { limits_ = limits; }

  /** Begins to drain: a connection is closed after a response that no further request follows. */
  void BeginDrain() { is_draining_ = true; }

  /** Stops accepting and closes every connection. */
  void Stop();

  /** @return Number of requests received that have no response yet, or one behind such a request.
   */
  std::size_t exchanges_in_progress() const { return exchanges_in_progress_; }

  /** @return Number of connections on which a response is not yet written in full, or whose closing
   * the caller has not completed. */
  std::size_t unfinished_responses() const;
  /** @return Size of the requests that count against the limit. */
  std::size_t held_bytes() const { return held_bytes_; }
  /** @return Size of the responses that callers have not read. */
  std::size_t unread_bytes() const { return unread_bytes_; }
  std::size_t connection_count() const { return sessions_.size(); }
  const ServerCounters& counters() const { return counters_; }

 private:
  friend class Session;

  void Accept();
  // Bytes that requests may hold together if one of this size is among them.
  std::size_t RoomFor(std::size_t request_bytes) const;
  // Whether a request may grow from one size to another.
  bool HasRoom(std::size_t request_bytes, std::size_t held_before) const;
  // The same, after closing stalled senders other than @p session if necessary.
  bool MakeRoom(const Session& session, std::size_t request_bytes, std::size_t held_before);
  // Closes stalled senders other than @p session until the condition is met. Returns whether it is.
  bool CloseStalledSenders(const Session* session, const std::function<bool()>& is_enough);
  // Closes connections until the unread responses are within their limit.
  void LimitUnreadResponses();
  // Logs a connection that was closed to save memory or time, at most once a second.
  void LogClosing(std::string_view reason, std::size_t bytes);

  // Of the connection that is being read; the bytes are taken over before the next one is.
  std::array<char, std::size_t{16} << 10U> read_buffer_{};
  asio::io_context& context_;
  ServerLimits limits_;
  RequestHandler handler_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer accept_retry_timer_;
  std::unordered_map<std::uint64_t, std::shared_ptr<Session>> sessions_;
  std::uint64_t next_session_id_ = 1;
  std::size_t exchanges_in_progress_ = 0;
  std::size_t held_bytes_ = 0;
  std::size_t unread_bytes_ = 0;
  std::unordered_map<std::string, std::size_t> connections_by_address_;
  base::TimePoint stalled_sought_at_{};  // Without finding enough.
  base::TimePoint closing_logged_at_{};
  std::size_t closings_unlogged_ = 0;
  bool is_draining_ = false;
  ServerCounters counters_;
};

}  // namespace borageloft::http_stream

#endif  // BORAGELOFT_HTTP_STREAM_SERVER_H_
