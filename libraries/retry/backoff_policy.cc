#include "libraries/retry/backoff_policy.h"

#include <algorithm>

#include "libraries/retry/retry_error.h"

namespace borageloft::retry {

namespace {

// More doublings could overflow the duration and would make no difference to a bounded pause.
constexpr std::uint32_t kMaxDoublings = 20;

}  // namespace

BackoffPolicy::BackoffPolicy(base::Duration first, base::Duration longest, base::Random random)
    : first_(first), longest_(longest), random_(std::move(random)) {
  if (first <= base::Duration::zero() || longest < first) {
    throw RetryError("the first pause must be positive and the longest pause at least as long");
  }
}

std::optional<base::Duration> BackoffPolicy::Pause(std::uint32_t retry, base::Duration hint,
                                                   base::Duration remaining,
                                                   base::Duration needed) const {
  base::Duration bound = first_;
  for (std::uint32_t i = 1; i < std::min(retry, kMaxDoublings) && bound < longest_; ++i) {
    bound *= 2;
  }
  bound = std::min(bound, longest_);
  const auto drawn = static_cast<base::Duration::rep>(
      base::DrawBelow(random_, static_cast<std::uint64_t>(bound.count()) + 1));
  // The jitter is added to the hint, or all callers with the same hint would retry together.
  const base::Duration pause = std::max(hint, base::Duration::zero()) + base::Duration(drawn);
  if (pause >= remaining || remaining - pause <= needed) {
    return std::nullopt;
  }
  return pause;
}

}  // namespace borageloft::retry
