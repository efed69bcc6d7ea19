#include "libraries/workbench/stand_in.h"

#include <fmt/format.h>
#include <json/json.h>

#include <algorithm>
#include <charconv>

#include "libraries/workbench/answer.h"
#include "libraries/workbench/error.h"

namespace borageloft::workbench {

namespace {

using Kind = StandInCommand::Kind;
using std::chrono::milliseconds;

// Operators that may send commands at once.
constexpr std::size_t kCommandThreads = 4;

constexpr std::size_t kMostConnections = 65'536;

constexpr const char* kTimeoutHeader = "Borageloft-Timeout-Ms";

std::string ToText(const Json::Value& json) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, json);
}

HttpResponse Problem(int status, std::string_view title) {
  Json::Value json(Json::objectValue);
  json["title"] = std::string(title);
  json["status"] = status;
  return {status, ToText(json), "application/problem+json", {}, false};
}

std::optional<base::Duration> ParseTimeout(const std::string& text) {
  std::int64_t count = 0;
  const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), count);
  if (failure != std::errc() || end != text.data() + text.size() || count < 0) {
    return std::nullopt;
  }
  constexpr std::int64_t kLongest = 86'400'000;
  return milliseconds(std::min(count, kLongest));
}

}  // namespace

StandIn::StandIn(StandInOptions options)
    : options_((options.Check(), std::move(options))),
      record_(options_.record_path, options_.service),
      slots_(options_.slots, options_.contention),
      warm_at_(clock_() + options_.cold_start),
      service_time_(options_.service_time),
      random_(base::SeededRandom(base::Hash("faults", options_.service_time.seed))) {
  if (options_.node) {
    node_ = std::make_unique<HttpCaller>(*options_.node);
  }
  listener_ = std::make_unique<HttpListener>(
      options_.listen, options_.threads != 0 ? options_.threads : 2 * options_.connections,
      [this](const HttpRequest& request) { return Handle(request); });
  command_listener_ = std::make_unique<HttpListener>(
      options_.command_listen, kCommandThreads, [this](const HttpRequest& request) {
        return HandleOperator(request).value_or(Problem(404, "no such path"));
      });
  if (options_.node) {
    announcer_ = std::make_unique<UpstreamAnnouncer>(
        *options_.node, Announcement{options_.service, listener_->address(), options_.slots,
                                     options_.connections, options_.lease});
    announcer_->Join();
  }
}

StandIn::~StandIn() { Stop(); }

void StandIn::Run(const std::stop_token& stop) {
  const std::stop_callback wake(stop, [this] {
    const std::scoped_lock lock(mutex_);
    changed_.notify_all();
  });
  {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return stop.stop_requested() || is_stop_commanded_; });
  }
  Stop();
}

void StandIn::Stop() {
  if (announcer_) {
    announcer_->Leave();
  }
  {
    const std::scoped_lock lock(mutex_);
    is_stopping_ = true;
    changed_.notify_all();
  }
  listener_->Stop();
  command_listener_->Stop();
}

void StandIn::Apply(const StandInCommand& command) {
  if (command.kind == Kind::kSlowDown) {
    slots_.SetSlowDown(command.number);
  } else if (command.kind == Kind::kLeave) {
    record_.SetLeaving(clock_());
    if (announcer_) {
      announcer_->Leave();
    }
  } else if (command.kind == Kind::kJoin) {
    record_.SetLeaving(std::nullopt);
    if (announcer_) {
      announcer_->Join();
    }
  }
  const std::scoped_lock lock(mutex_);
  switch (command.kind) {
    case Kind::kFailFast:
      fail_share_ = command.number;
      break;
    case Kind::kTruncate:
      truncate_share_ = command.number;
      break;
    case Kind::kSilent:
      silence_ = command.scope;
      ++generation_;
      break;
    case Kind::kReportLoad:
      false_load_ = LoadReport{command.in_flight, command.limit};
      break;
    case Kind::kReportTrueLoad:
      false_load_.reset();
      break;
    case Kind::kColdStart:
      warm_at_ = clock_() + options_.cold_start;
      break;
    case Kind::kStop:
      is_stop_commanded_ = true;
      break;
    case Kind::kSlowDown:
    case Kind::kLeave:
    case Kind::kJoin:
      break;
  }
  changed_.notify_all();
}

HttpResponse StandIn::Handle(const HttpRequest& request) {
  if (auto response = HandleOperator(request)) {
    return *response;
  }
  return HandleRequest(request);
}

std::optional<HttpResponse> StandIn::HandleOperator(const HttpRequest& request) {
  if (request.path == "/stand-in/command" && request.method == "POST") {
    return HandleCommand(request);
  }
  if (request.path == "/stand-in/record" && request.method == "GET") {
    return HttpResponse{200, ToText(record_.ToJson())};
  }
  if (request.path == "/stand-in/load" && request.method == "GET") {
    const LoadReport load = CurrentLoad();
    Json::Value json(Json::objectValue);
    json["in_flight"] = static_cast<Json::UInt64>(load.in_flight);
    json["limit"] = static_cast<Json::UInt64>(load.limit);
    return HttpResponse{200, ToText(json)};
  }
  return std::nullopt;
}

HttpResponse StandIn::HandleCommand(const HttpRequest& request) {
  try {
    Apply(StandInCommand::Parse(request.body));
    return HttpResponse{200, "{}"};
  } catch (const Error& error) {
    return Problem(400, error.what());
  }
}

