#include "libraries/request_path/upstream_connection.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <exception>
#include <limits>
#include <utility>

namespace borageloft::request_path {

namespace {

constexpr unsigned kMisdirected = 421;
// An idle connection is not reused within this time before the upstream's own idle timeout.
constexpr std::chrono::milliseconds kIdleMargin{1000};
// Refused requests that a connection remembers before it is closed.
constexpr std::size_t kMaxRefusedIds = 32;
constexpr std::size_t kAnswerHeaderBytes = 32 * 1024;

base::TimePoint Now() { return base::SystemClock()(); }

// Returns the fourth figure of a load header, or nothing if there is none.
std::optional<std::uint32_t> ParseWorkTimePercent(std::string_view text) {
  constexpr int kFiguresBefore = 3;
  for (int i = 0; i < kFiguresBefore; ++i) {
    const std::size_t comma = text.find(',');
    if (comma == std::string_view::npos) {
      return std::nullopt;
    }
    text.remove_prefix(comma + 1);
  }
  text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
  std::uint32_t percent = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), percent);
  constexpr std::uint32_t kMaximumPercent = 100'000;
  return parsed.ec == std::errc() ? std::optional(std::clamp(percent, 1U, kMaximumPercent))
                                  : std::nullopt;
}

// Returns the rate in thousandths of a request per second, or nothing if @p text is no rate. A rate
// of 0 becomes the lowest one that is distinct from no rate.
std::optional<std::uint32_t> ParseRateMilli(const std::string& text) {
  double rate = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), rate);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || !std::isfinite(rate) ||
      rate < 0) {
    return std::nullopt;
  }
  constexpr double kMaximum = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::clamp(std::round(rate * 1000), 1.0, kMaximum));
}

}  // namespace

UpstreamConnection::UpstreamConnection(UpstreamPool& pool)
    : pool_(&pool),
      socket_(pool.context_),
      connect_timer_(pool.context_),
      parser_(http_stream::MessageKind::kResponse, {kAnswerHeaderBytes, pool.options_.body_bytes}),
      idle_limit_(pool.options_.idle_limit) {}

void UpstreamConnection::Run(wire::Request request, base::TimePoint deadline,
                             ResponseHandler handler, AnswerCheck check) {
  VERIFY(!handler_ && !is_closed_);
  check_ = check;
  handler_ = std::move(handler);
  deadline_ = deadline;
  message_.method = std::move(request.method);
  message_.target = std::move(request.path);
  message_.fields = std::move(request.headers);
  message_.body = std::move(request.body);
  request_id_ = request.context.root;
  if (!request.placement.instance.empty()) {
    message_.fields.push_back({pool_->names_.expected_instance, request.placement.instance});
  }
  is_written_ = false;
  parser_.set_expects_no_body(message_.method == "HEAD");
  if (is_connected_) {
    Write();
  } else {
    Connect();
  }
}

void UpstreamConnection::Connect() {
  const auto& endpoint = pool_->options_.endpoint;
  connect_timer_.expires_after(pool_->options_.connect_timeout);
  connect_timer_.async_wait([self = shared_from_this()](const asio::error_code& error) {
    if (!error && !self->is_connected_ && !self->is_closed_) {
      ++self->pool_->counters_.connect_failures;
      self->Fail(wire::Outcome::kNotRun, Refusal::kInstanceUnreachable);
    }
  });
  const asio::ip::tcp::endpoint target(asio::ip::make_address(endpoint.address), endpoint.port);
  socket_.async_connect(target, [self = shared_from_this()](const asio::error_code& error) {
    if (self->is_closed_) {
      return;
    }
    self->connect_timer_.cancel();
    if (error) {
      ++self->pool_->counters_.connect_failures;
      self->pool_->on_unreachable_();
      self->Fail(wire::Outcome::kNotRun, Refusal::kInstanceUnreachable);
      return;
    }
    self->is_connected_ = true;
    asio::error_code ignored;
    self->socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    self->Write();
    self->Read();
  });
}

void UpstreamConnection::Write() {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline_ - Now());
  if (left.count() <= 0) {
    Fail(wire::Outcome::kNotRun, Refusal::kDeadlinePassed);
    return;
  }
  http_stream::SetField(message_.fields, pool_->names_.timeout_ms, std::to_string(left.count()));
  output_ = http_stream::SerializeRequest(std::exchange(message_, {}));
  is_writing_ = true;
  ++requests_;
  is_written_ = true;  // From here on the upstream may receive the request.
  asio::async_write(socket_, asio::buffer(output_),
                    [self = shared_from_this()](const asio::error_code& error, std::size_t) {
                      self->RunGuarded([&] { self->HandleWritten(error); });
                    });
}

