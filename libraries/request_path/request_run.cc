#include "libraries/request_path/request_run.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

namespace borageloft::request_path {

namespace {

constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kServiceUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;
constexpr unsigned kFirstServerError = 500;

// Sends of a request that no upstream has seen yet. A refusal by a gate costs a round trip but no
// upstream work.
constexpr std::uint64_t kMaxSendsBeforeArrival = 3;
// All sends of one request. After so many rejections, another send is unlikely to succeed.
constexpr std::uint64_t kMaxSends = 8;
// A request of a caller may wait for a slot for the target latency divided by this; the rest is
// left for the work.
constexpr int kWaitDivisor = 4;
constexpr std::chrono::milliseconds kMinWait{15};
// Wait limit for a route without a target latency.
constexpr std::chrono::milliseconds kDefaultWait{100};
// A retry with less time left than this is unlikely to finish.
constexpr std::chrono::milliseconds kMinTimeForRetry{30};
// A refused caller is asked to retry while its answer can still meet the target latency. The latest
// time for that lies within these bounds: transient overload takes some time to end, and few
// latency objectives exceed the upper bound.
constexpr double kMinLatestRetrySeconds = 0.3;
constexpr double kMaxLatestRetrySeconds = 1.0;
// Retry-After is drawn between this share of the latest time and the latest time, so that refused
// callers do not retry all at once.
constexpr double kEarliestRetryShare = 0.4;

double Milliseconds(base::Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

double Seconds(base::Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

RequestRun::RequestRun(Entry& entry, RunPlan plan, AnswerHook answer)
    : entry_(entry), plan_(std::move(plan)), answer_(std::move(answer)) {}

void RequestRun::Start() {
  const base::TimePoint now = entry_.hooks_.clock();
  if (plan_.due <= now) {
    AnswerWithError(kServiceUnavailable, Refusal::kDeadlinePassed);
    return;
  }
  if (plan_.origin == wire::RequestOrigin::kCaller) {
    const std::array<std::string, 1> path = {plan_.service};
    const admission::PathVerdict verdict =
        entry_.levels_.Admit(path, plan_.priority + 1, admission::ShedKey(plan_.shed_key), now);
    if (!verdict.is_admitted) {
      AnswerWithError(kServiceUnavailable, Refusal::kShedAtEntry);
      return;
    }
  }
  timeout_ = entry_.timers_.SubscribeOnce(
      plan_.due - now, [self = shared_from_this()](base::TimePoint) { self->HandleTimeout(); });
  if (plan_.origin == wire::RequestOrigin::kCaller && !plan_.account.empty() &&
      entry_.hooks_.take_quota) {
    TakeQuota();
  } else {
    Send();
  }
}

void RequestRun::TakeQuota() {
  entry_.hooks_.take_quota(
      plan_.account, [weak = weak_from_this(), account = plan_.account,
                      give_back = entry_.hooks_.return_quota](const QuotaDecision& decision) {
        const auto self = weak.lock();
        if (self == nullptr || self->is_done_) {
          if (decision.refusal == Refusal::kNone) {
            give_back(account);
          }
          return;
        }
        if (decision.refusal == Refusal::kQuotaExceeded) {
          self->AnswerWithError(kTooManyRequests, decision.refusal, decision.retry_after);
        } else if (decision.refusal != Refusal::kNone) {
          self->AnswerWithError(kServiceUnavailable, decision.refusal);
        } else {
          self->has_quota_ = true;
          self->Send();
        }
      });
}

void RequestRun::ReturnQuota() {
  if (std::exchange(has_quota_, false)) {
    entry_.hooks_.return_quota(plan_.account);
  }
}

void RequestRun::Send() {
  const base::TimePoint now = entry_.hooks_.clock();
  const directory::InstanceRecord* chosen = ChooseNext(now);
  if (chosen == nullptr) {
    AnswerWithError(kServiceUnavailable, Refusal::kNoInstance);
    return;
  }
  const directory::InstanceRecord instance = *chosen;
  tried_.push_back(instance.node);
  const std::uint64_t number = ++sends_;
  attempt_ = Attempt{instance.node, instance.instance, now, {}};
  entry_.chooser_.RecordStart(plan_.service, instance.node);
  const auto self = shared_from_this();
  CancelHook cancel = entry_.hooks_.send(
      instance, MakeRequest(instance, now),
      [self, number](wire::Response response) { self->HandleEnd(number, std::move(response)); });
  // The attempt may have ended, and the next one started, before send() returned.
  if (attempt_ && sends_ == number) {
    attempt_->cancel = std::move(cancel);
  }
}

// A request goes to at most as many upstreams as its route allows. While it cannot have run, it may
// be sent again to an upstream that rejected it.
const directory::InstanceRecord* RequestRun::ChooseNext(base::TimePoint now) {
  InstanceChooser& chooser = entry_.chooser_;
  if (reached_.size() < plan_.route.attempts) {
    const directory::InstanceRecord* fresh =
        chooser.Choose(plan_.service, plan_.origin, tried_, CandidateFilter::kExcludeTried, now,
                       entry_.hooks_.random, Root());
    if (fresh != nullptr) {
      return fresh;
    }
  }
  return may_have_run_
             ? nullptr
             : chooser.Choose(plan_.service, plan_.origin, reached_, CandidateFilter::kOnlyTried,
                              now, entry_.hooks_.random, Root());
}

RootPosition RequestRun::Root() const {
  return {plan_.priority, admission::ShedKey(plan_.shed_key)};
}

wire::Request RequestRun::MakeRequest(const directory::InstanceRecord& instance,
                                      base::TimePoint now) const {
  wire::Request request;
  request.service = plan_.service;
  request.method = plan_.message.method;
  request.path = plan_.message.target;
  request.headers = plan_.message.fields;
  request.body = plan_.message.body;
  request.context.root = plan_.request_id;
  request.remaining = plan_.due - now;
  request.placement.instance = instance.instance;
  request.placement.priority = plan_.priority;
  request.placement.shed_key = plan_.shed_key;
  request.placement.origin = plan_.origin;
  request.placement.account = plan_.account;
  // Calls made by a retried run count as retries.
  request.placement.attempt = arrivals_ + (plan_.is_below_retry ? 2 : 1);
  request.placement.wait_limit = WaitLimit();
  request.placement.rate_limit_milli = entry_.chooser_.RateLimitMilli(plan_.service, instance.node);
  request.placement.is_idempotent = plan_.route.repetition == declaration::Repetition::kIdempotent;
  return request;
}

base::Duration RequestRun::WaitLimit() const {
  const base::Duration left = plan_.due - entry_.hooks_.clock();
  if (plan_.origin == wire::RequestOrigin::kUpstream) {
    // The calling upstream has already done work, so its call may wait for half of the time left.
    return left / 2;
  }
  if (plan_.route.target_latency <= base::Duration::zero()) {
    return kDefaultWait;
  }
  return std::max<base::Duration>(kMinWait, plan_.route.target_latency / kWaitDivisor);
}

AttemptOutcome RequestRun::Classify(const wire::Response& response) {
  if (response.outcome == wire::Outcome::kRan) {
    return response.status >= kFirstServerError ? AttemptOutcome::kFailed : AttemptOutcome::kServed;
  }
  if (response.outcome == wire::Outcome::kUnknown) {
    return AttemptOutcome::kFailed;
  }
  switch (RefusalOf(response.reason)) {
    case Refusal::kInstanceGone:
    case Refusal::kInstanceLeaving:
    case Refusal::kInstanceUnreachable:
    case Refusal::kNotSent:
      return AttemptOutcome::kUnavailable;
    default:
      return AttemptOutcome::kRefused;
  }
}

void RequestRun::RecordEnd(const wire::Response& response, base::TimePoint now) {
  // A gate that has another instance than the one asked for reports the load of that instance.
  const bool is_of_instance = RefusalOf(response.reason) != Refusal::kInstanceGone;
  const wire::LoadReport* load =
      response.load.limit > 0 && is_of_instance ? &response.load : nullptr;
  entry_.chooser_.RecordEnd(plan_.service, attempt_->node, attempt_->instance, Classify(response),
                            now - attempt_->started, load, now);
  // What one instance refuses for its named rate goes to those that name none; their levels decide
  // about the service.
  const bool limits_service =
      load != nullptr &&
      (load->rate_limit_milli == 0 || !entry_.chooser_.HasInstanceWithoutRateLimit(plan_.service));
  if (limits_service) {
    entry_.levels_.Report(plan_.service, base::Hash(attempt_->node),
                          {load->level_rank, load->level_share}, now);
  }
}

void RequestRun::HandleEnd(std::uint64_t number, wire::Response response) {
  if (is_done_ || !attempt_ || number != sends_) {
    return;
  }
  if (response.outcome == wire::Outcome::kRan &&
      (!wire::IsFinalStatus(response.status) || !http_stream::AreValid(response.headers))) {
    // The gate rejects such an answer of its upstream; this is for what arrives between nodes.
    response.outcome = wire::Outcome::kUnknown;
    response.reason = std::string(TextOf(Refusal::kUpstreamGarbled));
  }
  const base::TimePoint now = entry_.hooks_.clock();
  if (is_overdue_) {
    const bool has_run = may_have_run_ || response.outcome != wire::Outcome::kNotRun;
    AnswerWithError(has_run ? kGatewayTimeout : kServiceUnavailable, Refusal::kDeadlinePassed);
    return;
  }
  RecordEnd(response, now);
  // A "not run" answer of the upstream itself has a status; a refusal by a gate has none.
  const bool has_arrived = response.outcome != wire::Outcome::kNotRun || response.status != 0;
  arrivals_ += has_arrived ? 1 : 0;
  if (has_arrived &&
      std::find(reached_.begin(), reached_.end(), attempt_->node) == reached_.end()) {
    reached_.push_back(attempt_->node);
  }
  may_have_run_ = may_have_run_ || response.outcome != wire::Outcome::kNotRun;
  if (ClaimRetry(response, now)) {
    ++entry_.counters_.repeats;
    entry_.log_.Write(LogSampling::kAlways, "request_sent_again",
                      {{"request", plan_.request_id},
                       {"service", plan_.service},
                       {"node", attempt_->node},
                       {"instance", attempt_->instance},
                       {"reason", response.reason},
                       {"status", response.status},
                       {"sends", static_cast<Json::UInt64>(sends_)},
                       {"left_ms", Milliseconds(plan_.due - now)}});
    attempt_.reset();
    Send();
    return;
  }
  Conclude(std::move(response));
}

bool RequestRun::ClaimRetry(const wire::Response& response, base::TimePoint now) {
  const bool is_success =
      response.outcome == wire::Outcome::kRan && response.status < kFirstServerError;
  if (is_success || plan_.due - now < kMinTimeForRetry) {
    return false;
  }
  const bool is_idempotent = plan_.route.repetition == declaration::Repetition::kIdempotent;
  if (response.outcome != wire::Outcome::kNotRun && !is_idempotent) {
    return false;
  }
  // The hop next to the failure has retried as far as it could; a retry here would make all calls
  // again.
  if (RefusalOf(response.reason) == Refusal::kCallFailed || ChooseNext(now) == nullptr) {
    return false;
  }
  if (arrivals_ == 0) {
    return sends_ < kMaxSendsBeforeArrival;  // No upstream has seen it, so this costs no budget.
  }
  if (plan_.is_below_retry || sends_ >= kMaxSends) {
    return false;
  }
  const bool makes_calls = !entry_.chooser_.IsLeaf(plan_.service);
  return entry_.budget_.TakeRetry(
      plan_.service,
      may_have_run_ && makes_calls ? RetryKind::kRepeatsCalls : RetryKind::kOneArrival, Root(),
      now);
}

void RequestRun::HandleTimeout() {
  if (is_done_) {
    return;
  }
  timeout_.reset();
  if (!attempt_ || !attempt_->cancel) {
    AnswerWithError(attempt_ || may_have_run_ ? kGatewayTimeout : kServiceUnavailable,
                    Refusal::kDeadlinePassed);
    return;
  }
  const base::TimePoint now = entry_.hooks_.clock();
  entry_.chooser_.RecordEnd(plan_.service, attempt_->node, attempt_->instance,
                            AttemptOutcome::kCancelled, now - attempt_->started, nullptr, now);
  // The response to the cancelled attempt tells whether it may have run.
  is_overdue_ = true;
  const CancelHook cancel = attempt_->cancel;
  cancel();
}

void RequestRun::CancelAttempt() {
  if (attempt_ && attempt_->cancel) {
    const CancelHook cancel = std::exchange(attempt_->cancel, nullptr);
    cancel();
  }
  attempt_.reset();
}

void RequestRun::Abandon() {
  if (is_done_) {
    return;
  }
  is_done_ = true;
  ++entry_.counters_.abandoned;
  if (attempt_) {
    const base::TimePoint now = entry_.hooks_.clock();
    entry_.chooser_.RecordEnd(plan_.service, attempt_->node, attempt_->instance,
                              AttemptOutcome::kCancelled, now - attempt_->started, nullptr, now);
  }
  Log(LogSampling::kSampled, "request_abandoned", "caller_left", 0);
  CancelAttempt();
  answer_ = nullptr;
  if (timeout_) {
    entry_.timers_.Unsubscribe(*timeout_);
  }
  entry_.EndRun(plan_.id);
}

void RequestRun::Conclude(wire::Response response) {
  if (response.outcome == wire::Outcome::kRan) {
    ForwardAnswer(std::move(response));
    return;
  }
  const Refusal refusal = response.status != 0 ? Refusal::kQueueFull : RefusalOf(response.reason);
  if (response.outcome == wire::Outcome::kNotRun && !may_have_run_) {
    AnswerWithError(kServiceUnavailable, refusal);
  } else {
    AnswerWithError(kBadGateway, refusal);
  }
}

void RequestRun::ForwardAnswer(wire::Response response) {
  ++entry_.counters_.answered;
  const bool is_failure = response.status >= kFirstServerError;
  Log(is_failure ? LogSampling::kAlways : LogSampling::kSampled, "request_answered",
      response.reason.empty() ? "upstream" : response.reason, response.status);
  http_stream::ResponseMessage message;
  message.status = response.status;
  message.fields = std::move(response.headers);
  message.body = std::move(response.body);
  Finish(std::move(message));
}

void RequestRun::AnswerWithError(unsigned status, Refusal refusal,
                                 std::optional<base::Duration> retry_after) {
  const std::string reason(TextOf(refusal));
  http_stream::ResponseMessage message;
  message.status = status;
  message.fields.push_back({entry_.options_.names.request_id, plan_.request_id});
  message.body = reason;
  const bool is_refusal = status == kServiceUnavailable || status == kTooManyRequests;
  if (is_refusal) {
    ReturnQuota();
    ++entry_.counters_.refused[reason];
    message.fields.push_back({"Retry-After", retry_after
                                                 ? fmt::format("{:.3f}", Seconds(*retry_after))
                                                 : RetryAfter(entry_.hooks_.clock())});
  } else {
    ++entry_.counters_.failed[reason];
  }
  Log(LogSampling::kAlways, is_refusal ? "request_refused" : "request_failed", reason, status);
  Finish(std::move(message));
}

std::string RequestRun::RetryAfter(base::TimePoint now) const {
  const double spare = std::chrono::duration<double>(plan_.route.target_latency).count() -
                       1e-3 * entry_.chooser_.MeanLatencyMs(plan_.service);
  const double latest = std::clamp(spare, kMinLatestRetrySeconds, kMaxLatestRetrySeconds);
  const double drawn =
      latest *
      (kEarliestRetryShare + (1 - kEarliestRetryShare) * base::DrawFraction(entry_.hooks_.random));
  const double left = std::chrono::duration<double>(plan_.deadline - now).count();
  return fmt::format("{:.3f}", std::clamp(drawn, 0.0, std::max(0.0, left / 4)));
}

void RequestRun::Finish(http_stream::ResponseMessage response) {
  VERIFY(!is_done_);
  is_done_ = true;
  if (timeout_) {
    entry_.timers_.Unsubscribe(*timeout_);
  }
  if (plan_.origin == wire::RequestOrigin::kUpstream && response.status >= kFirstServerError) {
    entry_.ReportFailedCall(plan_.request_id);
  }
  const AnswerHook answer = std::exchange(answer_, nullptr);
  const auto self = shared_from_this();
  // The cancel hook of the attempt may own an object that keeps this run alive.
  attempt_.reset();
  entry_.EndRun(plan_.id);
  answer(std::move(response));
}

void RequestRun::Log(LogSampling sampling, std::string_view event, std::string_view outcome,
                     unsigned status) const {
  const base::TimePoint now = entry_.hooks_.clock();
  entry_.log_.Write(
      sampling, event,
      {{"request", plan_.request_id},
       {"route", plan_.route.name},
       {"service", plan_.service},
       {"version", static_cast<Json::UInt64>(entry_.version_)},
       {"account", plan_.account},
       {"origin", plan_.origin == wire::RequestOrigin::kUpstream ? "upstream" : "caller"},
       {"outcome", std::string(outcome)},
       {"status", status},
       {"sends", static_cast<Json::UInt64>(sends_)},
       {"node", attempt_         ? attempt_->node
                : tried_.empty() ? ""
                                 : tried_.back()},
       {"instance", attempt_ ? attempt_->instance : ""},
       {"took_ms", Milliseconds(now - plan_.received)},
       {"left_ms", Milliseconds(plan_.due - now)}});
}

}  // namespace borageloft::request_path