HttpResponse StandIn::HandleRequest(const HttpRequest& request) {
  record_.Receive();
  if (IsSilenced(request.connection)) {
    return WaitInSilence();
  }
  double fail_share = 0;
  {
    const std::scoped_lock lock(mutex_);
    fail_share = fail_share_;
  }
  if (DrawShare(fail_share)) {
    record_.FailFast();
    return Problem(500, "failing on command");
  }
  Execution execution{request, request.Header(kRequestIdHeader), request.Header("Idempotency-Key"),
                      std::nullopt};
  if (const auto timeout = ParseTimeout(request.Header(kTimeoutHeader))) {
    execution.deadline = clock_() + *timeout;
  }
  record_.Begin(execution.key, clock_());
  HttpResponse response = Execute(execution);
  record_.Finish(execution.deadline && clock_() > *execution.deadline);
  return response;
}

HttpResponse StandIn::Execute(const Execution& execution) {
  const ExecutionSlots::Place place(slots_);
  const bool stops_at_deadline = options_.deadline_handling == DeadlineHandling::kStop;
  const WorkEnd end =
      slots_.Work(DrawDemand(), stops_at_deadline ? execution.deadline : std::nullopt);
  if (end == WorkEnd::kDeadline) {
    return Problem(504, "the deadline passed during execution");
  }
  if (auto failure = CallDownstream(execution)) {
    record_.FailDownstream();
    return *failure;
  }
  return BuildResponse(execution);
}

std::optional<HttpResponse> StandIn::CallDownstream(const Execution& execution) {
  for (const DownstreamCall& target : options_.downstream) {
    const base::Duration timeout =
        execution.deadline ? *execution.deadline - clock_() : options_.downstream_timeout;
    if (timeout < milliseconds(1)) {
      return Problem(504, "the deadline passed before a downstream call");
    }
    const auto answer = node_->Call(BuildDownstreamCall(execution, target, timeout));
    if (!answer) {
      return Problem(504, fmt::format("no answer from {}", target.service));
    }
    if (answer->status >= 300) {
      const bool is_refused = answer->status == 429 || answer->status == 503;
      return Problem(is_refused ? 503 : 502,
                     fmt::format("{} answered {}", target.service, answer->status));
    }
    if (CheckAnswer(answer->body, target.service, execution.request_id) != AnswerCheck::kWhole) {
      return Problem(502, fmt::format("damaged or foreign answer from {}", target.service));
    }
  }
  return std::nullopt;
}

HttpCall StandIn::BuildDownstreamCall(const Execution& execution, const DownstreamCall& target,
                                      base::Duration timeout) const {
  HttpCall call{target.method, target.path, {}, {}, timeout};
  call.headers = {{"Borageloft-Service", target.service}, {kRequestIdHeader, execution.request_id}};
  if (execution.deadline) {
    const auto remaining = std::chrono::duration_cast<milliseconds>(timeout);
    call.headers.emplace_back(kTimeoutHeader, std::to_string(remaining.count()));
  }
  for (const char* name : {"traceparent", "Borageloft-Context"}) {
    if (std::string value = execution.request.Header(name); !value.empty()) {
      call.headers.emplace_back(name, std::move(value));
    }
  }
  if (options_.key_forwarding == KeyForwarding::kPassOn && !execution.key.empty()) {
    call.headers.emplace_back("Idempotency-Key", execution.key);
  }
  return call;
}

HttpResponse StandIn::BuildResponse(const Execution& execution) {
  HttpResponse response;
  response.body = BuildAnswer(options_.service, execution.request_id, options_.answer_bytes);
  const LoadReport load = CurrentLoad();
  response.headers.emplace_back("Borageloft-Load",
                                fmt::format("in_flight={};limit={}", load.in_flight, load.limit));
  double truncate_share = 0;
  {
    const std::scoped_lock lock(mutex_);
    truncate_share = truncate_share_;
  }
  response.is_truncated = DrawShare(truncate_share);
  return response;
}

HttpResponse StandIn::WaitInSilence() {
  record_.Silence();
  HttpResponse broken{200, "{\"silent\":true}", "application/json", {}, true};
  std::unique_lock lock(mutex_);
  const std::uint64_t generation = generation_;
  changed_.wait(lock, [&] { return is_stopping_ || generation_ != generation; });
  // The library cannot drop a connection without a byte, so the answer is cut short instead.
  return broken;
}

bool StandIn::IsSilenced(const std::string& connection) {
  const std::scoped_lock lock(mutex_);
  // Entries of closed connections are dropped while they cannot matter.
  if (silence_ == SilenceScope::kNone && connection_generations_.size() > kMostConnections) {
    connection_generations_.clear();
  }
  const auto [found, is_new] = connection_generations_.try_emplace(connection, generation_);
  switch (silence_) {
    case SilenceScope::kNone:
      return false;
    case SilenceScope::kAll:
      return true;
    case SilenceScope::kOpenConnections:
      return found->second < generation_;
  }
  return false;
}

bool StandIn::DrawShare(double share) {
  const std::scoped_lock lock(mutex_);
  return share > 0 && base::DrawFraction(random_) < share;
}

base::Duration StandIn::DrawDemand() {
  const std::scoped_lock lock(mutex_);
  const base::Duration demand = service_time_.Draw();
  if (clock_() >= warm_at_) {
    return demand;
  }
  return base::Duration(
      static_cast<base::Duration::rep>(static_cast<double>(demand.count()) * options_.cold_factor));
}

StandIn::LoadReport StandIn::CurrentLoad() {
  const std::scoped_lock lock(mutex_);
  return false_load_.value_or(LoadReport{record_.counts().executing, options_.slots});
}

}  // namespace borageloft::workbench
