#include "libraries/request_path/retry_budget.h"

#include <algorithm>
#include <numeric>

namespace borageloft::request_path {

namespace {

// Time between changes of the level: about the duration of one call of a root.
constexpr std::chrono::milliseconds kLevelInterval{100};
// The level opens fully after this time without a request for a retry.
constexpr std::chrono::seconds kLevelResetTime{2};
// The planned rate spends the budget within this share of the window, longer than most incidents
// last; after that, the budget itself is the limit.
constexpr double kSpendingShare = 0.8;
// Fewer retries than this in an interval are too few to adjust the level by.
constexpr double kFewRetries = 4;
// Weight of one interval in the moving average of retries. A node sees few of them in one interval,
// and a level that follows their variance leaves a part of the budget unused.
constexpr double kTakenWeight = 0.3;
// Smallest and largest factor by which the level changes in one interval.
constexpr double kMinLevelFactor = 0.25;
constexpr double kMaxLevelFactor = 1.25;
// Lower bound of the level; a lower one would take seconds to open again.
constexpr std::uint32_t kMinLevel = admission::ShedKey::kPositions / 64;

}  // namespace

void RetryBudget::Advance(Window& window, base::TimePoint now) const {
  const base::Duration width = options_.window / kBuckets;
  const std::int64_t bucket = now.time_since_epoch() / width;
  const auto known = static_cast<std::int64_t>(window.requests.size());
  const std::int64_t steps = std::min(bucket - window.bucket, known);
  for (std::int64_t step = 0; step < steps; ++step) {
    std::rotate(window.requests.rbegin(), window.requests.rbegin() + 1, window.requests.rend());
    window.requests.front() = 0;
    for (auto* retries : {&window.rejected, &window.may_have_run}) {
      std::rotate(retries->rbegin(), retries->rbegin() + 1, retries->rend());
      retries->front() = 0;
    }
  }
  window.bucket = std::max(window.bucket, bucket);
}

void RetryBudget::RecordRequest(const std::string& service, base::TimePoint now) {
  Window& window = windows_[service];
  Advance(window, now);
  ++window.requests.front();
}

double RetryBudget::Budget(const Window& window) const {
  const auto sum = [&](std::size_t from) {
    const auto first = window.requests.begin() + static_cast<std::ptrdiff_t>(from);
    return std::accumulate(first, first + kBuckets, std::uint32_t{0});
  };
  const double requests = std::max(sum(0), sum(kEarlierBuckets));
  return options_.ratio * requests + options_.minimum / static_cast<double>(nodes_);
}

void RetryBudget::AdjustLevel(Window& window, double limit, base::TimePoint now) const {
  const base::Duration since = now - window.level_updated_at;
  if (since < kLevelInterval) {
    return;
  }
  if (since >= kLevelResetTime) {
    window.level = kOpenLevel;
    window.mean_taken = 0;
  } else {
    const double intervals =
        std::chrono::duration<double>(since) / std::chrono::duration<double>(kLevelInterval);
    const double planned =
        limit / (kSpendingShare * std::chrono::duration<double>(options_.window) /
                 std::chrono::duration<double>(kLevelInterval));
    window.mean_taken += kTakenWeight * (window.taken_in_interval / intervals - window.mean_taken);
    const double ratio = std::max(kFewRetries, planned) / std::max(1.0, window.mean_taken);
    // Positions above the highest one used need not be closed first.
    const bool is_closing = ratio < 1 && window.taken_in_interval > 0;
    const double used =
        is_closing ? std::min(window.level, window.highest_in_interval + 1) : window.level;
    const double changed = used * std::clamp(ratio, kMinLevelFactor, kMaxLevelFactor);
    window.level = static_cast<std::uint32_t>(std::clamp<double>(changed, kMinLevel, kOpenLevel));
    // The average is scaled with the level, so that one deviation is not corrected twice.
    window.mean_taken *= changed / std::max(1.0, used);
  }
  window.level_updated_at = now;
  window.taken_in_interval = 0;
  window.highest_in_interval = 0;
}

std::uint32_t RetryBudget::PositionOf(const RootPosition& root) {
  return std::min(root.priority, kPriorities - 1) * admission::ShedKey::kPositions +
         root.key.position();
}

bool RetryBudget::TakeRetry(const std::string& service, RetryKind kind, const RootPosition& root,
                            base::TimePoint now) {
  Window& window = windows_[service];
  Advance(window, now);
  const bool is_rejected = kind == RetryKind::kOneArrival;
  auto& retries = is_rejected ? window.rejected : window.may_have_run;
  const double budget = Budget(window);
  const double taken = std::accumulate(retries.begin(), retries.end(), std::uint32_t{0});
  if (is_rejected) {
    AdjustLevel(window, kImportantRejectedShare * budget, now);
    if (PositionOf(root) >= window.level) {
      return false;
    }
  }
  const double rejected_share = root.priority == 0 ? kImportantRejectedShare : kRejectedShare;
  if (taken + 1 > (is_rejected ? rejected_share : kMayHaveRunShare) * budget) {
    return false;
  }
  ++retries.front();
  if (is_rejected) {
    ++window.taken_in_interval;
    window.highest_in_interval = std::max(window.highest_in_interval, PositionOf(root));
  }
  return true;
}

}  // namespace borageloft::request_path
