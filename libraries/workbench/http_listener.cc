#include "libraries/workbench/http_listener.h"

#include <fmt/format.h>
#include <httplib.h>
#include <strings.h>
#include <sys/socket.h>

#include <chrono>
#include <thread>

#include "libraries/workbench/error.h"

namespace borageloft::workbench {

std::string HttpRequest::Header(std::string_view name) const {
  for (const auto& [key, value] : headers) {
    if (key.size() == name.size() && strncasecmp(key.data(), name.data(), name.size()) == 0) {
      return value;
    }
  }
  return {};
}

namespace {

constexpr std::size_t kKeepAliveCount = 1'000'000'000;
constexpr std::time_t kKeepAliveSeconds = 600;
// The library listens with a backlog of 5, which drops connections in a burst.
constexpr int kBacklog = 1024;

HttpRequest TranslateRequest(const httplib::Request& request) {
  return {request.method, request.target,
          HttpHeaders(request.headers.begin(), request.headers.end()), request.body,
          fmt::format("{}:{}", request.remote_addr, request.remote_port)};
}

void SendTruncated(const HttpResponse& answer, httplib::Response& response) {
  response.set_content_provider(
      answer.body.size(), answer.content_type,
      [body = answer.body](std::size_t offset, std::size_t, httplib::DataSink& sink) {
        const std::size_t half = body.size() / 2;
        if (offset < half) {
          sink.write(body.data() + offset, half - offset);
          return true;
        }
        return false;
      });
}

void TranslateResponse(const HttpResponse& answer, httplib::Response& response) {
  response.status = answer.status;
  for (const auto& [name, value] : answer.headers) {
    response.set_header(name, value);
  }
  if (answer.is_truncated && !answer.body.empty()) {
    SendTruncated(answer, response);
  } else {
    response.set_content(answer.body, answer.content_type);
  }
}

}  // namespace

class HttpListener::Implementation {
 public:
  Implementation(std::size_t threads, HttpHandler handler) : handler_(std::move(handler)) {
    // The library's default pool serves 8 connections and stalls all others.
    server_.new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
    server_.set_tcp_nodelay(true);
    server_.set_keep_alive_max_count(kKeepAliveCount);
    server_.set_keep_alive_timeout(kKeepAliveSeconds);
    server_.set_socket_options([this](socket_t socket) {
      socket_ = socket;
      // The library's default also sets SO_REUSEPORT, which lets two processes share a port.
      const int on = 1;
      setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    });
    const auto handle = [this](const httplib::Request& request, httplib::Response& response) {
      TranslateResponse(handler_(TranslateRequest(request)), response);
    };
    server_.Get(".*", handle);
    server_.Post(".*", handle);
    server_.Put(".*", handle);
    server_.Patch(".*", handle);
    server_.Delete(".*", handle);
  }

  int Bind(const Address& address) {
    int port = address.port;
    if (port == 0) {
      port = server_.bind_to_any_port(address.host);
    } else if (!server_.bind_to_port(address.host, port)) {
      port = -1;
    }
    if (port < 0 || ::listen(socket_, kBacklog) != 0) {
      throw Error(fmt::format("cannot listen on {}", address.ToString()));
    }
    return port;
  }

  void Start() {
    thread_ = std::thread([this] { server_.listen_after_bind(); });
    // Stopping a server that is not yet running has no effect, so wait until it is.
    while (!server_.is_running()) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }

  void Stop() {
    if (thread_.joinable()) {
      server_.stop();
      thread_.join();
    }
  }

 private:
  HttpHandler handler_;
  httplib::Server server_;
  socket_t socket_ = INVALID_SOCKET;
  std::thread thread_;
};

HttpListener::HttpListener(const Address& address, std::size_t threads, HttpHandler handler)
    : address_(address),
      implementation_(std::make_unique<Implementation>(threads, std::move(handler))) {
  address_.port = implementation_->Bind(address);
  implementation_->Start();
}

HttpListener::~HttpListener() { Stop(); }

void HttpListener::Stop() { implementation_->Stop(); }

}  // namespace borageloft::workbench
