#ifndef BORAGELOFT_HTTP_HTTP_SERVER_H_
#define BORAGELOFT_HTTP_HTTP_SERVER_H_

#include <functional>
#include <memory>

#include "libraries/http/http_types.h"
#include "libraries/settings/settings.h"

namespace borageloft::http {

/** Bounds of what a server accepts. */
struct HttpServerOptions {
  std::size_t connections = 1024;
  std::size_t header_bytes = 16 * 1024;
  std::size_t body_bytes = 1024 * 1024;
  base::Duration read_timeout = std::chrono::seconds(10);  // For one whole request.
  base::Duration write_timeout = std::chrono::seconds(10);
  base::Duration idle_timeout = std::chrono::seconds(75);  // Between requests of a connection.
};

/** Answers one request. Runs on the connection's thread and may block. */
using HttpHandler = std::function<HttpResponse(const HttpRequest& request)>;

/** HTTP/1.1 server with one thread for each open connection. */
class HttpServer {
 public:
  HttpServer(const HttpServerOptions& options, HttpHandler handler);
  ~HttpServer();

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /**
   * Begins to serve on a thread of its own.
   * @return The address listened on, with the port that the system chose for port 0.
   * @throws HttpError when the address cannot be used.
   */
  settings::Endpoint Start(const settings::Endpoint& endpoint);

  /** Stops accepting, lets requests in progress finish and ends idle connections. */
  void Stop();

 private:
  struct State;

  std::unique_ptr<State> state_;
};

}  // namespace borageloft::http

#endif  // BORAGELOFT_HTTP_HTTP_SERVER_H_
