#include "libraries/http_stream/server.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "libraries/http_stream/session.h"

namespace borageloft::http_stream {

using asio::ip::tcp;

namespace {

// Delay before accepting again after a failure, usually because the process has no free file
// descriptor.
constexpr std::chrono::milliseconds kAcceptRetryDelay{100};
// Connections that the kernel queues while the process is too busy to accept them.
constexpr int kAcceptBacklog = 1024;
// Divisor for the part of the held bytes that is kept for short bodies.
constexpr std::size_t kReservedShare = 8;

}  // namespace

void Exchange::Respond(ResponseMessage response) const {
  if (const auto session = session_.lock()) {
    session->Respond(number_, std::move(response));
  }
}

void Exchange::NotifyAbandoned(std::function<void()> callback) const {
  if (const auto session = session_.lock()) {
    session->NotifyAbandoned(number_, std::move(callback));
  }
}

Server::Server(asio::io_context& context, ServerLimits limits, RequestHandler handler)
    : context_(context),
      limits_(limits),
      handler_(std::move(handler)),
      acceptor_(context),
      accept_retry_timer_(context) {}

Server::~Server() { Stop(); }

settings::Endpoint Server::Listen(const settings::Endpoint& endpoint) {
  try {
    const tcp::endpoint target(asio::ip::make_address(endpoint.address), endpoint.port);
    acceptor_.open(target.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(target);
    acceptor_.listen(kAcceptBacklog);
  } catch (const std::system_error& error) {
    throw ServerError(
        fmt::format("cannot listen on {}: {}", settings::FormatEndpoint(endpoint), error.what()));
  }
  Accept();
  return {endpoint.address, acceptor_.local_endpoint().port()};
}

void Server::Accept() {
  acceptor_.async_accept([this](const asio::error_code& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) {
      return;
    }
    if (error) {
      base::Log(base::LogLevel::kWarning, "accept_failed", {{"error", error.message()}});
      accept_retry_timer_.expires_after(kAcceptRetryDelay);
      accept_retry_timer_.async_wait([this](const asio::error_code& cancelled) {
        if (!cancelled) {
          Accept();
        }
      });
      return;
    }
    if (sessions_.size() >= limits_.connections) {
      ++counters_.connections_refused;
    } else {
      ++counters_.connections_opened;
      const std::uint64_t id = next_session_id_++;
      const auto session = std::make_shared<Session>(*this, id, std::move(socket));
      sessions_.emplace(id, session);
      session->Start();
    }
    Accept();
  });
}

bool Server::HasRoom(std::size_t body_bytes, std::size_t held_before) const {
  // Otherwise a few long bodies would keep out the short requests of all other callers.
  const std::size_t reserve =
      body_bytes > ServerLimits::kSmallBodyBytes ? limits_.held_bytes / kReservedShare : 0;
  return held_bytes_ - held_before + body_bytes <= limits_.held_bytes - reserve;
}

std::size_t Server::unfinished_responses() const {
  return static_cast<std::size_t>(
      std::count_if(sessions_.begin(), sessions_.end(),
                    [](const auto& session) { return session.second->has_unfinished_response(); }));
}

void Server::Stop() {
  asio::error_code ignored;
  acceptor_.close(ignored);
  accept_retry_timer_.cancel();
  std::vector<std::shared_ptr<Session>> sessions;
  for (const auto& [id, session] : sessions_) {
    sessions.push_back(session);
  }
  for (const auto& session : sessions) {
    session->Detach();
  }
}

}  // namespace borageloft::http_stream
