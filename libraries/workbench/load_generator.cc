#include "libraries/workbench/load_generator.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <random>
#include <thread>

#include "libraries/workbench/answer.h"
#include "libraries/workbench/error.h"

namespace borageloft::workbench {

namespace {

using std::chrono::milliseconds;

// A node answers at the deadline itself; this leaves its answer time to arrive.
constexpr milliseconds kAnswerGrace{100};

std::uint64_t DrawSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

RequestOutcome Combine(RequestOutcome earlier, RequestOutcome later) {
  if (earlier == RequestOutcome::kRan || later == RequestOutcome::kRan) {
    return RequestOutcome::kRan;
  }
  return earlier == RequestOutcome::kUnknown ? earlier : later;
}

const char* NameOf(RequestOutcome outcome) {
  switch (outcome) {
    case RequestOutcome::kNotRun:
      return "not-run";
    case RequestOutcome::kRan:
      return "ran";
    case RequestOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

RequestOutcome OutcomeOf(const std::optional<HttpAnswer>& answer, bool is_whole) {
  if (is_whole || (answer && answer->outcome == "ran")) {
    return RequestOutcome::kRan;
  }
  return answer && answer->outcome == "not-run" ? RequestOutcome::kNotRun
                                                : RequestOutcome::kUnknown;
}

}  // namespace

LoadGenerator::LoadGenerator(LoadOptions options)
    : options_((options.Check(), std::move(options))),
      run_id_(fmt::format("{:016x}", DrawSeed())),
      schedule_(options_) {
  for (const Address& target : options_.targets) {
    targets_.push_back(std::make_unique<HttpCaller>(target));
  }
  if (!options_.record_path.empty()) {
    record_file_ =
        open(options_.record_path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (record_file_ < 0) {
      throw Error(fmt::format("cannot open record file {}: {}", options_.record_path,
                              std::strerror(errno)));
    }
  }
}

LoadGenerator::~LoadGenerator() {
  if (record_file_ >= 0) {
    close(record_file_);
  }
}

LoadReport LoadGenerator::Run(const std::stop_token& stop) {
  std::vector<LoadReport> reports(options_.senders, LoadReport(options_));
  start_ = clock_();
  std::stop_source finished;
  const std::stop_callback forward(stop, [&finished] { finished.request_stop(); });
  {
    const std::jthread commands([&] { RunCommands(finished.get_token()); });
    const std::jthread progress([&] { RunProgress(finished.get_token()); });
    {
      std::vector<std::jthread> senders;
      senders.reserve(options_.senders);
      for (std::size_t i = 0; i < options_.senders; ++i) {
        senders.emplace_back(
            [this, i, &reports, &finished] { RunSender(i, reports[i], finished.get_token()); });
      }
    }
    finished.request_stop();
  }
  LoadReport total(options_);
  for (const LoadReport& report : reports) {
    total.Merge(report);
  }
  return total;
}

void LoadGenerator::RunSender(std::size_t number, LoadReport& report, const std::stop_token& stop) {
  IdempotencyKeySource keys(base::SystemWallClock(), base::SeededRandom(DrawSeed() + number));
  while (const auto arrival = TakeArrival(stop)) {
    if (!WaitUntil(arrival->intended, stop)) {
      return;
    }
    ++started_;
    const bool has_key = options_.kinds[arrival->kind].key == KeyUse::kFreshUuid;
    const std::string key = has_key ? keys.Next() : std::string();
    const RequestResult result = Send(*arrival, key);
    good_ += result.is_whole && !result.is_late ? 1 : 0;
    report.Add(arrival->kind, result);
    if (has_key) {
      RecordKey(key, result.outcome);
    }
  }
}

RequestResult LoadGenerator::Send(const Arrival& arrival, const std::string& key) {
  const RequestKind& kind = options_.kinds[arrival.kind];
  const std::string request_id = fmt::format("{}-{}", run_id_, arrival.number);
  RequestResult result{.intended = arrival.intended};
  result.start_delay = Elapsed() - arrival.intended;
  result.outcome = RequestOutcome::kNotRun;
  while (result.attempts <= options_.retries) {
    const base::Duration remaining = arrival.intended + kind.timeout - Elapsed();
    if (remaining < milliseconds(1)) {
      break;
    }
    HttpCaller& target = *targets_[(arrival.number + result.attempts) % targets_.size()];
    const auto answer = target.Call(BuildCall(kind, request_id, key, remaining));
    ++result.attempts;
    result.status = answer ? answer->status : 0;
    const bool is_success = answer && answer->status >= 200 && answer->status < 300;
    const AnswerCheck check =
        is_success ? CheckAnswer(answer->body, kind.service, request_id) : AnswerCheck::kDamaged;
    result.is_whole = check == AnswerCheck::kWhole;
    result.is_damaged = is_success && check == AnswerCheck::kDamaged;
    result.is_foreign = check == AnswerCheck::kForeign;
    result.outcome = Combine(result.outcome, OutcomeOf(answer, result.is_whole));
    if (result.is_whole) {
      break;
    }
  }
  result.latency = Elapsed() - arrival.intended;
  result.is_late = result.latency > kind.timeout;
  result.is_unsent = result.attempts == 0;
  return result;
}

HttpCall LoadGenerator::BuildCall(const RequestKind& kind, const std::string& request_id,
                                  const std::string& key, base::Duration remaining) const {
  HttpCall call{kind.method, kind.path, {}, {}, remaining + kAnswerGrace};
  const auto whole = std::chrono::duration_cast<milliseconds>(remaining);
  call.headers = {{kRequestIdHeader, request_id},
                  {"Borageloft-Timeout-Ms", std::to_string(whole.count())}};
  if (!kind.service.empty()) {
    call.headers.emplace_back("Borageloft-Service", kind.service);
  }
  if (!key.empty()) {
    call.headers.emplace_back("Idempotency-Key", key);
  }
  if (kind.method != "GET") {
    call.body.assign(kind.body_bytes, 'b');
  }
  return call;
}

std::optional<Arrival> LoadGenerator::TakeArrival(const std::stop_token& stop) {
  if (stop.stop_requested()) {
    return std::nullopt;
  }
  const std::scoped_lock lock(schedule_mutex_);
  return schedule_.Next();
}

bool LoadGenerator::WaitUntil(base::Duration offset, const std::stop_token& stop) {
  const base::TimePoint time = start_ + offset;
  if (clock_() >= time) {
    return !stop.stop_requested();
  }
  std::unique_lock lock(wait_mutex_);
  waiting_.wait_until(lock, stop, time, [] { return false; });
  return !stop.stop_requested();
}

void LoadGenerator::RunCommands(const std::stop_token& stop) {
  std::vector<CommandHook> commands = options_.commands;
  std::stable_sort(commands.begin(), commands.end(),
                   [](const CommandHook& a, const CommandHook& b) { return a.at < b.at; });
  for (const CommandHook& command : commands) {
    if (!WaitUntil(command.at, stop)) {
      return;
    }
    HttpCaller caller(command.target);
    const auto answer =
        caller.Call({"POST", command.path, {{"Content-Type", "application/json"}}, command.body});
    const bool is_done = answer && answer->status < 300;
    base::Log(is_done ? base::LogLevel::kInfo : base::LogLevel::kError, "load_command",
              {{"target", command.target.ToString()},
               {"body", command.body},
               {"status", answer ? answer->status : 0}});
  }
}

void LoadGenerator::RunProgress(const std::stop_token& stop) {
  if (isatty(STDERR_FILENO) == 0) {
    return;
  }
  constexpr milliseconds kInterval{500};
  for (base::Duration next = kInterval; WaitUntil(next, stop); next = Elapsed() + kInterval) {
    fmt::print(stderr, "\r{:6.1f} s  started {}  good {}",
               std::chrono::duration<double>(Elapsed()).count(), started_.load(), good_.load());
  }
  fmt::print(stderr, "\n");
}

void LoadGenerator::RecordKey(const std::string& key, RequestOutcome outcome) {
  if (record_file_ < 0) {
    return;
  }
  const std::string line = fmt::format("{} {}\n", key, NameOf(outcome));
  if (write(record_file_, line.data(), line.size()) != static_cast<ssize_t>(line.size())) {
    base::Log(base::LogLevel::kError, "record_write_failed", {{"error", std::strerror(errno)}});
  }
}

}  // namespace borageloft::workbench
