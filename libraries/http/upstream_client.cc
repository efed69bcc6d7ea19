#include "libraries/http/upstream_client.h"

#include <httplib.h>
#include <poll.h>
#include <sys/socket.h>

#include <mutex>
#include <utility>
#include <vector>

#include "libraries/http/bounded_stream.h"
#include "libraries/http_stream/http_stream.h"

namespace borageloft::http {

namespace {

constexpr std::chrono::seconds kConnectTimeout{1};

// Room for the status line, the headers and the chunk lengths of an answer beside its body.
constexpr std::size_t kOverheadBytes = 128 * 1024;

/**
 * cpp-httplib's client for one call at a time that can be cancelled at any moment. Its own stop()
 * waits for a connect in progress, and has no effect on a call that is about to start.
 */
class CancellableClient : public httplib::ClientImpl {
 public:
  using ClientImpl::ClientImpl;

  /** Starts a call of @p method that may read @p maximum_bytes within @p timeout. */
  void BeginCall(const std::string& method, std::size_t maximum_bytes, base::Duration timeout) {
    const std::scoped_lock lock(mutex_);
    maximum_bytes_ = maximum_bytes;
    timeout_ = timeout;
    is_cancelled_ = false;
    has_begun_ = false;
    syntax_ = http_stream::ResponseSyntax(maximum_bytes);
    syntax_.set_expects_no_body(method == "HEAD");
  }

  /** Ends the call, or keeps it from beginning. */
  void Cancel() {
    const std::scoped_lock lock(mutex_);
    is_cancelled_ = true;
    if (running_ != INVALID_SOCKET) {
      ::shutdown(running_, SHUT_RDWR);
    }
  }

  /** @return Whether a byte of the request may have been sent. */
  bool has_begun() const { return has_begun_; }

  /** @return Whether the answer follows the grammar, of which cpp-httplib accepts much more. */
  bool is_well_formed() const { return syntax_.MayEnd(); }

  /** @return Whether more than the answer arrived, which the next call must not take for its own.
   */
  bool has_surplus() const { return has_surplus_; }

  /** @return Whether the idle connection can carry another call. */
  bool IsReusable() const {
    pollfd entry{socket(), POLLIN, 0};
    return entry.fd != INVALID_SOCKET && ::poll(&entry, 1, 0) == 0;
  }

 private:
  bool process_socket(const Socket& connected,
                      std::function<bool(httplib::Stream&)> callback) override {
    BoundedStream stream(connected.sock);
    stream.set_read_observer([this](std::string_view bytes) { syntax_.Feed(bytes); });
    {
      const std::scoped_lock lock(mutex_);
      if (is_cancelled_) {
        return false;
      }
      running_ = connected.sock;
      has_begun_ = true;
      stream.BeginRequest(maximum_bytes_, timeout_, timeout_);
    }
    const bool is_done = callback(stream);
    has_surplus_ = stream.has_unread();
    const std::scoped_lock lock(mutex_);
    running_ = INVALID_SOCKET;
    return is_done;
  }

  std::mutex mutex_;
  std::size_t maximum_bytes_ = 0;
  base::Duration timeout_{};
  bool is_cancelled_ = false;
  bool has_begun_ = false;
  bool has_surplus_ = false;
  http_stream::ResponseSyntax syntax_{kOverheadBytes};
  socket_t running_ = INVALID_SOCKET;
};

bool HasKnownEnd(const std::string& method, const httplib::Response& response) {
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  return response.has_header("Content-Length") || response.has_header("Transfer-Encoding") ||
         method == "HEAD" || response.status == kNoContent || response.status == kNotModified;
}

bool IsWhole(const std::string& method, const httplib::Response& response) {
  if (!HasKnownEnd(method, response)) {
    return false;
  }
  // cpp-httplib checks the length of what it reads; this holds the check where it matters.
  return method == "HEAD" || !response.has_header("Content-Length") ||
         response.has_header("Content-Encoding") ||
         response.get_header_value<std::uint64_t>("Content-Length") == response.body.size();
}

}  // namespace

struct UpstreamClient::State {
  std::unique_ptr<CancellableClient> Take();
  void Return(std::unique_ptr<CancellableClient> client);

  settings::Endpoint endpoint;
  std::size_t connections = 0;
  std::size_t body_bytes = 0;
  std::mutex mutex;
  std::vector<std::unique_ptr<CancellableClient>> idle;
};

std::unique_ptr<CancellableClient> UpstreamClient::State::Take() {
  {
    const std::scoped_lock lock(mutex);
    while (!idle.empty()) {
      auto client = std::move(idle.back());
      idle.pop_back();
      // What arrives between two calls is either the end of the connection or bytes that would
      // be read as the answer to the next call.
      if (client->IsReusable()) {
        return client;
      }
    }
  }
  auto client = std::make_unique<CancellableClient>(endpoint.address, endpoint.port);
  client->set_keep_alive(true);
  client->set_tcp_nodelay(true);
  client->set_decompress(false);
  client->set_connection_timeout(kConnectTimeout);
  return client;
}

void UpstreamClient::State::Return(std::unique_ptr<CancellableClient> client) {
  const std::scoped_lock lock(mutex);
  if (idle.size() < connections) {
    idle.push_back(std::move(client));
  }
}

UpstreamClient::UpstreamClient(settings::Endpoint endpoint, std::size_t connections,
                               std::size_t body_bytes)
    : state_(std::make_unique<State>()) {
  state_->endpoint = std::move(endpoint);
  state_->connections = connections;
  state_->body_bytes = body_bytes;
}

UpstreamClient::~UpstreamClient() = default;

UpstreamResult UpstreamClient::Execute(const HttpRequest& request, base::Duration timeout,
                                       Cancellation& cancellation) {
  if (cancellation.is_cancelled()) {
    return UpstreamFailure::kNotSent;
  }
  std::unique_ptr<CancellableClient> client = state_->Take();
  client->BeginCall(request.method, 2 * state_->body_bytes + kOverheadBytes, timeout);
  httplib::Request outgoing;
  outgoing.method = request.method;
  outgoing.path = request.target;
  outgoing.body = request.body;
  for (const wire::Header& header : request.headers) {
    outgoing.headers.emplace(header.name, header.value);
  }
  httplib::Response response;
  outgoing.content_receiver = [&](const char* data, std::size_t size, std::uint64_t,
                                  std::uint64_t) {
    if (response.body.size() + size > state_->body_bytes) {
      return false;
    }
    response.body.append(data, size);
    return true;
  };
  httplib::Error error = httplib::Error::Success;
  cancellation.ReplaceHook([&client] { client->Cancel(); });
  const bool has_answer = client->send(outgoing, response, error);
  cancellation.ReplaceHook({});
  if (!has_answer) {
    return client->has_begun() ? UpstreamFailure::kUnknown : UpstreamFailure::kNotSent;
  }
  // cpp-httplib accepts any three digits.
  const bool has_status = response.status > 0 && wire::IsFinalStatus(response.status);
  if (!has_status || !client->is_well_formed() || !IsWhole(request.method, response)) {
    return UpstreamFailure::kUnknown;
  }
  HttpResponse answer;
  answer.status = response.status;
  answer.body = std::move(response.body);
  for (const auto& [name, value] : response.headers) {
    answer.headers.push_back({name, value});
  }
  if (!client->has_surplus()) {
    state_->Return(std::move(client));
  }
  return answer;
}

}  // namespace borageloft::http
