#include "libraries/node/attempt_loop.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace borageloft::node {

namespace {

using retry::Failure;
using retry::Reach;
using retry::RetryVerdict;
using transport::CallFailure;
using transport::CallResult;

constexpr base::Duration kFirstPause = std::chrono::milliseconds(5);
constexpr base::Duration kLongestPause = std::chrono::milliseconds(200);
// How often a waiting request looks whether its caller hung up.
constexpr base::Duration kCallerCheck = std::chrono::milliseconds(50);
// Time for the transport to say whether a cancelled request had been sent.
constexpr base::Duration kCancelGrace = std::chrono::milliseconds(200);
constexpr int kServerError = 500;
// Without controls every hop retries as plain clients do.
constexpr std::uint32_t kUncontrolledAttempts = 3;

// Reasons of a gate that are no sign of load.
bool IsRejection(const std::string& reason) {
  return reason.starts_with("key_") || reason == "no_quorum" || reason == "digest_differs";
}

/** Describes a failed attempt for the retry policy; nothing when it brought an answer. */
std::optional<retry::FailedAttempt> DescribeFailure(const CallResult& result, bool has_timed_out) {
  retry::FailedAttempt failed;
  if (const auto* failure = std::get_if<CallFailure>(&result)) {
    const bool is_sent = *failure == CallFailure::kLost;
    failed.reach = is_sent ? Reach::kMayHaveReached : Reach::kNotReached;
    failed.failure = has_timed_out ? Failure::kTimedOut
                     : is_sent     ? Failure::kConnectionLost
                                   : Failure::kNotConnected;
    return failed;
  }
  const auto& response = std::get<wire::Response>(result);
  if (response.outcome == wire::Outcome::kRan) {
    if (response.status < kServerError) {
      return std::nullopt;
    }
    failed.failure = Failure::kUpstreamError;
    failed.is_next_to_failure = response.reason != "failed_below";
  } else if (response.outcome == wire::Outcome::kNotRun) {
    failed.reach = Reach::kNotReached;
    if (IsRejection(response.reason)) {
      failed.failure = Failure::kRejected;
    } else if (response.reason == "leaving" || response.reason == "no_upstream") {
      failed.failure = Failure::kLeaving;
    } else if (response.reason == "upstream_unreachable") {
      failed.failure = Failure::kNotConnected;
    } else {
      failed.failure = Failure::kOverload;
      failed.retry_after = response.retry_after;
    }
  } else {
    failed.failure = IsRejection(response.reason)            ? Failure::kRejected
                     : response.reason == "upstream_timeout" ? Failure::kTimedOut
                                                             : Failure::kUpstreamError;
  }
  return failed;
}

http::Problem ProblemOf(const CallResult& result) {
  if (const auto* failure = std::get_if<CallFailure>(&result)) {
    return *failure == CallFailure::kNotSent
               ? http::Problem{503, "not_connected", "no connection to the chosen upstream's node",
                               wire::Outcome::kNotRun, kLongestPause}
               : http::Problem{
                     504, "no_answer", "no answer came in time", wire::Outcome::kUnknown, {}};
  }
  const auto& response = std::get<wire::Response>(result);
  if (response.reason.starts_with("key_") || response.reason == "digest_differs") {
    return {response.outcome == wire::Outcome::kNotRun ? 400 : 409,
            response.reason,
            "the idempotency key does not allow this request to run",
            response.outcome,
            {}};
  }
  if (response.outcome == wire::Outcome::kNotRun) {
    return {503, response.reason, "the request was refused before it ran", response.outcome,
            response.retry_after};
  }
  const int status = response.reason == "upstream_timeout" ? 504 : 502;
  return {status, response.reason, "the upstream gave no whole answer", response.outcome, {}};
}

http::HttpResponse FormatResult(CallResult result) {
  auto* response = std::get_if<wire::Response>(&result);
  if (response == nullptr || response->outcome != wire::Outcome::kRan) {
    return http::FormatProblem(ProblemOf(result));
  }
  http::HttpResponse answer{static_cast<int>(response->status), std::move(response->headers),
                            std::move(response->body)};
  answer.headers.push_back({http::kOutcomeHeader, http::NameOf(wire::Outcome::kRan)});
  return answer;
}

}  // namespace

