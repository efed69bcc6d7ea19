#include "tests/soak/stand_in_upstream.h"

#include <fmt/format.h>

#include <utility>

#include "tests/soak/soak_client.h"

namespace borageloft::soak {

namespace {

constexpr std::chrono::milliseconds kHeartbeatInterval{300};
constexpr std::chrono::milliseconds kDrainBound{2000};
// A node that is stopped or whose link is faulty gets an answer this much later.
constexpr std::chrono::milliseconds kLongestFault{4000};
constexpr std::chrono::seconds kRateWindow{4};
constexpr std::chrono::seconds kRateGrace{3};
constexpr std::size_t kSlots = 8;

}  // namespace

StandInUpstream::StandInUpstream(asio::io_context& context, settings::Endpoint address,
                                 asio::ip::tcp::endpoint announce_to, std::string service,
                                 base::Random random, ExecutionRecord& record)
    : context_(context),
      address_(std::move(address)),
      announce_to_(std::move(announce_to)),
      service_(std::move(service)),
      random_(std::move(random)),
      record_(record),
      timer_(context) {
  Restart();
}

void StandInUpstream::Restart() {
  Crash();
  ++born_;
  sequence_ = 0;
  is_draining_ = false;
  leaves_in_answers_ = false;
  leave_acknowledged_ = {};
  leave_told_ = {};
  rate_ = {};
  id_ = fmt::format("i-{:08x}", random_() & 0xffffffffU);
  server_ = std::make_unique<http_stream::Server>(
      context_, http_stream::ServerLimits{},
      [this](const http_stream::RequestMessage& message, base::TimePoint,
             const http_stream::Exchange& exchange) { Handle(message, exchange); });
  server_->Listen(address_);
  Announce();
}

void StandInUpstream::Crash() {
  timer_.cancel();
  server_.reset();
}

void StandInUpstream::Drain() {
  is_draining_ = true;
  Announce();
}

void StandInUpstream::LeaveInAnswers() { leaves_in_answers_ = true; }

void StandInUpstream::NameRate(double per_second, base::Duration time) {
  const base::TimePoint now = base::SystemClock()();
  rate_ = {per_second, now, now + time};
}

void StandInUpstream::NoteNodeStart() {
  leave_told_ = {};
  node_starts_.push_back(base::SystemClock()());
}

void StandInUpstream::CheckRate(base::TimePoint now) {
  arrivals_.push_back(now);
  for (auto* times : {&arrivals_, &node_starts_}) {
    while (!times->empty() && now - times->front() > kRateWindow) {
      times->pop_front();
    }
  }
  if (now - rate_.since < kRateGrace + kRateWindow || now > rate_.until) {
    return;
  }
  // A node that has just started may fill the slots before its first answer.
  const double allowed = 1.5 * rate_.per_second * kRateWindow.count() + 5 +
                         static_cast<double>(kSlots * node_starts_.size());
  record_.beyond_rate += static_cast<double>(arrivals_.size()) > allowed ? 1 : 0;
}

void StandInUpstream::AddWhatItSays(http_stream::Fields& fields, base::TimePoint now) {
  if (now < rate_.until) {
    fields.push_back({"Server-Limit", fmt::format("{:.1f}", rate_.per_second)});
  }
  if (is_draining_ || leaves_in_answers_) {
    fields.push_back({"Server-Leaving", "1"});
    if (leave_told_ == base::TimePoint{}) {
      leave_told_ = now;
    }
  }
}

void StandInUpstream::Announce() {
  http_stream::RequestMessage request;
  request.method = "POST";
  request.target = "/borageloft/rpc?call=instances.heartbeat&of=" + id_;
  request.fields = {{"Host", "node"}};
  request.body = fmt::format(
      R"({{"addr":"{}","born":{},"info":{{"service":"{}","version":"v1","zone":"z","slots":{}}},)"
      R"("status":{{"state":"{}","seq":{},"cold_left_ms":0}}}})",
      settings::FormatEndpoint(address_), born_, service_, kSlots,
      is_draining_ ? "draining" : "ready", ++sequence_);
  SendOnce(context_, announce_to_, request, std::chrono::milliseconds(1000),
           [this, was_draining = is_draining_,
            life = id_](const std::optional<http_stream::ResponseMessage>& answer) {
             const bool is_first = leave_acknowledged_ == base::TimePoint{};
             if (answer && answer->status == 200 && was_draining && life == id_ && is_first) {
               leave_acknowledged_ = base::SystemClock()();
             }
           });
  timer_.expires_after(kHeartbeatInterval);
  timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      Announce();
    }
  });
}

void StandInUpstream::Handle(const http_stream::RequestMessage& message,
                             const http_stream::Exchange& exchange) {
  const std::string* id = http_stream::FindField(message.fields, "X-Borageloft-Request-Id");
  const std::string* expected =
      http_stream::FindField(message.fields, "X-Borageloft-Expect-Instance");
  http_stream::ResponseMessage response;
  if (id == nullptr || (expected != nullptr && *expected != id_)) {
    response.status = id == nullptr ? 400 : 421;
    response.fields.push_back({"X-Borageloft-Not-Executed", "1"});
    exchange.Respond(std::move(response));
    return;
  }
  const base::TimePoint now = base::SystemClock()();
  if (leave_acknowledged_ != base::TimePoint{} && now - leave_acknowledged_ > kDrainBound) {
    ++record_.late_after_leave;
  }
  if (leave_told_ != base::TimePoint{} && now - leave_told_ > kDrainBound + kLongestFault) {
    ++record_.late_after_told;
  }
  CheckRate(now);
  ++record_.runs[*id];
  response.status = 200;
  response.fields = {{"X-Borageloft-Request-Id", *id}, {"X-Borageloft-Response-Seal", "seal"}};
  AddWhatItSays(response.fields, now);
  response.body = "answer to " + *id;
  const auto timer = std::make_shared<asio::steady_timer>(
      context_, std::chrono::milliseconds(2 + base::DrawBelow(random_, 30)));
  timer->async_wait([timer, exchange, response = std::move(response)](const asio::error_code&) {
    exchange.Respond(response);
  });
}

}  // namespace borageloft::soak