void UpstreamConnection::HandleWritten(const asio::error_code& error) {
  is_writing_ = false;
  base::ReleaseBuffer(output_);
  if (error) {
    // The answer may have arrived before the error; the read handler decides.
    has_write_failed_ = true;
    must_close_ = true;
  }
  if (has_stream_ended_) {
    HandleEnd(asio::error::eof);
  }
}

void UpstreamConnection::Read() {
  if (is_reading_ || is_closed_) {
    return;
  }
  is_reading_ = true;
  socket_.async_read_some(
      asio::buffer(read_buffer_),
      [self = shared_from_this()](const asio::error_code& error, std::size_t count) {
        self->is_reading_ = false;
        self->RunGuarded([&] {
          if (error) {
            self->HandleEnd(error);
          } else {
            self->HandleBytes(count);
          }
        });
      });
}

// An unexpected error ends the connection and not the process.
void UpstreamConnection::RunGuarded(const std::function<void()>& action) {
  if (is_closed_) {
    return;
  }
  try {
    action();
  } catch (const std::exception& failure) {
    base::Log(base::LogLevel::kError, "upstream_answer_handler_failed",
              {{"request", request_id_}, {"error", failure.what()}});
    Close();
  }
}

void UpstreamConnection::HandleBytes(std::size_t count) {
  std::string_view bytes(read_buffer_.data(), count);
  while (!bytes.empty() && !is_closed_) {
    if (!handler_) {
      // Unsolicited data: no request is in progress.
      ++pool_->counters_.mismatched_answers;
      Close();
      return;
    }
    const std::size_t used = parser_.Feed(bytes);
    bytes.remove_prefix(used);
    if (parser_.has_failed()) {
      ++pool_->counters_.invalid_answers;
      Fail(wire::Outcome::kUnknown, Refusal::kUpstreamGarbled);
      return;
    }
    const bool is_complete = parser_.state() == http_stream::ParseState::kComplete;
    UpdateHeldBytes(is_complete ? 0 : parser_.held_bytes());
    if (pool_->held_bytes_ > pool_->options_.held_bytes) {
      ++pool_->counters_.invalid_answers;
      Fail(wire::Outcome::kUnknown, Refusal::kTooManyBytes);
      return;
    }
    if (is_complete) {
      // Data after the answer: the connection is not reused.
      must_close_ = must_close_ || !bytes.empty();
      HandleAnswer();
    }
  }
  Read();
}

void UpstreamConnection::UpdateHeldBytes(std::size_t bytes) {
  pool_->held_bytes_ += bytes;
  VERIFY(pool_->held_bytes_ >= held_bytes_);
  pool_->held_bytes_ -= held_bytes_;
  held_bytes_ = bytes;
}

void UpstreamConnection::HandleEnd(const asio::error_code& error) {
  if (!handler_) {
    Close();
    return;
  }
  const bool is_end = error == asio::error::eof;
  if (is_end && parser_.ends_with_stream() && is_writing_) {
    // The outcome of the write tells whether the upstream still reads the request, or has failed.
    has_stream_ended_ = true;
    return;
  }
  // A reset is reported once, to the write or to the read. After the write the read sees an end.
  if (is_end && !(parser_.ends_with_stream() && has_write_failed_)) {
    parser_.FinishAtEnd();
    if (parser_.state() == http_stream::ParseState::kComplete) {
      must_close_ = true;
      HandleAnswer();
      if (!handler_) {
        return;
      }
    }
  }
  Fail(wire::Outcome::kUnknown, Refusal::kUpstreamLost);
}

void UpstreamConnection::HandleAnswer() {
  http_stream::ResponseMessage message = parser_.TakeResponse();
  must_close_ = must_close_ || !message.keeps_alive;
  if (IsForOtherRequest(message)) {
    // A late answer to an earlier request; the expected answer may still follow.
    ++pool_->counters_.mismatched_answers;
    must_close_ = true;
    return;
  }
  // The answer arrived before the request was fully written, so the upstream still expects the rest
  // of the body.
  must_close_ = must_close_ || is_writing_;
  UpdateIdleLimit(message.fields);
  Deliver(std::move(message));
}

bool UpstreamConnection::IsForOtherRequest(const http_stream::ResponseMessage& message) const {
  const std::string* id = http_stream::FindField(message.fields, pool_->names_.request_id);
  return id != nullptr && *id != request_id_;
}

// A faulty upstream may write an earlier refusal once more. On a connection that has carried other
// requests, one without an id may be of any of them.
bool UpstreamConnection::IsRefusalOfUnknownRequest(
    const http_stream::ResponseMessage& message) const {
  const HeaderNames& names = pool_->names_;
  const bool is_refusal = message.status == kMisdirected ||
                          http_stream::FindField(message.fields, names.not_run) != nullptr;
  return is_refusal && requests_ > 1 &&
         http_stream::FindField(message.fields, names.request_id) == nullptr;
}

