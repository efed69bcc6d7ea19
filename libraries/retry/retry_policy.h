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
  kTimedOut,        ///< The time of the attempt passed.
  kUpstreamError,   ///< The upstream answered with a server error.
  kRejected,        ///< The request itself is wrong; another attempt would fail likewise.
};

/** Whether a byte of the request may have reached the upstream's handler. */
enum class Reach { kNotReached, kMayHaveReached };

/** A failed attempt and what is known about it. */
struct FailedAttempt {
  Failure failure = Failure::kUpstreamError;
  Reach reach = Reach::kMayHaveReached;
  bool is_idempotent = false;
  bool is_next_to_failure = true;    ///< False if a hop below saw the failure and passed it on.
  bool is_service_shedding = false;  ///< The service's admission level is not open.
  bool has_zone_failed = false;      ///< Other upstreams of the zone fail as well.
  std::uint32_t attempt = 1;         ///< Number of the failed attempt, from 1.
  base::Duration retry_after{};      ///< Hint of a refusal; zero without one.
  base::Duration remaining{};        ///< Time until the deadline.
  base::Duration needed{};           ///< Time that another attempt is expected to take.
};

/** What is decided about a failed attempt; every value but kRetry is a reason not to. */
enum class RetryVerdict {
  kRetry,
  kRejected,        ///< Another attempt would fail likewise.
  kNotNextHop,      ///< Only the hop next to the failure retries.
  kMayHaveReached,  ///< Not idempotent, and a byte may have reached the upstream.
  kNotIdempotent,   ///< Not idempotent, so it is never sent twice at once.
  kServiceSheds,    ///< The service is overloaded.
  kDeadline,        ///< Another attempt would not fit into the remaining time.
  kAllowance,       ///< The root request has no extra attempt left.
  kBudget,          ///< The node's budget for the service is used up.
};

/** Where the next attempt goes. */
enum class Placement { kOtherUpstream, kOtherZone };

/** Decision about a failed attempt. */
struct RetryDecision {
  RetryVerdict verdict = RetryVerdict::kRejected;
  base::Duration pause{};  ///< Before the next attempt.
  Placement placement = Placement::kOtherUpstream;
};

/** @return The stable name of @p verdict in lower snake case. */
const char* NameOf(RetryVerdict verdict);

/** Decides for each failed attempt whether it is made again. Not thread-safe. */
class RetryPolicy {
 public:
  /** @param backoff Pauses between attempts. */
  explicit RetryPolicy(const BackoffPolicy& backoff) : backoff_(backoff) {}

  /**
   * Decides about a failed attempt. For kRetry one extra attempt has been taken from both the
   * allowance and the budget; otherwise neither has changed.
   */
  RetryDecision Decide(const FailedAttempt& failed, RetryAllowance& allowance, RetryBudget& budget,
                       base::TimePoint now) const;

  /**
   * Decides whether a second attempt is sent while the first still runs; it counts as a retry.
   * @param is_idempotent Whether the service is idempotent; others are never hedged.
   * @param is_service_shedding Whether the service's admission level is not open.
   */
  RetryVerdict DecideHedge(bool is_idempotent, bool is_service_shedding, RetryAllowance& allowance,
                           RetryBudget& budget, base::TimePoint now) const;

 private:
  static RetryVerdict CheckSafety(const FailedAttempt& failed);
  static RetryVerdict Take(RetryAllowance& allowance, RetryBudget& budget, base::TimePoint now);

  BackoffPolicy backoff_;
};

}  // namespace borageloft::retry

#endif  // BORAGELOFT_RETRY_RETRY_POLICY_H_
