#ifndef BORAGELOFT_RETRY_RETRY_POLICY_H_
#define BORAGELOFT_RETRY_RETRY_POLICY_H_

#include <cstdint>

#include "libraries/base/base.h"
#include "libraries/retry/backoff_policy.h"
#include "libraries/retry/retry_allowance.h"
#include "libraries/retry/retry_budget.h"

namespace borageloft::retry {

/** How an attempt failed. */
enum class Failure {
  kOverload,        ///< Refused for load; it did not run.
  kLeaving,         ///< Refused because the upstream leaves; it did not run.
  kNotConnected,    ///< No connection to the upstream's node.
  kConnectionLost,  ///< The connection ended while the attempt was under way.
  kTimedOut,        ///< The attempt reached its time limit.
  kUpstreamError,   ///< The upstream answered with a server error.
  kRejected,        ///< The request itself is invalid; another attempt would fail as well.
};

/** Whether a byte of the request may have reached the upstream's handler. */
enum class Reach { kNotReached, kMayHaveReached };

/** A failed attempt and the facts that decide about a retry. */
struct FailedAttempt {
  Failure failure = Failure::kUpstreamError;
  Reach reach = Reach::kMayHaveReached;
  bool is_idempotent = false;
  bool is_next_to_failure = true;    ///< False if a hop below passed the failure on.
  bool is_service_shedding = false;  ///< The service's admission level is not open.
  bool has_zone_failed = false;      ///< Other upstreams in the zone fail too.
  std::uint32_t attempt = 1;         ///< Number of the failed attempt, from 1.
  base::Duration retry_after{};      ///< Hint in a refusal; zero if none.
  base::Duration remaining{};        ///< Time until the deadline.
  base::Duration needed{};           ///< Time that another attempt is expected to take.
};

/** Verdict on a failed attempt; every value but kRetry is a reason not to retry. */
enum class RetryVerdict {
  kRetry,
  kRejected,        ///< The request is invalid; another attempt would fail as well.
  kNotNextHop,      ///< Only the hop next to the failure retries.
  kMayHaveReached,  ///< Not idempotent, and a byte may have reached the upstream.
  kNotIdempotent,   ///< Not idempotent, so it is never hedged.
  kServiceSheds,    ///< The service is overloaded.
  kDeadline,        ///< Another attempt would not fit into the remaining time.
  kAllowance,       ///< The root request has no extra attempt left.
  kBudget,          ///< The node's budget for the service is used up.
};

/** Where the next attempt is sent. */
enum class Placement { kOtherUpstream, kOtherZone };

/** Decision about a failed attempt. */
struct RetryDecision {
  RetryVerdict verdict = RetryVerdict::kRejected;
  base::Duration pause{};  ///< Wait before the next attempt.
  Placement placement = Placement::kOtherUpstream;
};

/** @return The stable name of @p verdict in lower snake case. */
const char* NameOf(RetryVerdict verdict);

/** Decides for each failed attempt whether it is retried. Not thread-safe. */
class RetryPolicy {
 public:
  /** @param backoff Pauses between attempts. */
  explicit RetryPolicy(const BackoffPolicy& backoff) : backoff_(backoff) {}

  /**
   * Decides about a failed attempt. With kRetry, one extra attempt has been taken from both the
   * allowance and the budget; otherwise neither has changed.
   */
  RetryDecision Decide(const FailedAttempt& failed, RetryAllowance& allowance, RetryBudget& budget,
                       base::TimePoint now) const;

  /**
   * Decides whether a hedge, a second attempt while the first runs, is sent. It counts as a retry.
   * @param is_idempotent Whether the service is idempotent; others are never hedged.
   * @param is_service_shedding Whether the service's admission level is not open.
   */
  RetryVerdict DecideHedge(bool is_idempotent, bool is_service_shedding, RetryAllowance& allowance,
                           RetryBudget& budget, base::TimePoint now) const;

 private:
  static RetryVerdict CheckSafety(const FailedAttempt& failed);
  static RetryVerdict TakeRetry(RetryAllowance& allowance, RetryBudget& budget,
                                base::TimePoint now);

  BackoffPolicy backoff_;
};

}  // namespace borageloft::retry

#endif  // BORAGELOFT_RETRY_RETRY_POLICY_H_
