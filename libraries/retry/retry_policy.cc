#include "libraries/retry/retry_policy.h"

namespace borageloft::retry {

const char* NameOf(RetryVerdict verdict) {
  switch (verdict) {
    case RetryVerdict::kRetry:
      return "retry";
    case RetryVerdict::kRejected:
      return "rejected";
    case RetryVerdict::kNotNextHop:
      return "not_next_hop";
    case RetryVerdict::kMayHaveReached:
      return "may_have_reached";
    case RetryVerdict::kNotIdempotent:
      return "not_idempotent";
    case RetryVerdict::kServiceSheds:
      return "service_sheds";
    case RetryVerdict::kDeadline:
      return "deadline";
    case RetryVerdict::kAllowance:
      return "allowance";
    case RetryVerdict::kBudget:
      return "budget";
  }
  return "unknown";
}

RetryDecision RetryPolicy::Decide(const FailedAttempt& failed, RetryAllowance& allowance,
                                  RetryBudget& budget, base::TimePoint now) const {
  RetryDecision decision;
  decision.verdict = CheckSafety(failed);
  if (decision.verdict != RetryVerdict::kRetry) {
    return decision;
  }
  const auto pause =
      backoff_.Pause(failed.attempt, failed.retry_after, failed.remaining, failed.needed);
  if (!pause) {
    decision.verdict = RetryVerdict::kDeadline;
    return decision;
  }
  decision.verdict = TakeRetry(allowance, budget, now);
  decision.pause = *pause;
  decision.placement = failed.has_zone_failed ? Placement::kOtherZone : Placement::kOtherUpstream;
  return decision;
}

RetryVerdict RetryPolicy::DecideHedge(bool is_idempotent, bool is_service_shedding,
                                      RetryAllowance& allowance, RetryBudget& budget,
                                      base::TimePoint now) const {
  if (!is_idempotent) {
    return RetryVerdict::kNotIdempotent;
  }
  if (is_service_shedding) {
    return RetryVerdict::kServiceSheds;
  }
  return TakeRetry(allowance, budget, now);
}

RetryVerdict RetryPolicy::CheckSafety(const FailedAttempt& failed) {
  if (failed.failure == Failure::kRejected) {
    return RetryVerdict::kRejected;
  }
  if (!failed.is_next_to_failure) {
    return RetryVerdict::kNotNextHop;
  }
  if (!failed.is_idempotent && failed.reach == Reach::kMayHaveReached) {
    return RetryVerdict::kMayHaveReached;
  }
  if (failed.failure == Failure::kOverload || failed.is_service_shedding) {
    return RetryVerdict::kServiceSheds;
  }
  return RetryVerdict::kRetry;
}

RetryVerdict RetryPolicy::TakeRetry(RetryAllowance& allowance, RetryBudget& budget,
                                    base::TimePoint now) {
  if (allowance.unspent() == 0) {
    return RetryVerdict::kAllowance;
  }
  if (!budget.TryTake(now)) {
    return RetryVerdict::kBudget;
  }
  VERIFY(allowance.TrySpend());
  return RetryVerdict::kRetry;
}

}  // namespace borageloft::retry
