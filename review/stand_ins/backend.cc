#include "review/stand_ins/backend.h"

namespace borageloft::review {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kHeartbeatInterval{1500};
// An answer to a heartbeat or a leave counts if it arrives within a second.
constexpr milliseconds kAcknowledgementLimit{1000};
constexpr int kSlots = 80;

}  // namespace

Backend::Backend(asio::io_context& context, Deployment& deployment, const Machine& machine,
                 Record& record, Runs& runs, milliseconds work)
    : context_(context),
      deployment_(deployment),
      machine_(machine),
      record_(record),
      runs_(runs),
      work_(work),
      id_("i-" + machine.name()),
      born_(std::chrono::duration_cast<milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count()),
      beat_timer_(context) {
  server_ = std::make_unique<Server>(
      context, machine.At(deployment.ports().app),
      [this](const Message& request, const std::shared_ptr<Exchange>& exchange) {
        Handle(request, exchange);
      });
  Beat(milliseconds(0));
  BeatLater();
}

Backend::~Backend() { *is_alive_ = false; }

void Backend::BeatLater() {
  beat_timer_.expires_after(kHeartbeatInterval);
  beat_timer_.async_wait([this](const asio::error_code& error) {
    if (!error && !is_leaving_) {
      Beat(milliseconds(0));
      BeatLater();
    }
  });
}

void Backend::Beat(milliseconds delay) {
  Message beat;
  beat.method = "POST";
  beat.target = "/borageloft/rpc?call=instances.heartbeat&of=" + id_;
  beat.fields = {{"Host", machine_.ip()}, {"Content-Type", "application/json"}};
  beat.body = R"({"addr":")" + machine_.ip() + ":" + std::to_string(deployment_.ports().app) +
              R"(","born":)" + std::to_string(born_) + R"(,"info":{"service":")" +
              machine_.service() + R"(","version":"v1","zone":")" + machine_.zone() +
              R"(","slots":)" + std::to_string(kSlots) + R"(},"status":{"state":"ready","seq":)" +
              std::to_string(++sequence_) + R"(,"cold_left_ms":0}})";
  const auto timer = std::make_shared<asio::steady_timer>(context_, delay);
  const auto name = "heartbeat " + std::to_string(sequence_) + " of " + id_;
  if (delay > milliseconds(0)) {
    record_.Write(name + " is sent, and is late on its way");
  }
  timer->async_wait([this, timer, beat, name, delay, alive = is_alive_](const asio::error_code&) {
    Send(context_, machine_.At(deployment_.ports().control), beat, kAcknowledgementLimit,
         [this, name, delay, alive](const std::optional<Message>& answer) {
           if (*alive) {
             is_known_ = is_known_ || (answer && answer->status == 200);
             if (delay > milliseconds(0)) {
               record_.Write(name + " arrives: status " +
                             std::to_string(answer ? answer->status : 0));
             }
           }
         });
  });
}

void Backend::Leave() {
  is_leaving_ = true;
  Message leave;
  leave.method = "POST";
  leave.target = "/borageloft/rpc?call=instances.leave&of=" + id_;
  leave.fields = {{"Host", machine_.ip()}, {"Content-Type", "application/json"}};
  leave.body = R"({"born":)" + std::to_string(born_) + "}";
  Send(context_, machine_.At(deployment_.ports().control), leave, kAcknowledgementLimit,
       [this, alive = is_alive_](const std::optional<Message>& answer) {
         if (!*alive) {
           return;
         }
         if (answer && answer->status == 200) {
           leave_acknowledged_ = Clock::now();
           record_.Write("leave of " + id_ + " is acknowledged");
         } else {
           Leave();
         }
       });
}

void Backend::Handle(const Message& request, const std::shared_ptr<Exchange>& exchange) {
  Message response;
  if (request.method == "GET" && request.target == "/health") {
    response.status = is_leaving_ ? 503 : 200;
    response.fields = {{"X-Borageloft-Instance-Id", id_}};
    exchange->Respond(response);
    return;
  }
  const std::string id = request.Field("X-Borageloft-Request-Id");
  const std::string expected = request.Field("X-Borageloft-Expect-Instance");
  response.fields = {{"X-Borageloft-Request-Id", id}};
  if (id.empty() || (!expected.empty() && expected != id_)) {
    response.status = id.empty() ? 400 : 421;
    response.fields.emplace_back("X-Borageloft-Not-Executed", "1");
    exchange->Respond(response);
    return;
  }
  record_.Write("request " + id + " reaches " + id_);
  const auto run = runs_.emplace(id, Run{id_, Clock::now(), false});
  response.status = 200;
  response.fields.emplace_back("X-Borageloft-Response-Seal", "seal-" + id);
  response.body = "answer to " + id;
  const auto timer = std::make_shared<asio::steady_timer>(context_, work_);
  timer->async_wait(
      [this, timer, run, response, exchange, alive = is_alive_](const asio::error_code&) {
        if (*alive && exchange->is_open()) {
          run->second.has_ended = true;
          record_.Write("request " + run->first + " ends at " + id_);
          exchange->Respond(response);
        }
      });
}

}  // namespace borageloft::review