/** One request with all its attempts. */
class AttemptLoop::Request {
 public:
  Request(AttemptLoop& loop, AttemptPlan plan)
      : loop_(loop),
        services_(loop.services_),
        plan_(std::move(plan)),
        allowance_(plan_.request.context.allowance),
        waiter_(std::make_shared<AttemptWaiter>()) {}

  AttemptOutcome Run() {
    std::optional<CallResult> last;
    loop_.discover_(plan_.request.service, plan_.deadline);
    while (true) {
      if (!Send()) {
        break;
      }
      CallResult result = Wait();
      const auto failed = Describe(result);
      last = std::move(result);
      if (!failed || !PrepareRetry(*failed)) {
        break;
      }
    }
    CancelRest();
    if (!last) {
      last = NothingSent();
    }
    // The last attempt may not have run while an earlier one did.
    if (MayHaveRun()) {
      last = WithoutNotRun(std::move(*last));
    }
    return {FormatResult(std::move(*last)), allowance_.Close()};
  }

 private:
  struct Attempt {
    RouteTarget target;
    base::TimePoint started;
    base::WallTime started_wall;
    tracing::TraceContext span;
    retry::LoanId loan{};
    SentCall call;
    bool has_ended = false;
    bool has_timed_out = false;
    bool may_have_run = false;  // Known once it has ended.
  };

  CallResult NothingSent() const {
    wire::Response response;
    response.outcome = wire::Outcome::kNotRun;
    response.reason = "no_upstream";
    response.retry_after = std::chrono::seconds(1);
    if (services_.clock() >= plan_.deadline) {
      response.reason = "expired";
      response.retry_after = {};
    }
    return response;
  }

  bool MayHaveRun() const {
    return std::any_of(attempts_.begin(), attempts_.end(), [](const Attempt& attempt) {
      return !attempt.has_ended || attempt.may_have_run;
    });
  }

  static CallResult WithoutNotRun(CallResult result) {
    if (std::holds_alternative<CallFailure>(result)) {
      return CallFailure::kLost;
    }
    auto& response = std::get<wire::Response>(result);
    if (response.outcome == wire::Outcome::kNotRun) {
      response.outcome = wire::Outcome::kUnknown;
    }
    return result;
  }

  bool Send() {
    if (services_.clock() >= plan_.deadline) {
      return false;
    }
    RouteQuery query{plan_.request.service, {}, avoided_zones_, allowance_.unspent() > 0};
    for (const Attempt& attempt : attempts_) {
      query.tried.push_back(attempt.target);
    }
    auto target = loop_.routes_.Start(query);
    if (!target) {
      return false;
    }
    Attempt attempt;
    attempt.target = std::move(*target);
    attempt.started = services_.clock();
    attempt.started_wall = services_.wall_clock();
    attempt.span = tracing::StartChild(plan_.span, services_.random);
    wire::Request request = plan_.request;
    const retry::AllowanceLoan loan = allowance_.Lend(PartForCallee());
    attempt.loan = loan.id;
    request.context.allowance = loan.amount;
    request.context.traceparent = tracing::FormatTraceparent(attempt.span);
    request.remaining = plan_.deadline - attempt.started;
    const std::size_t index = attempts_.size();
    attempts_.push_back(std::move(attempt));
    attempts_.back().call = loop_.sender_.Send(
        attempts_.back().target.peer, std::move(request),
        [waiter = waiter_, index](CallResult result) { waiter->Add(index, std::move(result)); });
    return true;
  }

  // A callee that calls nothing cannot use extra attempts; others share with this hop.
  std::uint32_t PartForCallee() const {
    return plan_.service->calls.empty() ? 0 : allowance_.PartForNextOf(2);
  }

  // An attempt that may be repeated leaves time for the next one.
  base::TimePoint AttemptDeadline(const Attempt& attempt) const {
    if (plan_.service->idempotency == notes::Idempotency::kNonIdempotent ||
        allowance_.unspent() == 0) {
      return plan_.deadline;
    }
    return attempt.started + (plan_.deadline - attempt.started) / 2;
  }

