#include "libraries/http_stream/server.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "libraries/http_stream/session.h"
#include "libraries/http_stream/slow_reader_policy.h"
#include "libraries/http_stream/stalled_sender_policy.h"

namespace borageloft::http_stream {

using asio::ip::tcp;

namespace {

// Delay before accepting again after a failure, usually because the process has no free file
// descriptor.
constexpr std::chrono::milliseconds kAcceptRetryDelay{100};
// Connections that the kernel queues while the process is too busy to accept them.
constexpr int kAcceptBacklog = 1024;
// Sizes of the kernel's buffers of a connection: enough for 20 Mbit/s over the round trips of a
// region, which is more than one caller of many needs.
constexpr int kReceiveBufferBytes = 64 * 1024;
constexpr int kSendBufferBytes = 128 * 1024;
// Divisor for the part of the held bytes that is kept for short bodies.
constexpr std::size_t kReservedShare = 8;
// Time for which stalled senders are not sought again after too few were found.
constexpr std::chrono::milliseconds kSeekInterval{50};

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
    // Connections inherit these. The buffers of the kernel count against the memory of the machine
    // and would otherwise grow to several megabytes for each connection that is not read.
    acceptor_.set_option(asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
    acceptor_.set_option(asio::socket_base::send_buffer_size(kSendBufferBytes));
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
    asio::error_code ignored;
    const std::string address = socket.remote_endpoint(ignored).address().to_string();
    const bool is_full =
        sessions_.size() >= limits_.connections &&
        !CloseStalledSenders(nullptr, [this] { return sessions_.size() < limits_.connections; });
    const auto known = connections_by_address_.find(address);
    const std::size_t from_address = known == connections_by_address_.end() ? 0 : known->second;
    if (is_full || from_address >= limits_.connections_per_address) {
      ++counters_.connections_refused;
    } else {
      ++connections_by_address_[address];
      ++counters_.connections_opened;
      const std::uint64_t id = next_session_id_++;
      const auto session = std::make_shared<Session>(*this, id, std::move(socket));
      sessions_.emplace(id, session);
      session->Start();
    }
    Accept();
  });
}

bool Server::HasRoom(std::size_t request_bytes, std::size_t held_before) const {
  return held_bytes_ - held_before + request_bytes <= RoomFor(request_bytes);
}

std::size_t Server::RoomFor(std::size_t request_bytes) const {
  // Otherwise a few long bodies would keep out the short requests of all other callers.
  const std::size_t reserve =
      request_bytes > ServerLimits::kSmallRequestBytes ? limits_.held_bytes / kReservedShare : 0;
  return limits_.held_bytes - reserve;
}

bool Server::MakeRoom(const Session& session, std::size_t request_bytes, std::size_t held_before) {
  if (HasRoom(request_bytes, held_before)) {
    return true;
  }
  return request_bytes <= RoomFor(request_bytes) &&
         CloseStalledSenders(&session, [&] { return HasRoom(request_bytes, held_before); });
}

bool Server::CloseStalledSenders(const Session* session, const std::function<bool()>& is_enough) {
  const base::TimePoint now = base::SystemClock()();
  if (now - stalled_sought_at_ < kSeekInterval) {
    return false;
  }
  std::vector<IncompleteRequest> incomplete;
  for (const auto& [id, other] : sessions_) {
    if (other.get() != session && other->is_incomplete()) {
      incomplete.push_back({id, other->request_bytes(), other->advanced_at()});
    }
  }
  for (const std::uint64_t id : SelectStalledSenders(incomplete, now, limits_.stall_patience)) {
    const std::shared_ptr<Session> stalled = sessions_.at(id);
    ++counters_.closed_stalled_senders;
    LogClosing("request not sent in time for others", stalled->request_bytes());
    stalled->Close();
    if (is_enough()) {
      return true;
    }
  }
  stalled_sought_at_ = now;
  return false;
}

void Server::LimitUnreadResponses() {
  while (unread_bytes_ > limits_.held_bytes) {
    std::vector<UnreadResponses> unread;
    for (const auto& [id, session] : sessions_) {
      if (session->unread_bytes() > 0) {
        unread.push_back({id, session->unread_bytes(), session->progressed_at()});
      }
    }
    const auto chosen = ChooseSlowReader(unread, base::SystemClock()());
    if (!chosen) {
      return;
    }
    const std::shared_ptr<Session> session = sessions_.at(*chosen);
    ++counters_.closed_slow_readers;
    LogClosing("responses not read", session->unread_bytes());
    session->Close();
  }
}

void Server::LogClosing(std::string_view reason, std::size_t bytes) {
  constexpr std::chrono::seconds kLogInterval{1};
  const base::TimePoint now = base::SystemClock()();
  if (now - closing_logged_at_ < kLogInterval) {
    ++closings_unlogged_;
    return;
  }
  closing_logged_at_ = now;
  base::Log(base::LogLevel::kWarning, "caller_connection_closed",
            {{"reason", std::string(reason)},
             {"bytes", static_cast<Json::UInt64>(bytes)},
             {"held_bytes", static_cast<Json::UInt64>(held_bytes_)},
             {"unread_bytes", static_cast<Json::UInt64>(unread_bytes_)},
             {"connections", static_cast<Json::UInt64>(sessions_.size())},
             {"not_logged", static_cast<Json::UInt64>(std::exchange(closings_unlogged_, 0))}});
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
