#ifndef BORAGELOFT_RETRY_RETRY_BUDGET_H_
#define BORAGELOFT_RETRY_RETRY_BUDGET_H_

#include <array>
#include <cstdint>

#include "libraries/base/base.h"

namespace borageloft::retry {

/**
 * Limits the retries of one node to one service to a share of the first attempts that succeeded in
 * a sliding window. Without successes only the reserve is left, so that a service that is down gets
 * almost no added load. Not thread-safe.
 */
class RetryBudget {
 public:
  /** Length of the sliding window, in seconds. */
  static constexpr std::size_t kWindowSeconds = 10;

  /**
   * @param share Retries per successful first attempt, 0 to 1.
   * @param reserve Retries per window that need no successes, so that calls to a rarely called
   *     service can be retried at all.
   * @throws RetryError if the share is out of range.
   */
  explicit RetryBudget(double share, std::uint32_t reserve = 1);

  /** Records a first attempt that succeeded. */
  void RecordSuccess(base::TimePoint now);

  /** Takes one retry. @return Whether the budget allows it. */
  bool TryTake(base::TimePoint now);

  /** @return Whether TryTake() would succeed. */
  bool has_room(base::TimePoint now);

  /** @return Retries taken within the window. */
  std::uint64_t taken(base::TimePoint now);

 private:
  struct Bucket {
    std::uint64_t successes = 0;
    std::uint64_t retries = 0;
  };

  void Advance(base::TimePoint now);

  double share_;
  std::uint32_t reserve_;
  std::array<Bucket, kWindowSeconds> buckets_{};
  Bucket sum_;
  std::int64_t second_ = 0;
};

}  // namespace borageloft::retry

#endif  // BORAGELOFT_RETRY_RETRY_BUDGET_H_
