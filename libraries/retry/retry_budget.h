#ifndef BORAGELOFT_RETRY_RETRY_BUDGET_H_
#define BORAGELOFT_RETRY_RETRY_BUDGET_H_

#include <array>
#include <cstdint>

#include "libraries/base/base.h"

namespace borageloft::retry {

/**
 * Bounds the retries of one node towards one service to a share of the first attempts that
 * succeeded lately. When nothing succeeds there is nothing to retry with, so a service that is down
 * gets no added load. Not thread-safe.
 */
class RetryBudget {
 public:
  /** Seconds of history that count. */
  static constexpr std::size_t kWindowSeconds = 10;

  /**
   * @param share Retries per successful first attempt, 0 to 1.
   * @param reserve Retries in a window that need no successes, so that a rarely called service can
   *     be retried at all.
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
