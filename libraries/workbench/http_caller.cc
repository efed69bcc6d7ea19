#include "libraries/workbench/http_caller.h"

#include <httplib.h>

#include <algorithm>

namespace borageloft::workbench {

class HttpCaller::Connection {
 public:
  explicit Connection(const Address& address) : client_(address.host, address.port) {
    client_.set_keep_alive(true);
    client_.set_tcp_nodelay(true);
  }

  std::optional<HttpAnswer> Call(const HttpCall& call) {
    // The library treats a zero timeout as an immediate failure of a read in progress.
    const base::Duration timeout = std::max<base::Duration>(call.timeout, kShortestTimeout);
    client_.set_connection_timeout(timeout);
    client_.set_read_timeout(timeout);
    client_.set_write_timeout(timeout);
    httplib::Request request;
    request.method = call.method;
    request.path = call.path;
    request.headers = {call.headers.begin(), call.headers.end()};
    // Without this the library asks for compression, which would cost more than the answer.
    request.headers.emplace("Accept-Encoding", "identity");
    request.body = call.body;
    httplib::Response response;
    httplib::Error error = httplib::Error::Success;
    if (!client_.send(request, response, error)) {
      return std::nullopt;
    }
    return HttpAnswer{response.status, response.get_header_value("Borageloft-Outcome"),
                      std::move(response.body)};
  }

 private:
  static constexpr std::chrono::milliseconds kShortestTimeout{1};

  httplib::Client client_;
};

HttpCaller::HttpCaller(Address address) : address_(std::move(address)) {}

HttpCaller::~HttpCaller() = default;

std::optional<HttpAnswer> HttpCaller::Call(const HttpCall& call) {
  std::unique_ptr<Connection> connection = TakeIdle();
  std::optional<HttpAnswer> answer = connection->Call(call);
  // After a failure a late answer may still arrive, so the connection is not used again.
  if (answer) {
    const std::scoped_lock lock(mutex_);
    idle_.push_back(std::move(connection));
  }
  return answer;
}

std::unique_ptr<HttpCaller::Connection> HttpCaller::TakeIdle() {
  const std::scoped_lock lock(mutex_);
  if (idle_.empty()) {
    return std::make_unique<Connection>(address_);
  }
  std::unique_ptr<Connection> connection = std::move(idle_.back());
  idle_.pop_back();
  return connection;
}

}  // namespace borageloft::workbench
