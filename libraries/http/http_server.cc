#include "libraries/http/http_server.h"

#include <fmt/format.h>
#include <httplib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <mutex>
#include <set>
#include <thread>

#include "libraries/http/bounded_stream.h"
#include "libraries/http/elastic_task_queue.h"
#include "libraries/http/problem.h"

namespace borageloft::http {

namespace {

constexpr std::size_t kRequestsPerConnection = 1'000'000;

thread_local const BoundedStream* current_stream = nullptr;
// Headers of the request on this thread that cpp-httplib does not see; see WithholdHeaders().
thread_local Headers withheld_headers;
// Set when the request on this thread was malformed: what follows it on the connection cannot be
// told apart from its rest.
thread_local bool is_connection_spoilt = false;

/**
 * Keeps headers from cpp-httplib that belong between the caller and the upstream. It would unpack
 * multipart and compressed bodies, refuse forms above 8 KiB, cut a part out of an answer that the
 * upstream already cut, and compress answers that are compressed.
 */
void WithholdHeaders(httplib::Request& request) {
  withheld_headers.clear();
  for (const char* name : {"Content-Type", "Content-Encoding", "Accept-Encoding", "Range"}) {
    const auto [first, last] = request.headers.equal_range(name);
    for (auto header = first; header != last; ++header) {
      withheld_headers.push_back({header->first, header->second});
    }
    request.headers.erase(first, last);
  }
  request.ranges.clear();
}

/** cpp-httplib's server with bounds on each request and a refusal above the connection bound. */
class BoundedServer : public httplib::Server {
 public:
  explicit BoundedServer(const HttpServerOptions& options) : options_(options) {}

  /** Ends connections on which no request is in progress, now and from now on. */
  void CloseIdle() {
    const std::scoped_lock lock(mutex_);
    is_closing_ = true;
    for (const socket_t socket : idle_) {
      ::shutdown(socket, SHUT_RDWR);
    }
  }

 private:
  bool process_and_close_socket(socket_t socket) override {
    if (ElasticTaskQueue::current_mode() == ConnectionMode::kRefuse) {
      Refuse(socket);
    } else {
      Serve(socket);
    }
    ::shutdown(socket, SHUT_RDWR);
    ::close(socket);
    return true;
  }

  void Serve(socket_t socket) {
    BoundedStream stream(socket);
    current_stream = &stream;
    is_connection_spoilt = false;
    while (WaitForRequest(stream)) {
      stream.BeginRequest(options_.header_bytes + options_.body_bytes, options_.read_timeout,
                          options_.write_timeout);
      bool is_closed = false;
      if (!process_request(stream, false, is_closed, WithholdHeaders) || is_closed ||
          is_connection_spoilt || stream.has_exceeded_bounds()) {
        break;
      }
    }
    current_stream = nullptr;
  }

  bool WaitForRequest(BoundedStream& stream) {
    {
      const std::scoped_lock lock(mutex_);
      if (is_closing_) {
        return false;
      }
      idle_.insert(stream.socket());
    }
    const bool has_request = stream.WaitForRequest(options_.idle_timeout);
    const std::scoped_lock lock(mutex_);
    idle_.erase(stream.socket());
    return has_request;
  }

  static void Refuse(socket_t socket) {
    const HttpResponse response =
        FormatProblem({503, "too_many_connections", "this node serves no further connections",
                       wire::Outcome::kNotRun, std::chrono::seconds(1)});
    std::string text = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n";
    for (const wire::Header& header : response.headers) {
      text += fmt::format("{}: {}\r\n", header.name, header.value);
    }
    text += fmt::format("Content-Length: {}\r\n\r\n{}", response.body.size(), response.body);
    // Drains what the caller sent already: closing with unread bytes would reset the connection
    // before the caller reads the answer.
    std::array<char, 4096> discarded{};
    ::recv(socket, discarded.data(), discarded.size(), MSG_DONTWAIT);
    ::send(socket, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  }

  const HttpServerOptions& options_;
  std::mutex mutex_;
  bool is_closing_ = false;
  std::set<socket_t> idle_;
};

HttpRequest ConvertRequest(const httplib::Request& request) {
  HttpRequest converted;
  converted.headers = withheld_headers;
  converted.method = request.method;
  converted.target = request.target;
  converted.body = request.body;
  converted.remote = request.remote_addr;
  for (const auto& [name, value] : request.headers) {
    // cpp-httplib adds these to what the caller sent.
    if (name != "REMOTE_ADDR" && name != "REMOTE_PORT" && name != "LOCAL_ADDR" &&
        name != "LOCAL_PORT") {
      converted.headers.push_back({name, value});
    }
  }
  const BoundedStream* stream = current_stream;
  converted.is_caller_gone = [stream] { return stream != nullptr && stream->IsPeerGone(); };
  return converted;
}

bool IsHopHeader(std::string_view name) {
  return IsSameHeader(name, "content-length") || IsSameHeader(name, "content-type") ||
         IsSameHeader(name, "transfer-encoding") || IsSameHeader(name, "connection") ||
         IsSameHeader(name, "keep-alive");
}

void FillResponse(const HttpResponse& answer, httplib::Response& response) {
  response.status = answer.status;
  for (const wire::Header& header : answer.headers) {
    if (!IsHopHeader(header.name)) {
      response.set_header(header.name, header.value);
    }
  }
  const std::string type = FindHeader(answer.headers, "content-type");
  response.set_content(answer.body, type.empty() ? "application/octet-stream" : type);
}

}  // namespace

struct HttpServer::State {
  State(const HttpServerOptions& server_options, HttpHandler http_handler)
      : options(server_options), handler(std::move(http_handler)), server(options) {}

