#include "libraries/retry/retry_budget.h"

#include <chrono>

#include "libraries/retry/retry_error.h"

namespace borageloft::retry {

RetryBudget::RetryBudget(double share, std::uint32_t reserve) : share_(share), reserve_(reserve) {
  if (!(share >= 0 && share <= 1)) {
    throw RetryError("the share of the retry budget must be between 0 and 1");
  }
}

void RetryBudget::RecordSuccess(base::TimePoint now) {
  Advance(now);
  ++buckets_[static_cast<std::size_t>(second_) % kWindowSeconds].successes;
  ++sum_.successes;
}

bool RetryBudget::TryTake(base::TimePoint now) {
  if (!has_room(now)) {
    return false;
  }
  ++buckets_[static_cast<std::size_t>(second_) % kWindowSeconds].retries;
  ++sum_.retries;
  return true;
}

bool RetryBudget::has_room(base::TimePoint now) {
  Advance(now);
  return static_cast<double>(sum_.retries + 1) <=
         static_cast<double>(reserve_) + share_ * static_cast<double>(sum_.successes);
}

std::uint64_t RetryBudget::taken(base::TimePoint now) {
  Advance(now);
  return sum_.retries;
}

void RetryBudget::Advance(base::TimePoint now) {
  const auto second =
      std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
  if (second - second_ >= static_cast<std::int64_t>(kWindowSeconds)) {
    buckets_.fill({});
    sum_ = {};
    second_ = second;
  }
  while (second_ < second) {
    ++second_;
    Bucket& oldest = buckets_[static_cast<std::size_t>(second_) % kWindowSeconds];
    sum_.successes -= oldest.successes;
    sum_.retries -= oldest.retries;
    oldest = {};
  }
}

}  // namespace borageloft::retry
