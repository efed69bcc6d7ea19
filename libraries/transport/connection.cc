#include "libraries/transport/connection.h"

#include <algorithm>
#include <cmath>
#include <exception>
#include <utility>

namespace borageloft::transport {

namespace {

// Frames written by one system call; more would delay the first of them.
constexpr std::size_t kWriteBatch = 64;
// A connection without pending calls is tested this much less often: with a heartbeat every 500 ms
// on each of 100 connections, a node would spend its whole budget of control traffic on them.
constexpr int kIdlePings = 20;

base::TimePoint Now() { return base::SystemClock()(); }

}  // namespace

Connection::Connection(asio::ip::tcp::socket socket, Direction direction, std::uint64_t id,
                       std::uint64_t generation, std::string expected_node,
                       const TransportOptions& options, ConnectionEvents events)
    : options_(options),
      direction_(direction),
      id_(id),
      expected_node_(std::move(expected_node)),
      events_(std::move(events)),
      socket_(std::move(socket)),
      connect_timer_(socket_.get_executor()),
      generation_(generation),
      // Each side numbers its own calls, so that both can open streams on one connection.
      next_stream_(direction == Direction::kOutbound ? 1 : 2),
      last_received_(Now()),
      reader_(options.frame_bytes),
      packed_reader_(options.frame_bytes) {}

void Connection::Dial(const settings::Endpoint& endpoint) {
  asio::post(socket_.get_executor(), [self = shared_from_this(), endpoint] {
    self->connect_timer_.expires_after(self->options_.connect_timeout);
    self->connect_timer_.async_wait([self](const asio::error_code& error) {
      if (!error && !self->is_ready_) {
        self->Fail("connect_timeout");
      }
    });
    const asio::ip::tcp::endpoint target(asio::ip::make_address(endpoint.address), endpoint.port);
    self->socket_.async_connect(
        target, [self](const asio::error_code& error) { self->HandleConnected(error); });
  });
}

void Connection::Start() {
  asio::post(socket_.get_executor(),
             [self = shared_from_this()] { self->HandleConnected(asio::error_code()); });
}

std::uint64_t Connection::SendRequest(wire::Request request, ResponseHandler handler) {
  const std::uint64_t stream = next_stream_.fetch_add(2);
  asio::post(socket_.get_executor(),
             [self = shared_from_this(), stream, request = std::move(request),
              handler = std::move(handler)]() mutable {
               self->StartCall(stream, std::move(request), std::move(handler));
             });
  return stream;
}

void Connection::CancelCall(std::uint64_t stream) {
  asio::post(socket_.get_executor(), [self = shared_from_this(), stream] {
    const auto found = self->calls_.find(stream);
    if (found == self->calls_.end()) {
      return;
    }
    if (found->second.is_written) {
      self->Enqueue(wire::Cancel{self->generation_, stream});
    } else {
      std::erase_if(self->queue_, [&](const QueuedFrame& frame) {
        if (frame.stream != stream) {
          return false;
        }
        self->queued_bytes_ -= frame.bytes.size();
        return true;
      });
    }
    self->FinishCall(stream);
  });
}

void Connection::SendResponse(wire::Response response) {
  asio::post(socket_.get_executor(),
             [self = shared_from_this(), response = std::move(response)]() mutable {
               // A stream that was cancelled or answered takes no further answer.
               const auto found = self->inbound_.find(response.stream);
               if (found == self->inbound_.end()) {
                 return;
               }
               const InboundState state = found->second;
               self->inbound_.erase(found);
               if (state == InboundState::kRunning) {
                 self->Answer(std::move(response));
               }
             });
}

void Connection::Answer(wire::Response response) {
  response.generation = generation_;
  if (Enqueue(response) || is_closed_) {
    return;
  }
  // An answer that fits no frame is replaced, so that the caller does not wait for its deadline.
  wire::Response refusal;
  refusal.generation = generation_;
  refusal.stream = response.stream;
  refusal.outcome =
      response.outcome == wire::Outcome::kNotRun ? wire::Outcome::kNotRun : wire::Outcome::kUnknown;
  refusal.reason = "answer_too_large";
  refusal.load = response.load;
  refusal.unspent_allowance = response.unspent_allowance;
  Enqueue(refusal);
}

void Connection::SendControl(wire::Channel channel, std::string payload) {
  asio::post(socket_.get_executor(),
             [self = shared_from_this(), channel, payload = std::move(payload)]() mutable {
               self->Enqueue(wire::Control{channel, std::move(payload)});
             });
}

void Connection::CheckHeartbeat() {
  asio::post(socket_.get_executor(), [self = shared_from_this()] { self->CheckSilence(Now()); });
}

void Connection::CheckSilence(base::TimePoint now) {
  if (is_closed_) {
    return;
  }
  const base::Duration longest_wait =
      std::max(base::Duration::zero(), options_.silence_timeout - options_.ping_interval);
  if (!is_ready_) {
    if (now - last_received_ > options_.silence_timeout) {
      Fail("silent");
    }
  } else if (awaited_since_ && now - *awaited_since_ > longest_wait) {
    Fail("silent");
  } else if (now - last_received_ >= options_.ping_interval &&
             (!calls_.empty() || now - last_ping_ >= kIdlePings * options_.ping_interval)) {
    last_ping_ = now;
    awaited_since_ = awaited_since_.value_or(now);
    awaited_ticks_ = awaited_since_->time_since_epoch().count();
    Enqueue(wire::Ping{++ping_sequence_});
  }
}

base::Duration Connection::SilentFor(base::TimePoint now) const {
  const base::Duration::rep ticks = awaited_ticks_;
  return ticks == 0 ? base::Duration::zero() : now.time_since_epoch() - base::Duration(ticks);
}

void Connection::Close(const char* reason) {
  asio::post(socket_.get_executor(), [self = shared_from_this(), reason] { self->Fail(reason); });
}

void Connection::HandleConnected(const asio::error_code& error) {
  if (is_closed_) {
    return;
  }
  if (error) {
    Fail("connect_failed");
    return;
  }
  asio::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  last_received_ = Now();
  if (direction_ == Direction::kOutbound) {
    SendHello();
  }
  Read();
}

void Connection::Read() {
  socket_.async_read_some(
      asio::buffer(read_buffer_),
      [self = shared_from_this()](const asio::error_code& error, std::size_t count) {
        if (self->is_closed_) {
          return;
        }
        if (error) {
          self->Fail("closed_by_peer");
          return;
        }
        self->HandleBytes(count);
      });
}

void Connection::HandleBytes(std::size_t count) {
  last_received_ = Now();
  awaited_since_.reset();
  awaited_ticks_ = 0;
  try {
    reader_.Append({read_buffer_.data(), count});
    while (auto frame = reader_.Next()) {
      HandleFrame(std::move(*frame));
      if (is_closed_) {
        return;
      }
    }
  } catch (const wire::WireError& error) {
    base::Log(base::LogLevel::kWarning, "peer_frame_refused",
              {{"peer", peer_}, {"error", error.what()}});
    Fail("malformed_frame");
    return;
  } catch (const std::exception& error) {
    base::Log(base::LogLevel::kError, "peer_frame_handler_failed",
              {{"peer", peer_}, {"error", error.what()}});
    Fail("handler_failed");
    return;
  }
  Read();
}

void Connection::HandleFrame(wire::Frame frame) {
  if (auto* hello = std::get_if<wire::Hello>(&frame)) {
    HandleHello(*hello);
  } else if (!is_ready_) {
    Fail("frame_before_hello");
  } else if (auto* request = std::get_if<wire::Request>(&frame)) {
    HandleRequest(std::move(*request));
  } else if (auto* response = std::get_if<wire::Response>(&frame)) {
    HandleResponse(std::move(*response));
  } else if (auto* cancel = std::get_if<wire::Cancel>(&frame)) {
    HandleCancel(*cancel);
  } else if (auto* ping = std::get_if<wire::Ping>(&frame)) {
    Enqueue(wire::Pong{ping->sequence});
  } else if (auto* control = std::get_if<wire::Control>(&frame)) {
    events_.handle_control(peer_, control->channel, std::move(control->payload));
  } else if (auto* packed = std::get_if<wire::Packed>(&frame)) {
    HandlePacked(*packed);
  }
}

void Connection::HandlePacked(const wire::Packed& packed) {
  if (!decompressor_) {
    decompressor_.emplace(options_.queue_bytes);
  }
  packed_reader_.Append(decompressor_->Take(packed.payload));
  while (auto frame = packed_reader_.Next()) {
    if (std::holds_alternative<wire::Packed>(*frame)) {
      Fail("nested_packed_frame");
      return;
    }
    HandleFrame(std::move(*frame));
    if (is_closed_) {
      return;
    }
  }
}

void Connection::HandleHello(const wire::Hello& hello) {
  if (is_ready_ || hello.protocol != wire::kProtocolVersion ||
      (!expected_node_.empty() && hello.node != expected_node_)) {
    Fail("unexpected_hello");
    return;
  }
  if (direction_ == Direction::kInbound) {
    generation_ = hello.generation;
  } else if (hello.generation != generation_) {
    Fail("unexpected_generation");
    return;
  }
  peer_ = hello.node;
  if (!events_.handle_hello(shared_from_this(), hello)) {
    Fail("stale_incarnation");
    return;
  }
  connect_timer_.cancel();
  is_ready_ = true;
  crosses_zones_ = options_.crosses_zones && options_.crosses_zones(peer_);
  if (crosses_zones_) {
    compressor_.emplace();
  }
  if (direction_ == Direction::kInbound) {
    SendHello();
  }
  WriteNext();
}

void Connection::HandleRequest(wire::Request request) {
  if (request.generation != generation_ || inbound_.contains(request.stream)) {
    Fail("unexpected_stream");
    return;
  }
  if (inbound_.size() >= options_.streams) {
    wire::Response refusal;
    refusal.generation = generation_;
    refusal.stream = request.stream;
    refusal.outcome = wire::Outcome::kNotRun;
    refusal.reason = "too_many_streams";
    Enqueue(refusal);
    return;
  }
  inbound_.emplace(request.stream, InboundState::kRunning);
  events_.handle_request(shared_from_this(), std::move(request));
}

void Connection::HandleResponse(wire::Response response) {
  const auto found = calls_.find(response.stream);
  if (response.generation != generation_) {
    Fail("unexpected_generation");
    return;
  }
  if (found == calls_.end()) {
    // The call was cancelled before its answer came.
    events_.handle_late_response();
    return;
  }
  if (!found->second.is_written) {
    Fail("answer_before_request");
    return;
  }
  ResponseHandler handler = std::move(found->second.handler);
  calls_.erase(found);
  handler(std::move(response));
}

void Connection::HandleCancel(const wire::Cancel& cancel) {
  const auto found = inbound_.find(cancel.stream);
  if (cancel.generation == generation_ && found != inbound_.end() &&
      found->second == InboundState::kRunning) {
    found->second = InboundState::kCancelled;
    events_.handle_cancel({id_, cancel.stream});
  }
}

void Connection::StartCall(std::uint64_t stream, wire::Request request, ResponseHandler handler) {
  if (is_closed_ || calls_.size() >= options_.streams) {
    handler(CallFailure::kNotSent);
    return;
  }
  request.stream = stream;
  request.generation = generation_;
  calls_.emplace(stream, PendingCall{std::move(handler)});
  if (!Enqueue(request, stream)) {
    FinishCall(stream);
  }
}

void Connection::FinishCall(std::uint64_t stream) {
  const auto found = calls_.find(stream);
  VERIFY(found != calls_.end());
  const PendingCall call = std::move(found->second);
  calls_.erase(found);
  call.handler(call.is_written ? CallFailure::kLost : CallFailure::kNotSent);
}

bool Connection::Enqueue(const wire::Frame& frame, std::uint64_t stream) {
  if (is_closed_) {
    return false;
  }
  std::string bytes;
  try {
    bytes = wire::EncodeFrame(frame, options_.frame_bytes);
  } catch (const wire::WireError& error) {
    base::Log(base::LogLevel::kWarning, "frame_not_sent",
              {{"peer", peer_}, {"error", error.what()}});
    return false;
  }
  if (queued_bytes_ + bytes.size() > options_.queue_bytes) {
    // An answer that finds no room must not be lost in silence: the caller's node learns of it
    // from the closed connection.
    if (std::holds_alternative<wire::Response>(frame)) {
      Fail("send_queue_full");
    }
    return false;
  }
  queued_bytes_ += bytes.size();
  queue_.push_back({std::move(bytes), KindOf(frame), stream});
  WriteNext();
  return true;
}

void Connection::SendHello() {
  const wire::Hello hello{wire::kProtocolVersion, options_.node, options_.incarnation, generation_};
  writing_.push_back({wire::EncodeFrame(hello, options_.frame_bytes), TrafficKind::kHandshake, 0});
  queued_bytes_ += writing_.back().bytes.size();
  CountBatch(1);
  WriteBatch();
}

void Connection::WriteNext() {
  if (is_writing_ || is_closed_ || !is_ready_ || queue_.empty()) {
    return;
  }
  const std::size_t count = std::min(queue_.size(), kWriteBatch);
  for (std::size_t i = 0; i < count; ++i) {
    writing_.push_back(std::move(queue_.front()));
    queue_.pop_front();
    if (const auto call = calls_.find(writing_.back().stream); call != calls_.end()) {
      call->second.is_written = true;
    }
  }
  if (compressor_) {
    PackBatch();
  } else {
    CountBatch(1);
  }
  WriteBatch();
}

// Replaces the frames to be written by one that holds them compressed.
void Connection::PackBatch() {
  std::string bytes;
  std::size_t plain_bytes = 0;
  for (const QueuedFrame& frame : writing_) {
    plain_bytes += frame.bytes.size();
    bytes += frame.bytes;
  }
  // A batch that might not fit one frame travels as it is.
  if (StreamCompressor::Bound(plain_bytes) > options_.frame_bytes) {
    CountBatch(1);
    return;
  }
  std::string packed =
      wire::EncodeFrame(wire::Packed{compressor_->Add(bytes)}, options_.frame_bytes);
  CountBatch(static_cast<double>(packed.size()) / static_cast<double>(plain_bytes));
  queued_bytes_ = queued_bytes_ - plain_bytes + packed.size();
  writing_.clear();
  writing_.push_back({std::move(packed)});
}

// Compression works on the whole batch; each frame counts with its share of the compressed size.
void Connection::CountBatch(double packed_share) const {
  if (!events_.count_sent) {
    return;
  }
  for (const QueuedFrame& frame : writing_) {
    const double sent = std::ceil(packed_share * static_cast<double>(frame.bytes.size()));
    events_.count_sent(frame.kind, crosses_zones_, static_cast<std::size_t>(sent));
  }
}

void Connection::WriteBatch() {
  is_writing_ = true;
  std::vector<asio::const_buffer> buffers;
  buffers.reserve(writing_.size());
  for (const QueuedFrame& frame : writing_) {
    buffers.emplace_back(asio::buffer(frame.bytes));
  }
  asio::async_write(socket_, buffers,
                    [self = shared_from_this()](const asio::error_code& error, std::size_t) {
                      self->HandleWritten(error);
                    });
}

void Connection::HandleWritten(const asio::error_code& error) {
  for (const QueuedFrame& frame : writing_) {
    queued_bytes_ -= frame.bytes.size();
  }
  writing_.clear();
  is_writing_ = false;
  if (is_closed_) {
    return;
  }
  if (error) {
    Fail("write_failed");
    return;
  }
  WriteNext();
}

void Connection::Fail(const char* reason) {
  if (is_closed_) {
    return;
  }
  is_closed_ = true;
  asio::error_code ignored;
  socket_.close(ignored);
  connect_timer_.cancel();
  const auto self = shared_from_this();
  events_.handle_closed(self, reason);
  FailCalls();
  CancelInbound();
}

void Connection::FailCalls() {
  while (!calls_.empty()) {
    FinishCall(calls_.begin()->first);
  }
}

void Connection::CancelInbound() {
  const std::map<std::uint64_t, InboundState> streams = std::exchange(inbound_, {});
  for (const auto& [stream, state] : streams) {
    if (state == InboundState::kRunning) {
      events_.handle_cancel({id_, stream});
    }
  }
}

}  // namespace borageloft::transport
