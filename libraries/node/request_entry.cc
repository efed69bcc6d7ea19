#include "libraries/node/request_entry.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

namespace borageloft::node {

namespace {

using http::HttpRequest;
using http::HttpResponse;
using http::Problem;

constexpr std::size_t kMaximumKeyLength = 128;
constexpr const char* kRequestIdHeader = "X-Request-Id";
constexpr std::array kIdentifyingHeaders = {http::kContextHeader, http::kTimeoutHeader,
                                            http::kTraceHeader, http::kKeyHeader, kRequestIdHeader};

Problem RefuseAsNotRun(int status, std::string reason, std::string detail,
                       base::Duration retry_after = {}) {
  return {status, std::move(reason), std::move(detail), wire::Outcome::kNotRun, retry_after};
}

// The caller's identity for limits: its credentials where it shows any, else its address.
std::uint64_t CallerOf(const HttpRequest& request) {
  return base::Hash(request.remote, base::Hash(http::FindHeader(request.headers, "authorization")));
}

std::string DigestOf(const wire::Request& request) {
  return base::Digest(request.method + '\n' + request.path + '\n' + request.body);
}

// Headers can change the answer to a lookup, so only requests with equal ones are the same. Those
// that name a request or its deadline differ in any case.
std::string JoinDigestOf(const wire::Request& request) {
  std::vector<std::string> lines;
  for (const wire::Header& header : request.headers) {
    const bool is_own =
        std::any_of(kIdentifyingHeaders.begin(), kIdentifyingHeaders.end(),
                    [&](const char* name) { return http::IsSameHeader(header.name, name); });
    if (!is_own) {
      lines.push_back(header.name + ':' + header.value);
    }
  }
  std::sort(lines.begin(), lines.end());
  std::string text = DigestOf(request);
  for (const std::string& line : lines) {
    text += '\n' + line;
  }
  return base::Digest(text);
}

class CountGuard {
 public:
  explicit CountGuard(std::atomic<std::size_t>& count) : count_(count) { ++count_; }
  ~CountGuard() { --count_; }
  CountGuard(const CountGuard&) = delete;
  CountGuard& operator=(const CountGuard&) = delete;