void UpstreamConnection::Deliver(http_stream::ResponseMessage message) {
  constexpr unsigned kFirstFailure = 300;
  const HeaderNames& names = pool_->names_;
  if (IsRefusalOfUnknownRequest(message)) {
    ++pool_->counters_.mismatched_answers;
    Fail(wire::Outcome::kUnknown, Refusal::kUpstreamGarbled);
    return;
  }
  if (message.status == kMisdirected) {
    pool_->on_other_instance_();
    must_close_ = true;
    Fail(wire::Outcome::kNotRun, Refusal::kInstanceGone);
    return;
  }
  const bool is_not_run = http_stream::FindField(message.fields, names.not_run) != nullptr;
  const bool is_sealed = check_ == AnswerCheck::kNone || names.seal.empty() ||
                         http_stream::FindField(message.fields, names.seal) != nullptr;
  if (message.status < kFirstFailure && !is_not_run && !is_sealed) {
    ++pool_->counters_.invalid_answers;
    Fail(wire::Outcome::kUnknown, Refusal::kUpstreamGarbled);
    return;
  }
  if (is_not_run) {
    refused_ids_.push_back(request_id_);
    must_close_ = must_close_ || refused_ids_.size() >= kMaxRefusedIds;
  }
  wire::Response response;
  response.outcome = is_not_run ? wire::Outcome::kNotRun : wire::Outcome::kRan;
  response.status = message.status;
  response.load.rate_limit_milli = ReadRateLimit(message.fields);
  response.load.work_time_percent = ReadWorkTime(message.fields);
  const std::string* leaving = http_stream::FindField(message.fields, names.upstream_leaving);
  response.load.is_leaving = leaving != nullptr && *leaving == "1";
  http_stream::RemoveConnectionFields(message.fields);
  response.headers = std::move(message.fields);
  response.body = std::move(message.body);
  Finish(std::move(response));
}

std::uint32_t UpstreamConnection::ReadWorkTime(const http_stream::Fields& fields) const {
  const std::string* text = http_stream::FindField(fields, pool_->names_.upstream_load);
  return text == nullptr ? 0 : ParseWorkTimePercent(*text).value_or(0);
}

std::uint32_t UpstreamConnection::ReadRateLimit(const http_stream::Fields& fields) {
  const std::string* text = http_stream::FindField(fields, pool_->names_.upstream_rate_limit);
  if (text == nullptr) {
    return 0;
  }
  const std::optional<std::uint32_t> milli = ParseRateMilli(*text);
  // Logged once, since an upstream repeats it in each answer; the others are counted.
  if (!milli && ++pool_->counters_.unreadable_rates == 1) {
    base::Log(base::LogLevel::kWarning, "upstream_rate_unreadable",
              {{"request", request_id_}, {"text", text->substr(0, 32)}});
  }
  return milli.value_or(0);
}

void UpstreamConnection::UpdateIdleLimit(const http_stream::Fields& fields) {
  const std::string* value = http_stream::FindField(fields, "keep-alive");
  if (value == nullptr) {
    return;
  }
  constexpr std::string_view kTimeout = "timeout=";
  const auto position = value->find(kTimeout);
  unsigned seconds = 0;
  if (position != std::string::npos) {
    const char* begin = value->data() + position + kTimeout.size();
    const auto parsed = std::from_chars(begin, value->data() + value->size(), seconds);
    if (parsed.ec == std::errc()) {
      idle_limit_ = std::max<base::Duration>(base::Duration::zero(),
                                             std::chrono::seconds(seconds) - kIdleMargin);
    }
  }
}

void UpstreamConnection::Fail(wire::Outcome outcome, Refusal refusal) {
  wire::Response response;
  response.outcome = outcome;
  response.reason = std::string(TextOf(refusal));
  must_close_ = true;
  Finish(std::move(response));
}

void UpstreamConnection::Finish(wire::Response response) {
  const ResponseHandler handler = std::exchange(handler_, nullptr);
  const auto self = shared_from_this();
  if (must_close_ || !is_connected_) {
    Close();
  } else {
    usable_until_ = Now() + idle_limit_;
    pool_->Return(self);
    Read();
  }
  if (handler) {
    handler(std::move(response));
  }
}

void UpstreamConnection::Close() {
  if (is_closed_) {
    return;
  }
  is_closed_ = true;
  UpdateHeldBytes(0);
  handler_ = nullptr;
  asio::error_code ignored;
  connect_timer_.cancel();
  socket_.close(ignored);
  pool_->Remove(shared_from_this());
}

}  // namespace borageloft::request_path
