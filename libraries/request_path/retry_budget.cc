#include "libraries/request_path/retry_budget.h"

#include <algorithm>
#include <numeric>

namespace borageloft::request_path {

namespace {

// Time between changes of the level: about one call of a root.
constexpr std::chrono::milliseconds kLevelInterval{100};
// Without a wish for a repeat for this long the level is open again.
constexpr std::chrono::seconds kLevelForgotten{2};
// The planned rate uses up the budget in this part of its window, which most troubles do not
// outlast; behind it the budget itself is the bound.
constexpr double kSpendingPart = 0.8;
// Repeats within an interval that are too few to judge by.
constexpr double kFewRepeats = 4;
// Weight of one interval in the moving count of repeats. A node sees few in one interval, and a
// level that follows their spread leaves a part of the budget unused.
constexpr double kTakenWeight = 0.3;
// Smallest and largest change of the level in one interval.
constexpr double kLargestClosing = 0.25;
constexpr double kLargestOpening = 1.25;
// A level that closed further would take seconds to open again.
constexpr std::uint32_t kSmallestLevel = admission::ShedKey::kPositions / 64;

}  // namespace

void RetryBudget::Advance(Window& window, base::TimePoint now) const {
  const base::Duration width = options_.window / kBuckets;
  const std::int64_t bucket = now.time_since_epoch() / width;
  const auto known = static_cast<std::int64_t>(window.requests.size());
  const std::int64_t steps = std::min(bucket - window.bucket, known);
  for (std::int64_t step = 0; step < steps; ++step) {
    std::rotate(window.requests.rbegin(), window.requests.rbegin() + 1, window.requests.rend());
    window.requests.front() = 0;
    for (auto* repeats : {&window.rejected, &window.may_have_run}) {
      std::rotate(repeats->rbegin(), repeats->rbegin() + 1, repeats->rend());
      repeats->front() = 0;
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
  const base::Duration since = now - window.level_since;
  if (since < kLevelInterval) {
    return;
  }
  if (since >= kLevelForgotten) {
    window.level = kOpenLevel;
    window.taken_rate = 0;
  } else {
    const double intervals =
        std::chrono::duration<double>(since) / std::chrono::duration<double>(kLevelInterval);
    const double planned = limit / (kSpendingPart * std::chrono::duration<double>(options_.window) /
                                    std::chrono::duration<double>(kLevelInterval));
    window.taken_rate += kTakenWeight * (window.taken_since / intervals - window.taken_rate);
    const double ratio = std::max(kFewRepeats, planned) / std::max(1.0, window.taken_rate);
    // Positions that nobody asked from need no closing.
    const bool is_closing = ratio < 1 && window.taken_since > 0;
    const double used =
        is_closing ? std::min(window.level, window.highest_since + 1) : window.level;
    const double changed = used * std::clamp(ratio, kLargestClosing, kLargestOpening);
    window.level =
        static_cast<std::uint32_t>(std::clamp<double>(changed, kSmallestLevel, kOpenLevel));
    // The moving count follows the level, so that one cause is corrected once.
    window.taken_rate *= changed / std::max(1.0, used);
  }
  window.level_since = now;
  window.taken_since = 0;
  window.highest_since = 0;
}

std::uint32_t RetryBudget::PositionOf(const RepeatRoot& root) {
  return std::min(root.priority, kPriorities - 1) * admission::ShedKey::kPositions +
         root.key.position();
}

bool RetryBudget::TakeRepeat(const std::string& service, RepeatKind kind, const RepeatRoot& root,
                             base::TimePoint now) {
  Window& window = windows_[service];
  Advance(window, now);
  const bool is_rejected = kind == RepeatKind::kOneArrival;
  auto& repeats = is_rejected ? window.rejected : window.may_have_run;
  const double budget = Budget(window);
  const double taken = std::accumulate(repeats.begin(), repeats.end(), std::uint32_t{0});
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
  ++repeats.front();
  if (is_rejected) {
    ++window.taken_since;
    window.highest_since = std::max(window.highest_since, PositionOf(root));
  }
  return true;
}

}  // namespace borageloft::request_path