 private:
  std::atomic<std::size_t>& count_;
};

}  // namespace

/** A request on its way through the entry. */
struct RequestEntry::Entry {
  std::shared_ptr<const notes::Policy> policy;
  CallerKind caller = CallerKind::kOutside;
  wire::Request request;
  const notes::ServicePolicy* service = nullptr;
  const notes::ClassPolicy* request_class = nullptr;
  base::TimePoint arrived;
  base::WallTime arrived_wall;
  base::TimePoint deadline;
  std::string parent_span;
  tracing::TraceContext span;
  ChildLoan loan;
  std::uint32_t unspent_allowance = 0;
  std::uint64_t caller_id = 0;
  std::uint64_t request_id = 0;
};

RequestEntry::RequestEntry(const NodeServices& services, RoutingTable& routes,
                           RunningRequests& running, AttemptLoop& attempts)
    : services_(services), routes_(routes), running_(running), attempts_(attempts) {}

HttpResponse RequestEntry::Handle(const HttpRequest& request, CallerKind caller) {
  const CountGuard guard(in_progress_);
  try {
    return HandleChecked(request, caller);
  } catch (const std::exception& error) {
    base::Log(base::LogLevel::kError, "request_failed", {{"error", error.what()}});
    return http::FormatProblem(
        {500, "internal_error", "the node failed; see its log", wire::Outcome::kUnknown, {}});
  }
}

HttpResponse RequestEntry::HandleChecked(const HttpRequest& request, CallerKind caller) {
  Entry entry;
  entry.policy = services_.policies.current();
  entry.caller = caller;
  entry.arrived = services_.clock();
  entry.arrived_wall = services_.wall_clock();
  HttpResponse response;
  if (const auto problem = Prepare(request, caller, entry)) {
    if (entry.request_class != nullptr) {
      services_.metrics.CountShed(entry.request_class->name, "entry_" + problem->reason);
    }
    response = http::FormatProblem(*problem);
  } else {
    response = Run(request, entry);
  }
  Complete(entry, response);
  return response;
}

std::optional<Problem> RequestEntry::Prepare(const HttpRequest& request, CallerKind caller,
                                             Entry& entry) {
  if (is_leaving_ && caller == CallerKind::kOutside) {
    return RefuseAsNotRun(503, "node_leaving", "this node is shutting down; use another one");
  }
  if (entry.policy->number() == 0) {
    return RefuseAsNotRun(503, "no_note", "no release note is in force on this node",
                          std::chrono::seconds(1));
  }
  if (auto problem = FindService(request, entry)) {
    return problem;
  }
  // Names outside the release notes are not looked up, so callers cannot fill the directory.
  if (!entry.policy->services().empty() &&
      !entry.policy->services().contains(entry.request.service)) {
    return RefuseAsNotRun(404, "unknown_service", "no release note names this service");
  }
  entry.service = &entry.policy->FindService(entry.request.service);
  TakeContext(request, caller, entry);
  if (auto problem = TakeTimeout(request, entry)) {
    return problem;
  }
  if (auto problem = TakeKey(request, entry)) {
    return problem;
  }
  if (!services_.settings.has_controls) {
    return std::nullopt;
  }
  // Only a root is refused for load on its way. Work that was begun is finished; refusing its calls
  // would waste what was done.
  if (entry.request.context.depth == 0) {
    if (auto problem = CheckLoad(entry)) {
      return problem;
    }
  }
  return caller == CallerKind::kOutside ? CheckRepeats(request, entry) : std::nullopt;
}

std::optional<Problem> RequestEntry::FindService(const HttpRequest& request, Entry& entry) {
  wire::Request& outgoing = entry.request;
  outgoing.method = request.method;
  outgoing.headers = request.headers;
  outgoing.body = request.body;
  outgoing.service = http::FindHeader(request.headers, http::kServiceHeader);
  outgoing.path = request.target;
  if (!outgoing.service.empty()) {
    return std::nullopt;
  }
  // The service is the first segment of the path; the upstream sees the rest.
  const std::size_t end = request.target.find_first_of("/?", 1);
  if (request.target.size() < 2 || request.target[0] != '/' || end == 1) {
    return RefuseAsNotRun(404, "no_service",
                          "name the service in the first path segment or in Borageloft-Service");
  }
  outgoing.service = request.target.substr(1, end == std::string::npos ? end : end - 1);
  outgoing.path = end == std::string::npos ? "/" : request.target.substr(end);
  if (outgoing.path[0] == '?') {
    outgoing.path.insert(0, "/");
  }
  return std::nullopt;
}

void RequestEntry::TakeContext(const HttpRequest& request, CallerKind caller, Entry& entry) {
  const auto trace =
      tracing::ParseTraceparent(http::FindHeader(request.headers, http::kTraceHeader));
  if (trace) {
    entry.parent_span = trace->span_id;
    entry.span = tracing::StartChild(*trace, services_.random);
  } else {
    entry.span = tracing::StartTrace(services_.random, services_.settings.span_share);
  }
  wire::RequestContext& context = entry.request.context;
  const auto forwarded =
      caller == CallerKind::kUpstream
          ? http::ParseContext(http::FindHeader(request.headers, http::kContextHeader))
          : std::nullopt;
  entry.deadline = entry.arrived + entry.service->timeout;
  if (forwarded) {
    context = forwarded->context;
    context.depth = forwarded->context.depth + 1;
    entry.request_class = &entry.policy->FindClass(context.class_name);
    const auto children =
        static_cast<std::uint32_t>(std::max<std::size_t>(entry.service->calls.size() + 1, 1));
    entry.loan = running_.Lend(context.root, forwarded->context.depth, children);
    context.allowance = entry.loan.loan.amount;
    entry.deadline =
        std::min(entry.deadline, entry.arrived + (forwarded->deadline - entry.arrived_wall));
  } else {
    StartRoot(entry);
  }
  context.traceparent = tracing::FormatTraceparent(entry.span);
  context.class_name = entry.request_class->name;
}

void RequestEntry::StartRoot(Entry& entry) {
  wire::RequestContext& context = entry.request.context;
  context.root = fmt::format("{:016x}{:016x}", services_.random(), services_.random());
  context.begun = entry.arrived_wall;
  context.depth = 0;
  if (entry.caller == CallerKind::kUpstream) {
    // An upstream that forwards no context could be anywhere in a call tree, so its call gets the
    // lowest class and no retries.
    entry.request_class = &entry.policy->FindClass("");
    context.allowance = 0;
    return;
  }
  entry.request_class =
      &entry.policy->Classify(entry.request.service, entry.request.method, entry.request.path);
  context.allowance = static_cast<std::uint32_t>(
      std::min(entry.request_class->allowance, entry.service->allowance));
}

std::optional<Problem> RequestEntry::TakeTimeout(const HttpRequest& request, Entry& entry) {
  const std::string value = http::FindHeader(request.headers, http::kTimeoutHeader);
  if (!value.empty()) {
    const auto timeout = http::ParseTimeout(value);
    if (!timeout) {
      return RefuseAsNotRun(400, "malformed_timeout",
                            "Borageloft-Timeout-Ms is no whole number from 1 to 600000");
    }
    entry.deadline = std::min(entry.deadline, entry.arrived + *timeout);
  }
  if (entry.deadline <= entry.arrived) {
    return RefuseAsNotRun(504, "expired", "the deadline has passed");
  }
  return std::nullopt;
}

std::optional<Problem> RequestEntry::TakeKey(const HttpRequest& request, Entry& entry) {
  std::string key = http::FindHeader(request.headers, http::kKeyHeader);
  // The header of RFC draft-ietf-httpapi-idempotency-key is a quoted string.
  if (key.size() >= 2 && key.front() == '"' && key.back() == '"') {
    key = key.substr(1, key.size() - 2);
  }
  if (key.size() > kMaximumKeyLength) {
    return RefuseAsNotRun(400, "malformed_key", "Idempotency-Key is too long");
  }
  if (key.empty() && entry.service->idempotency == notes::Idempotency::kNonIdempotent) {
    return RefuseAsNotRun(400, "missing_key", "this service needs an Idempotency-Key (UUIDv7)");
  }
  entry.request.idempotency_key = std::move(key);
  return std::nullopt;
}

std::optional<Problem> RequestEntry::CheckLoad(const Entry& entry) {
  const admission::PathVerdict verdict =
      routes_.Admit(entry.policy->FindCallPath(entry.request.service),
                    static_cast<admission::ClassRank>(entry.request_class->importance),
                    entry.request.context.root);
  if (verdict.is_admitted) {
    return std::nullopt;
  }
  return RefuseAsNotRun(503, "overload",
                        fmt::format("service {} sheds this class of requests", verdict.service),
                        verdict.retry_after);
}

std::optional<Problem> RequestEntry::CheckRepeats(const HttpRequest& request, Entry& entry) {
  // Without an identifier of its own, a repeated request looks like one of another user behind the
  // same address, so it counts as a first attempt.
  const std::string id = !entry.request.idempotency_key.empty()
                             ? entry.request.idempotency_key
                             : http::FindHeader(request.headers, kRequestIdHeader);
  if (id.empty()) {
    return std::nullopt;
  }
  entry.caller_id = CallerOf(request);
  entry.request_id = base::Hash(entry.request.service + DigestOf(entry.request) + id);
  const std::scoped_lock lock(limiter_mutex_);
  const retry::AttemptDecision decision =
      limiter_.Offer(entry.caller_id, entry.request_id, entry.arrived);
  if (decision.verdict != retry::AttemptVerdict::kRepeatRefused) {
    return std::nullopt;
  }
  return RefuseAsNotRun(429, "repeated_too_often",
                        "this caller repeats failed requests faster than is useful",
                        decision.retry_after);
}

HttpResponse RequestEntry::Run(const HttpRequest& request, Entry& entry) {
  const bool is_lookup = entry.service->idempotency == notes::Idempotency::kIdempotent;
  const std::string id = !entry.request.idempotency_key.empty() ? entry.request.idempotency_key
                                                                : entry.request.context.root;
  if (!is_lookup || !services_.settings.has_controls) {
    return RunAttempts(request, entry);
  }
  const retry::JoinKey key{entry.request.service, id, JoinDigestOf(entry.request)};
  return joined_.Run(key, entry.deadline - entry.arrived,
                     [&] { return RunAttempts(request, entry); });
}

HttpResponse RequestEntry::RunAttempts(const HttpRequest& request, Entry& entry) {
  AttemptPlan plan;
  plan.request = entry.request;
  plan.service = entry.service;
  plan.deadline = entry.deadline;
  plan.span = entry.span;
  plan.is_caller_gone = request.is_caller_gone;
  AttemptOutcome outcome = attempts_.Run(std::move(plan));
  entry.unspent_allowance = outcome.unspent_allowance;
  return std::move(outcome.response);
}

void RequestEntry::Complete(Entry& entry, const HttpResponse& response) {
  const base::TimePoint now = services_.clock();
  const std::string outcome = http::FindHeader(response.headers, http::kOutcomeHeader);
  constexpr int kServerError = 500;
  const bool is_whole = outcome == "ran" && response.status < kServerError;
  running_.Settle(entry.loan, entry.unspent_allowance, now - entry.arrived,
                  is_whole ? CallEnd::kWhole : CallEnd::kFailed);
  if (entry.request_class == nullptr) {
    return;
  }
  if (is_whole && entry.caller == CallerKind::kOutside) {
    const std::scoped_lock lock(limiter_mutex_);
    limiter_.RecordSuccess(entry.caller_id, entry.request_id);
  }
  services_.metrics.CountEntry(entry.request_class->name, outcome, now - entry.arrived);
  tracing::Span span{entry.span,
                     entry.parent_span,
                     tracing::SpanKind::kNodeIn,
                     entry.arrived_wall,
                     services_.wall_clock(),
                     is_whole ? tracing::SpanStatus::kOk : tracing::SpanStatus::kError,
                     {{"service", entry.request.service},
                      {"class", entry.request_class->name},
                      {"outcome", outcome},
                      {"status", std::to_string(response.status)}}};
  services_.spans.Export(std::move(span));
}

}  // namespace borageloft::node