  void Handle(const httplib::Request& request, httplib::Response& response);
  void HandleError(httplib::Response& response) const;

  const HttpServerOptions options;
  const HttpHandler handler;
  BoundedServer server;
  std::thread thread;
};

void HttpServer::State::Handle(const httplib::Request& request, httplib::Response& response) {
  std::size_t header_bytes = request.target.size();
  for (const auto& [name, value] : request.headers) {
    header_bytes += name.size() + value.size();
  }
  for (const wire::Header& header : withheld_headers) {
    header_bytes += header.name.size() + header.value.size();
  }
  if (header_bytes > options.header_bytes) {
    FillResponse(FormatProblem({431,
                                "headers_too_large",
                                fmt::format("the bound is {} bytes", options.header_bytes),
                                wire::Outcome::kNotRun,
                                {}}),
                 response);
    return;
  }
  FillResponse(handler(ConvertRequest(request)), response);
}

void HttpServer::State::HandleError(httplib::Response& response) const {
  // Answers of the handler have a body; those that cpp-httplib itself refuses have none.
  if (!response.body.empty()) {
    return;
  }
  is_connection_spoilt = true;
  std::string reason = "malformed_request";
  std::string detail = "the request is no valid HTTP/1.1";
  if (response.status == 413) {
    reason = "body_too_large";
    detail = fmt::format("the bound is {} bytes", options.body_bytes);
  } else if (response.status == 414) {
    reason = "target_too_long";
    detail = "the request target is too long";
  }
  FillResponse(FormatProblem({response.status, reason, detail, wire::Outcome::kNotRun, {}}),
               response);
}

HttpServer::HttpServer(const HttpServerOptions& options, HttpHandler handler)
    : state_(std::make_unique<State>(options, std::move(handler))) {
  State& state = *state_;
  state.server.new_task_queue = [&state] {
    return new ElasticTaskQueue(state.options.connections);
  };
  // cpp-httplib's default lets two processes listen on one port, and each gets a part of the calls.
  state.server.set_socket_options([](socket_t socket) {
    const int is_on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &is_on, sizeof(is_on));
  });
  state.server.set_tcp_nodelay(true);
  state.server.set_payload_max_length(options.body_bytes);
  // Only for the Keep-Alive header of answers: BoundedServer itself sets no bound of requests.
  state.server.set_keep_alive_max_count(kRequestsPerConnection);
  state.server.set_keep_alive_timeout(
      std::chrono::duration_cast<std::chrono::seconds>(options.idle_timeout).count());
  const auto handle = [&state](const httplib::Request& request, httplib::Response& response) {
    state.Handle(request, response);
  };
  state.server.Get(".*", handle);
  state.server.Post(".*", handle);
  state.server.Put(".*", handle);
  state.server.Patch(".*", handle);
  state.server.Delete(".*", handle);
  state.server.Options(".*", handle);
  state.server.set_error_handler([&state](const httplib::Request&, httplib::Response& response) {
    state.HandleError(response);
  });
}

HttpServer::~HttpServer() { Stop(); }

settings::Endpoint HttpServer::Start(const settings::Endpoint& endpoint) {
  settings::Endpoint bound = endpoint;
  bool is_bound = false;
  if (endpoint.port == 0) {
    const int port = state_->server.bind_to_any_port(endpoint.address);
    is_bound = port > 0;
    bound.port = static_cast<std::uint16_t>(port);
  } else {
    is_bound = state_->server.bind_to_port(endpoint.address, endpoint.port);
  }
  if (!is_bound) {
    throw HttpError(fmt::format("cannot listen for HTTP on {}", FormatEndpoint(endpoint)));
  }
  state_->thread = std::thread([this] { state_->server.listen_after_bind(); });
  while (!state_->server.is_running()) {
    std::this_thread::yield();
  }
  return bound;
}

void HttpServer::Stop() {
  if (state_->thread.joinable()) {
    state_->server.stop();
    state_->server.CloseIdle();
    state_->thread.join();
  }
}

}  // namespace borageloft::http