  CallResult Wait() {
    std::size_t current = attempts_.size() - 1;
    base::TimePoint until = AttemptDeadline(attempts_[current]);
    base::TimePoint hedge = HedgeTime(attempts_[current]);
    while (true) {
      const base::TimePoint now = services_.clock();
      if (now >= until) {
        return GiveUp(current);
      }
      if (now >= hedge) {
        hedge = base::TimePoint::max();
        if (TrySendHedge()) {
          current = attempts_.size() - 1;
          until = plan_.deadline;
        }
      }
      auto end = waiter_->WaitUntil(std::min({until, hedge, now + kCallerCheck}));
      if (!end) {
        if (IsAbandoned()) {
          return GiveUp(current);
        }
        continue;
      }
      Record(*end);
      const bool is_answer = !DescribeFailure(end->result, false).has_value();
      if (is_answer || RunningCount() == 0) {
        return std::move(end->result);
      }
    }
  }

  bool IsAbandoned() const {
    return plan_.service->idempotency == notes::Idempotency::kIdempotent && plan_.is_caller_gone &&
           plan_.is_caller_gone();
  }

  base::TimePoint HedgeTime(const Attempt& attempt) const {
    const base::Duration expected = loop_.routes_.ExpectedLatency(plan_.request.service);
    if (plan_.service->hedging == notes::Hedging::kOff || expected <= base::Duration::zero()) {
      return base::TimePoint::max();
    }
    constexpr int kSlowFactor = 3;
    return attempt.started + kSlowFactor * expected;
  }

  bool TrySendHedge() {
    if (loop_.DecideHedge(plan_.request.service, allowance_) != RetryVerdict::kRetry) {
      return false;
    }
    services_.metrics.CountRetry(plan_.request.service);
    return Send();
  }

  std::size_t RunningCount() const {
    return static_cast<std::size_t>(std::count_if(attempts_.begin(), attempts_.end(),
                                                  [](const Attempt& a) { return !a.has_ended; }));
  }

  /** Cancels what still runs and learns whether it had been sent. */
  CallResult GiveUp(std::size_t current) {
    for (Attempt& attempt : attempts_) {
      if (!attempt.has_ended) {
        attempt.has_timed_out = true;
        attempt.call.cancel();
      }
    }
    CallResult result = CallFailure::kLost;
    const base::TimePoint limit = services_.clock() + kCancelGrace;
    while (RunningCount() > 0) {
      auto end = waiter_->WaitUntil(limit);
      if (!end) {
        break;
      }
      Record(*end);
      // An answer that came while the attempt was being cancelled is as good as any.
      const bool is_answer = !DescribeFailure(end->result, false).has_value();
      if (end->attempt == current || is_answer) {
        result = std::move(end->result);
      }
    }
    has_given_up_ = true;
    return result;
  }

  void CancelRest() {
    for (Attempt& attempt : attempts_) {
      if (!attempt.has_ended) {
        attempt.call.cancel();
        loop_.routes_.RecordCancelled(plan_.request.service, attempt.target,
                                      services_.clock() - attempt.started);
      }
    }
  }

  void Record(const AttemptEnd& end) {
    Attempt& attempt = attempts_.at(end.attempt);
    VERIFY(!attempt.has_ended);
    attempt.has_ended = true;
    const auto* answer = std::get_if<wire::Response>(&end.result);
    attempt.may_have_run = answer != nullptr
                               ? answer->outcome != wire::Outcome::kNotRun
                               : std::get<CallFailure>(end.result) == CallFailure::kLost;
    const std::string& service = plan_.request.service;
    const base::Duration latency = services_.clock() - attempt.started;
    tracing::SpanStatus status = tracing::SpanStatus::kError;
    if (answer != nullptr) {
      loop_.routes_.RecordAnswer(service, attempt.target, *answer, latency);
      loop_.sender_.RecordAnswer(attempt.target.peer.node);
      allowance_.SettleAnswered(attempt.loan, answer->unspent_allowance);
      const bool is_whole = answer->outcome == wire::Outcome::kRan && answer->status < kServerError;
      status = is_whole ? tracing::SpanStatus::kOk : tracing::SpanStatus::kError;
      if (is_whole && end.attempt == 0) {
        loop_.RecordFirstSuccess(service);
      }
    } else {
      RecordNoAnswer(attempt, std::get<CallFailure>(end.result), latency);
    }
    services_.spans.Export({attempt.span,
                            plan_.span.span_id,
                            tracing::SpanKind::kNodeOut,
                            attempt.started_wall,
                            services_.wall_clock(),
                            status,
                            {{"service", service}, {"to", attempt.target.peer.node}}});
  }

