#ifndef BORAGELOFT_RETRY_BACKOFF_POLICY_H_
#define BORAGELOFT_RETRY_BACKOFF_POLICY_H_

#include <cstdint>
#include <optional>

#include "libraries/base/base.h"

namespace borageloft::retry {

/**
 * Exponential backoff with full jitter: the pause is drawn uniformly from zero to a bound that
 * doubles with each retry, so that callers which failed together do not retry together.
 */
class BackoffPolicy {
 public:
  /**
   * @param first Bound of the pause before the first retry, positive.
   * @param longest Bound of every pause, at least @p first.
   * @param random Source of randomness.
   * @throws RetryError if a bound is out of range.
   */
  BackoffPolicy(base::Duration first, base::Duration longest, base::Random random);

  /**
   * @param retry Number of the retry, from 1.
   * @param hint Shortest pause that the refusal asked for; zero if it gave none.
   * @param remaining Time until the deadline.
   * @param needed Time that the attempt itself is expected to take.
   * @return The pause; nothing if the attempt would not finish in the time that remains after it.
   */
  std::optional<base::Duration> Pause(std::uint32_t retry, base::Duration hint,
                                      base::Duration remaining, base::Duration needed) const;

 private:
  base::Duration first_;
  base::Duration longest_;
  base::Random random_;
};

}  // namespace borageloft::retry

#endif  // BORAGELOFT_RETRY_BACKOFF_POLICY_H_
