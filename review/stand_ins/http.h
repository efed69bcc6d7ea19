#ifndef BORAGELOFT_REVIEW_STAND_INS_HTTP_H_
#define BORAGELOFT_REVIEW_STAND_INS_HTTP_H_

#include <asio.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace borageloft::review {

/** A request or a response of HTTP/1.1, with its whole body. */
struct Message {
  std::string method;  ///< Of a request.
  std::string target;  ///< Of a request.
  int status = 0;      ///< Of a response.
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  /**
   * @param name Name of a field, in any case.
   * @return Its value, or an empty text if there is none.
   */
  std::string Field(const std::string& name) const;
};

/** Receives the response, or nothing if the connection ended without a complete one. */
using AnswerHandler = std::function<void(const std::optional<Message>& answer)>;

/**
 * Sends one request on a new connection.
 * @param context Event loop.
 * @param target Address of the server.
 * @param request Sent with a Content-Length.
 * @param limit Time after which the connection is closed without an answer.
 * @param handler Called once.
 * @param bytes_per_second Rate at which the request is written; 0 means without a bound.
 */
void Send(asio::io_context& context, const asio::ip::tcp::endpoint& target, const Message& request,
          std::chrono::milliseconds limit, AnswerHandler handler, std::size_t bytes_per_second = 0);

/** A connection of a client that carries one request after the other. */
class KeptConnection {
 public:
  /**
   * @param context Event loop.
   * @param target Address of the server.
   */
  KeptConnection(asio::io_context& context, const asio::ip::tcp::endpoint& target);
  ~KeptConnection();

  KeptConnection(const KeptConnection&) = delete;
  KeptConnection& operator=(const KeptConnection&) = delete;

  /**
   * Sends a request. No other may be in progress.
   * @param request Sent with a Content-Length.
   * @param handler Called once, unless this connection is destroyed first: with nothing if the
   *     connection ends without a complete answer.
   */
  void Send(const Message& request, AnswerHandler handler);
  /** @return Number of answers received. */
  int answers() const;
  /** @return Whether the connection has ended. */
  bool has_ended() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

/** A request that a server has received, with the means to answer it. */
class Exchange {
 public:
  virtual ~Exchange() = default;
  /**
   * Sends the response; the connection is kept. No effect once the peer has gone.
   * @param response Sent with a Content-Length.
   */
  virtual void Respond(const Message& response) = 0;
  /** @return Whether the peer still holds the connection. */
  virtual bool is_open() const = 0;
};

/** Handles a request, at once or later. */
using RequestHandler =
    std::function<void(const Message& request, const std::shared_ptr<Exchange>& exchange)>;

/** HTTP/1.1 server with kept connections that carry one request at a time. */
class Server {
 public:
  /**
   * Starts to listen.
   * @param context Event loop.
   * @param address Address to listen on.
   * @param handler Called with each request.
   */
  Server(asio::io_context& context, const asio::ip::tcp::endpoint& address, RequestHandler handler);
  /** Closes the listening socket and every connection, as the end of a process does. */
  ~Server();

  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace borageloft::review

#endif  // BORAGELOFT_REVIEW_STAND_INS_HTTP_H_