  void RecordNoAnswer(const Attempt& attempt, CallFailure failure, base::Duration latency) {
    if (attempt.has_timed_out) {
      loop_.routes_.RecordTimeout(plan_.request.service, attempt.target, latency);
      loop_.sender_.RecordTimeout(attempt.target.peer.node);
    } else {
      loop_.routes_.RecordLost(plan_.request.service, attempt.target, latency);
    }
    if (failure == CallFailure::kNotSent) {
      allowance_.SettleAnswered(attempt.loan, 0);
    } else {
      allowance_.SettleLost(attempt.loan);
    }
  }

  std::optional<retry::FailedAttempt> Describe(const CallResult& result) const {
    auto failed = DescribeFailure(result, has_given_up_);
    if (!failed) {
      return std::nullopt;
    }
    const std::string& service = plan_.request.service;
    failed->is_idempotent = plan_.service->idempotency == notes::Idempotency::kIdempotent;
    failed->is_service_shedding = loop_.routes_.IsShedding(service);
    failed->has_zone_failed = failed->failure == Failure::kNotConnected;
    failed->attempt = static_cast<std::uint32_t>(attempts_.size());
    failed->remaining = plan_.deadline - services_.clock();
    failed->needed = loop_.routes_.ExpectedLatency(service);
    return failed;
  }

  bool PrepareRetry(const retry::FailedAttempt& failed) {
    has_given_up_ = false;
    if (IsAbandoned()) {
      return false;
    }
    if (!services_.settings.has_controls) {
      return attempts_.size() < kUncontrolledAttempts && failed.is_idempotent &&
             failed.remaining > base::Duration::zero();
    }
    const retry::RetryDecision decision =
        loop_.DecideRetry(plan_.request.service, failed, allowance_);
    if (decision.verdict != RetryVerdict::kRetry) {
      services_.metrics.CountRefusedRetry(plan_.request.service, NameOf(decision.verdict));
      return false;
    }
    services_.metrics.CountRetry(plan_.request.service);
    if (decision.placement == retry::Placement::kOtherZone) {
      avoided_zones_.push_back(attempts_.back().target.zone);
    }
    std::this_thread::sleep_for(decision.pause);
    return true;
  }

  AttemptLoop& loop_;
  const NodeServices& services_;
  AttemptPlan plan_;
  retry::RetryAllowance allowance_;
  std::shared_ptr<AttemptWaiter> waiter_;
  std::vector<Attempt> attempts_;
  std::vector<std::string> avoided_zones_;
  bool has_given_up_ = false;
};

AttemptLoop::AttemptLoop(const NodeServices& services, RoutingTable& routes, CallSender& sender,
                         DiscoverService discover)
    : services_(services),
      routes_(routes),
      sender_(sender),
      discover_(std::move(discover)),
      policy_(retry::BackoffPolicy(kFirstPause, kLongestPause, services.random)) {}

AttemptOutcome AttemptLoop::Run(AttemptPlan plan) { return Request(*this, std::move(plan)).Run(); }

retry::RetryDecision AttemptLoop::DecideRetry(const std::string& service,
                                              const retry::FailedAttempt& failed,
                                              retry::RetryAllowance& allowance) {
  const double share = BudgetShare();
  const std::scoped_lock lock(mutex_);
  return policy_.Decide(failed, allowance, FindBudget(service, share), services_.clock());
}

RetryVerdict AttemptLoop::DecideHedge(const std::string& service,
                                      retry::RetryAllowance& allowance) {
  const bool is_shedding = routes_.IsShedding(service);
  const double share = BudgetShare();
  const std::scoped_lock lock(mutex_);
  return policy_.DecideHedge(true, is_shedding, allowance, FindBudget(service, share),
                             services_.clock());
}

void AttemptLoop::RecordFirstSuccess(const std::string& service) {
  const double share = BudgetShare();
  const std::scoped_lock lock(mutex_);
  FindBudget(service, share).RecordSuccess(services_.clock());
}

double AttemptLoop::BudgetShare() const {
  return services_.policies.current()->limits().retry_budget;
}

retry::RetryBudget& AttemptLoop::FindBudget(const std::string& service, double share) {
  auto found = budgets_.find(service);
  if (found == budgets_.end() || found->second.share != share) {
    // A release note that changes the share starts the budget anew.
    found = budgets_.insert_or_assign(service, Budget{share, retry::RetryBudget(share)}).first;
  }
  return found->second.budget;
}

}  // namespace borageloft::node
