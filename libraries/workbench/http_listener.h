#ifndef BORAGELOFT_WORKBENCH_HTTP_LISTENER_H_
#define BORAGELOFT_WORKBENCH_HTTP_LISTENER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "libraries/workbench/address.h"

namespace borageloft::workbench {

/** Names and values of HTTP headers, in order. */
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/** Request that a listener received. */
struct HttpRequest {
  std::string method = {};
  std::string path = {};
  HttpHeaders headers = {};
  std::string body = {};
  std::string connection = {};  ///< Remote address and port of the connection.

  /** @return Value of the first header of this name in any case; empty if there is none. */
  std::string Header(std::string_view name) const;
};

/** Response of a handler. */
struct HttpResponse {
  int status = 200;
  std::string body = {};
  std::string content_type = "application/json";
  HttpHeaders headers = {};
  bool is_truncated = false;  ///< Sends half of the body, then closes the connection.
};

/** Produces the response to a request; called on many threads at once. */
using HttpHandler = std::function<HttpResponse(const HttpRequest& request)>;

/** HTTP server that passes every request to one handler. */
class HttpListener {
 public:
  /**
   * Listens at once.
   * @param address Address to listen on.
   * @param threads Connections served at once; each holds a thread while it is open.
   * @throws Error If the address cannot be listened on.
   */
  HttpListener(const Address& address, std::size_t threads, HttpHandler handler);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  /** Stops accepting, waits for handlers in progress and closes all connections. */
  void Stop();

  /** @return Address with the port that was bound. */
  const Address& address() const { return address_; }

 private:
  class Implementation;

  Address address_;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace borageloft::workbench

#endif  // BORAGELOFT_WORKBENCH_HTTP_LISTENER_H_
