#include "libraries/http_stream/session.h"

#include <utility>

namespace borageloft::http_stream {

namespace {

constexpr unsigned kBadRequest = 400;
constexpr unsigned kRequestTimeout = 408;
constexpr unsigned kContentTooLarge = 413;
constexpr unsigned kHeaderTooLarge = 431;
constexpr unsigned kServiceUnavailable = 503;
// The bodies held now are about to be passed on.
constexpr const char* kRetryAfterSeconds = "0.5";
// Responses are joined up to this size, so that one system call writes several. Longer ones stay
// apart: a text that grows takes up to twice its size.
constexpr std::size_t kJoinedBytes = std::size_t{16} << 10U;

base::TimePoint Now() { return base::SystemClock()(); }

}  // namespace

Session::Session(Server& server, std::uint64_t id, asio::ip::tcp::socket socket)
    : server_(&server),
      id_(id),
      socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      parser_(MessageKind::kRequest, server.limits_.message) {}

void Session::Start() {
  asio::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  const asio::ip::tcp::endpoint peer = socket_.remote_endpoint(ignored);
  peer_address_ = peer.address().to_string();
  advanced_at_ = Now();
  RestartTimer();
  Read();
}

bool Session::is_incomplete() const {
  const bool has_sent_none = next_number_ == 1;
  return !is_closed_ && !is_writing_ && !is_discarding_input_ && pipeline_.empty() &&
         (has_sent_none || parser_.state() != ParseState::kIdle);
}

void Session::Read() {
  if (is_reading_ || is_closed_) {
    return;
  }
  is_reading_ = true;
  // Waits without a buffer of its own: most connections are idle.
  socket_.async_wait(asio::socket_base::wait_read,
                     [self = shared_from_this()](const asio::error_code& error) {
                       self->is_reading_ = false;
                       if (!self->is_closed_) {
                         self->HandleReadable(error);
                       }
                     });
}

void Session::HandleReadable(const asio::error_code& wait_error) {
  asio::error_code error = wait_error;
  std::size_t count = 0;
  if (!error) {
    count = socket_.read_some(asio::buffer(server_->read_buffer_), error);
  }
  if (error == asio::error::would_block) {
    Read();
  } else if (error) {
    Close();
  } else {
    HandleBytes({server_->read_buffer_.data(), count});
  }
}

void Session::HandleBytes(std::string_view bytes) {
  if (is_lingering_ || is_discarding_input_) {
    Read();  // Keeps the receive buffer empty: closing with unread bytes would send a reset.
    return;
  }
  received_at_ = Now();
  bytes_since_advance_ += bytes.size();
  if (bytes_since_advance_ >= ServerLimits::kProgressBytes ||
      parser_.state() == ParseState::kIdle) {
    advanced_at_ = received_at_;
    bytes_since_advance_ = 0;
  }
  input_.append(bytes);
  ParseInput();
  if (is_closed_) {
    return;
  }
  if (!is_discarding_input_ && !ReserveInput()) {
    RefuseForBytes();
  }
  if (input_.empty()) {
    base::ReleaseBuffer(input_);
  }
  // While the pipeline is full, further requests stay in the input buffer. Reading continues until
  // the buffer is full, so that a disconnect by the caller is detected.
  if (input_.size() < kInputBufferBytes) {
    Read();
  }
}

void Session::ParseInput() {
  while (!input_.empty() && !is_discarding_input_ && !is_closed_ &&
         pipeline_.size() < server_->limits_.pipeline_depth) {
    const bool was_idle = parser_.state() == ParseState::kIdle;
    const std::size_t consumed = parser_.Feed(input_);
    input_.erase(0, consumed);
    if (parser_.has_failed()) {
      RejectRequest();
      return;
    }
    if (!ReserveRequest()) {
      RefuseForBytes();
      return;
    }
    if (parser_.state() == ParseState::kComplete) {
      HandleRequest();
      continue;
    }
    if (was_idle) {
      RestartTimer();
    }
    ContinueIfExpected();
    if (consumed == 0) {
      return;
    }
  }
}

bool Session::ReserveRequest() {
  if (parser_.state() == ParseState::kIdle) {
    return true;
  }
  const std::size_t request_bytes = parser_.reserved_bytes() + ServerLimits::kBytesPerRequest;
  if (request_bytes <= request_bytes_) {
    return true;
  }
  if (!server_->MakeRoom(*this, request_bytes, request_bytes_)) {
    return false;
  }
  server_->held_bytes_ += request_bytes - request_bytes_;
  request_bytes_ = request_bytes;
  return true;
}

bool Session::ReserveInput() {
  const std::size_t input_bytes = input_.empty() ? 0 : input_.capacity();
  if (input_bytes > input_bytes_ && !server_->MakeRoom(*this, input_bytes, input_bytes_)) {
    return false;
  }
  server_->held_bytes_ += input_bytes;
  server_->held_bytes_ -= input_bytes_;
  input_bytes_ = input_bytes;
  return true;
}

void Session::ReleaseRequest(std::size_t& request_bytes) {
  if (server_ != nullptr) {
    VERIFY(server_->held_bytes_ >= request_bytes);
    server_->held_bytes_ -= request_bytes;
  }
  request_bytes = 0;
}

void Session::CountUnread(std::size_t bytes) {
  if (unread_bytes_ == 0) {
    progressed_at_ = Now();
  }
  unread_bytes_ += bytes;
  server_->unread_bytes_ += bytes;
}

void Session::ReleaseUnread(std::size_t bytes) {
  VERIFY(unread_bytes_ >= bytes);
  unread_bytes_ -= bytes;
  if (server_ != nullptr) {
    server_->unread_bytes_ -= bytes;
  }
}

void Session::ContinueIfExpected() {
  if (has_continued_ || !parser_.expects_continue() || parser_.state() != ParseState::kBody ||
      !pipeline_.empty()) {
    return;
  }
  has_continued_ = true;
  AddOutput("HTTP/1.1 100 Continue\r\n\r\n");
  Write();
}

void Session::HandleRequest() {
  RequestMessage request = parser_.TakeRequest();
  request.source = peer_address_;
  parser_.set_limits(server_->limits_.message);
  has_continued_ = false;
  timer_.cancel();
  PendingRequest pending;
  pending.number = next_number_++;
  pending.body_use = request.method == "HEAD" ? BodyUse::kOmit : BodyUse::kWrite;
  pending.request_bytes = std::exchange(request_bytes_, 0);
  pending.closes_connection = !request.keeps_alive;
  is_discarding_input_ = !request.keeps_alive;
  const std::uint64_t number = pending.number;
  pipeline_.push_back(std::move(pending));
  ++server_->exchanges_in_progress_;
  ++server_->counters_.requests;
  try {
    server_->handler_(std::move(request), Now(), Exchange(weak_from_this(), number));
  } catch (const std::exception& error) {
    base::Log(base::LogLevel::kError, "request_handler_failed", {{"error", error.what()}});
    Close();
  }
}

void Session::RejectRequest() {
  ++server_->counters_.malformed;
  ResponseMessage response;
  response.status = parser_.state() == ParseState::kHeaderTooLarge ? kHeaderTooLarge
                    : parser_.state() == ParseState::kBodyTooLarge ? kContentTooLarge
                                                                   : kBadRequest;
  base::Log(base::LogLevel::kInfo, "request_malformed", {{"status", response.status}});
  RefuseInput(std::move(response));
}

void Session::RefuseForBytes() {
  ++server_->counters_.refused_for_bytes;
  base::Log(base::LogLevel::kWarning, "request_refused_for_bytes",
            {{"request_bytes", static_cast<Json::UInt64>(parser_.reserved_bytes())},
             {"held_bytes", static_cast<Json::UInt64>(server_->held_bytes_)}});
  ResponseMessage response;
  response.status = kServiceUnavailable;
  response.fields.push_back({"Retry-After", kRetryAfterSeconds});
  RefuseInput(std::move(response));
}

// Answers the request that is being read and closes the connection after the answer.
void Session::RefuseInput(ResponseMessage response) {
  ReleaseRequest(request_bytes_);
  ReleaseRequest(input_bytes_);
  parser_.Discard();
  is_discarding_input_ = true;
  base::ReleaseBuffer(input_);
  PendingRequest pending;
  pending.number = next_number_++;
  pending.closes_connection = true;
  pending.response = std::move(response);
  pipeline_.push_back(std::move(pending));
  ++server_->exchanges_in_progress_;
  FlushResponses();
}

void Session::Respond(std::uint64_t number, ResponseMessage response) {
  PendingRequest* pending = FindPendingRequest(number);
  if (pending == nullptr || pending->response) {
    return;
  }
  pending->response = std::move(response);
  pending->on_abandoned = nullptr;
  pending->response_bytes = pending->response->body.size() + SizeOf(pending->response->fields) +
                            ServerLimits::kBytesPerResponse;
  ReleaseRequest(pending->request_bytes);
  CountUnread(pending->response_bytes);
  const auto self = shared_from_this();
  server_->LimitUnreadResponses();
  FlushResponses();
}

void Session::NotifyAbandoned(std::uint64_t number, std::function<void()> callback) {
  if (PendingRequest* pending = FindPendingRequest(number);
      pending != nullptr && !pending->response) {
    pending->on_abandoned = std::move(callback);
  }
}

Session::PendingRequest* Session::FindPendingRequest(std::uint64_t number) {
  if (pipeline_.empty() || number < pipeline_.front().number) {
    return nullptr;
  }
  const std::uint64_t index = number - pipeline_.front().number;
  return index < pipeline_.size() ? &pipeline_[index] : nullptr;
}

void Session::FlushResponses() {
  bool has_responses = false;
  while (!is_closed_ && !closes_after_write_ && !pipeline_.empty() && pipeline_.front().response) {
    PendingRequest pending = std::move(pipeline_.front());
    pipeline_.pop_front();
    --server_->exchanges_in_progress_;
    // While draining, close only if no further request has been received: the caller would have to
    // send that request again.
    const bool is_last =
        pipeline_.empty() && input_.empty() && parser_.state() == ParseState::kIdle;
    const bool closes_connection = pending.closes_connection || (server_->is_draining_ && is_last);
    AddOutput(SerializeResponse(*pending.response,
                                closes_connection ? Persistence::kClose : Persistence::kKeepAlive,
                                pending.body_use),
              pending.response_bytes);
    closes_after_write_ = closes_connection;
    is_discarding_input_ = is_discarding_input_ || closes_connection;
    has_responses = true;
  }
  if (!has_responses) {
    return;
  }
  Write();
  if (!is_closed_ && !is_discarding_input_) {
    ParseInput();
    if (!is_closed_) {
      ReserveInput();  // There is less of it now.
    }
    if (!is_closed_ && pipeline_.empty()) {
      ContinueIfExpected();
      RestartTimer();
    }
    Read();
  }
}

void Session::AddOutput(std::string bytes, std::size_t counted) {
  if (!output_.empty() && output_.back().bytes.size() + bytes.size() <= kJoinedBytes) {
    output_.back().bytes += bytes;
    output_.back().counted += counted;
  } else {
    output_.push_back({std::move(bytes), counted});
  }
}

void Session::Write() {
  if (is_writing_ || is_closed_ || output_.empty()) {
    return;
  }
  is_writing_ = true;
  writing_ = std::move(output_.front());
  output_.erase(output_.begin());
  written_ = 0;
  WriteSome();
}

void Session::WriteSome() {
  socket_.async_write_some(
      asio::buffer(writing_.bytes.data() + written_, writing_.bytes.size() - written_),
      [self = shared_from_this()](const asio::error_code& error, std::size_t count) {
        if (self->is_closed_) {
          return;
        }
        if (error) {
          self->Close();
          return;
        }
        self->written_ += count;
        self->progressed_at_ = Now();
        if (self->written_ < self->writing_.bytes.size()) {
          self->WriteSome();
        } else {
          self->is_writing_ = false;
          self->FinishWriting();
        }
      });
}

void Session::FinishWriting() {
  base::ReleaseBuffer(writing_.bytes);
  ReleaseUnread(std::exchange(writing_.counted, 0));
  if (!output_.empty()) {
    Write();
  } else if (closes_after_write_) {
    Linger();
  }
}

// Shuts down the sending side and discards further input for a while (lingering close). Closing
// with unread bytes would reset the connection, and the caller could lose the response.
void Session::Linger() {
  is_lingering_ = true;
  asio::error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  timer_.expires_after(kLingerTimeout);
  timer_.async_wait([self = shared_from_this()](const asio::error_code& error) {
    if (!error) {
      self->Close();
    }
  });
  Read();
}

void Session::RestartTimer() {
  const bool is_idle = parser_.state() == ParseState::kIdle;
  timer_.expires_after(is_idle ? server_->limits_.idle_timeout : server_->limits_.header_timeout);
  timer_.async_wait([self = shared_from_this(), is_idle](const asio::error_code& error) {
    if (error || self->is_closed_ || !self->pipeline_.empty()) {
      return;
    }
    const base::Duration patience = self->server_->limits_.idle_timeout;
    if (self->is_writing_) {
      if (Now() - self->progressed_at_ < patience) {
        self->RestartTimer();
        return;
      }
      ++self->server_->counters_.closed_slow_readers;
      self->server_->LogClosing("response not read in time", self->unread_bytes_);
      self->Close();
    } else if (is_idle && self->parser_.state() == ParseState::kIdle) {
      self->closes_after_write_ = true;
      self->is_discarding_input_ = true;
      self->Linger();
    } else if (self->parser_.state() == ParseState::kHeader) {
      ResponseMessage response;
      response.status = kRequestTimeout;
      self->AddOutput(SerializeResponse(response, Persistence::kClose));
      self->is_discarding_input_ = true;
      self->closes_after_write_ = true;
      self->Write();
    } else if (self->parser_.state() == ParseState::kBody) {
      if (Now() - self->received_at_ < patience) {
        self->RestartTimer();
      } else {
        self->RefuseStalledBody();
      }
    }
  });
}

void Session::RefuseStalledBody() {
  ++server_->counters_.closed_stalled_bodies;
  server_->LogClosing("body not sent in time", request_bytes_);
  ResponseMessage response;
  response.status = kRequestTimeout;
  RefuseInput(std::move(response));
}

void Session::AbandonAll() {
  std::deque<PendingRequest> pipeline = std::exchange(pipeline_, {});
  ReleaseRequest(request_bytes_);
  ReleaseRequest(input_bytes_);
  ReleaseUnread(unread_bytes_);
  for (PendingRequest& pending : pipeline) {
    ReleaseRequest(pending.request_bytes);
    if (server_ != nullptr) {
      --server_->exchanges_in_progress_;
      server_->counters_.abandoned += pending.response ? 0 : 1;
    }
    if (pending.on_abandoned && !pending.response) {
      pending.on_abandoned();
    }
  }
}

void Session::Close() {
  if (is_closed_) {
    return;
  }
  is_closed_ = true;
  const auto self = shared_from_this();
  asio::error_code ignored;
  timer_.cancel();
  socket_.close(ignored);
  AbandonAll();
  // Operations that are still under way keep this object alive for a while.
  base::ReleaseBuffer(writing_.bytes);
  output_.clear();
  base::ReleaseBuffer(input_);
  parser_.Discard();
  if (server_ != nullptr) {
    const auto from_address = server_->connections_by_address_.find(peer_address_);
    if (from_address != server_->connections_by_address_.end() && --from_address->second == 0) {
      server_->connections_by_address_.erase(from_address);
    }
    server_->sessions_.erase(id_);
  }
}

void Session::Detach() {
  Close();
  server_ = nullptr;
}

}  // namespace borageloft::http_stream
