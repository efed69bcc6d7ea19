#include "libraries/admission/concurrency_limit.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "libraries/admission/admission_error.h"

namespace borageloft::admission {

namespace {

// A window has enough samples that the spread of service times is not mistaken for a trend. It also
// lasts at least one mean service time, so that it includes requests started after a change.
constexpr std::size_t kMinSamples = 40;

// The window that judges a cut has twice as many samples, since a wrong verdict would make the
// latency of a queue the reference.
constexpr std::size_t kMinSamplesAfterCut = 80;
constexpr base::Duration kMinWindow = std::chrono::milliseconds(20);
constexpr base::Duration kMaxWindow = std::chrono::seconds(1);

// Inflation is the latency divided by the reference latency. The limit is raised below the first
// value and cut above the second. A little queueing inside the upstream is the only sign that the
// limit is high enough for full throughput; more queueing there only escapes the ordering by class.
constexpr double kRaiseInflation = 1.25;
constexpr double kCutInflation = 2;

// Above this inflation the limit is cut at once; below it a second window has to confirm the
// inflation, since the mean of 40 exponential service times has a standard deviation of 16%.
constexpr double kImmediateCutInflation = 3;

// A cut multiplies the limit by a factor within these bounds. A smaller cut would change latency by
// less than the spread of a window, so its effect could not be measured; a larger cut could be the
// reaction to an outlier.
constexpr double kMinCutFactor = 0.6;
constexpr double kMaxCutFactor = 0.75;

// Growth factor in one window up to the limit before the last cut, which was in use before.
constexpr double kRegrowthFactor = 1.25;

// Relative growth in one window at limits that have not been in use before.
constexpr double kGrowthShare = 0.1;

// Weight of one request in the recent latency, which has to show within a few requests that a slow
// upstream has recovered.
constexpr double kRecentLatencyWeight = 0.25;

// If an upstream refuses more than this share of a window for overload, its limit is cut regardless
// of latency, since refusals are fast.
constexpr double kOverloadedShare = 0.05;
constexpr double kOverloadedCutFactor = 0.8;

// Weight of a window in the reference latency. A window under load can only lower the reference, or
// a standing queue inside the upstream would become part of it. Lowering it only would bias the
// reference by the spread of windows, so a window after a cut or with few requests in flight can
// also raise it, up to the inflation below.
constexpr double kReferenceWeight = 0.2;
constexpr double kMaxReferenceInflation = 1.5;
constexpr double kLightUtilization = 0.5;

// Inflation too low for an outlier: an upstream that was slow has recovered.
constexpr double kRecoveryInflation = 0.5;

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(std::size_t slots, double cold_share)
    : slots_(static_cast<double>(slots)), limit_(1) {
  if (slots == 0) {
    throw AdmissionError("slots must be at least 1");
  }
  SetLimit(slots_ * cold_share);
}

void ConcurrencyLimit::set_slots(std::size_t slots) {
  if (slots == 0) {
    throw AdmissionError("slots must be at least 1");
  }
  slots_ = static_cast<double>(slots);
  limit_before_cut_ = 0;
  SetLimit(limit_);
}

void ConcurrencyLimit::Record(base::Duration latency, Outcome outcome, std::size_t in_flight,
                              base::TimePoint now) {
  if (outcome != Outcome::kOverloaded && outcome != Outcome::kCancelled) {
    const auto sample = static_cast<double>(latency.count());
    recent_latency_ +=
        (sample - recent_latency_) * (recent_latency_ == 0 ? 1 : kRecentLatencyWeight);
  }
  if (samples_to_skip_ > 0) {
    --samples_to_skip_;
    StartWindow(now);
    return;
  }
  if (sample_count_ == 0 && overloaded_count_ == 0) {
    StartWindow(now);
  }
  max_in_flight_ = std::max(max_in_flight_, in_flight);
  if (outcome == Outcome::kOverloaded) {
    ++overloaded_count_;
  } else if (outcome != Outcome::kCancelled) {
    // A cancelled request ended early, so its time says nothing about the upstream.
    ++sample_count_;
    latency_sum_ += static_cast<double>(latency.count());
    in_flight_sum_ += static_cast<double>(in_flight);
  }
  const double mean = latency_sum_ / static_cast<double>(std::max<std::size_t>(sample_count_, 1));
  const base::Duration elapsed = now - window_start_;
  const std::size_t samples = limit_before_cut_ > 0 ? kMinSamplesAfterCut : kMinSamples;
  const bool is_full = sample_count_ + overloaded_count_ >= samples && elapsed >= kMinWindow &&
                       static_cast<double>(elapsed.count()) >= mean;
  if (is_full || elapsed >= kMaxWindow) {
    CloseWindow(now);
  }
}

double ConcurrencyLimit::Throughput() const {
  return recent_latency_ > 0 ? limit_ * 1e9 / recent_latency_ : 0;
}

void ConcurrencyLimit::CloseWindow(base::TimePoint now) {
  const double total = static_cast<double>(sample_count_ + overloaded_count_);
  if (static_cast<double>(overloaded_count_) > total * kOverloadedShare) {
    limit_before_cut_ = 0;
    SetLimit(limit_ * kOverloadedCutFactor);
  } else if (sample_count_ > 0) {
    AdjustLimit(latency_sum_ / static_cast<double>(sample_count_));
  }
  StartWindow(now);
}

void ConcurrencyLimit::AdjustLimit(double latency) {
  if (reference_latency_ == 0 || latency <= 0) {
    reference_latency_ = latency;
    return;
  }
  const bool is_after_cut = limit_before_cut_ > 0;
  if (is_after_cut) {
    if (IsCutIneffective(latency)) {
      SetLimit(limit_before_cut_);
      reference_latency_ = latency;
      limit_before_cut_ = 0;
      return;
    }
    limit_before_cut_ = 0;
  }
  const double inflation = latency / reference_latency_;
  const double in_flight = in_flight_sum_ / static_cast<double>(sample_count_);
  const bool is_lightly_used = is_after_cut || in_flight < limit_ * kLightUtilization;
  if (inflation < kRecoveryInflation) {
    reference_latency_ = latency;
    SetLimit(std::max(limit_, regrowth_bound_));
  } else if (inflation < (is_lightly_used ? kMaxReferenceInflation : 1)) {
    reference_latency_ += (latency - reference_latency_) * kReferenceWeight;
  }
  if (inflation > kCutInflation) {
    if (inflation > kImmediateCutInflation || std::exchange(was_inflated_, true)) {
      Cut(latency, inflation);
    }
    return;
  }
  was_inflated_ = false;
  if (inflation < kRaiseInflation && static_cast<double>(max_in_flight_) >= std::floor(limit_)) {
    SetLimit(limit_ < regrowth_bound_ ? std::min(limit_ * kRegrowthFactor + 1, regrowth_bound_)
                                      : limit_ + std::max(1.0, limit_ * kGrowthShare));
  }
}

bool ConcurrencyLimit::IsCutIneffective(double latency) const {
  // By Little's law, throughput is the number of requests in flight divided by latency. A cut that
  // lowers latency keeps throughput; a cut that does not lowers throughput in proportion to the
  // requests in flight. The threshold is halfway between the two.
  const double in_flight = in_flight_sum_ / static_cast<double>(sample_count_);
  const double kept_in_flight = std::min(in_flight / in_flight_before_cut_, 1.0);
  const double kept_throughput = kept_in_flight * latency_before_cut_ / latency;
  return kept_throughput < (1 + kept_in_flight) / 2;
}

void ConcurrencyLimit::Cut(double latency, double inflation) {
  was_inflated_ = false;
  limit_before_cut_ = limit_;
  latency_before_cut_ = latency;
  in_flight_before_cut_ = in_flight_sum_ / static_cast<double>(sample_count_);
  regrowth_bound_ = limit_;
  // The cut starts from the number of requests in flight: a limit above it did not cause the
  // latency.
  const auto used = static_cast<double>(std::max<std::size_t>(max_in_flight_, 1));
  samples_to_skip_ = max_in_flight_;
  SetLimit(std::min(limit_, used) *
           std::clamp(kRaiseInflation / inflation, kMinCutFactor, kMaxCutFactor));
}

void ConcurrencyLimit::StartWindow(base::TimePoint now) {
  window_start_ = now;
  sample_count_ = 0;
  overloaded_count_ = 0;
  max_in_flight_ = 0;
  latency_sum_ = 0;
  in_flight_sum_ = 0;
}

void ConcurrencyLimit::SetLimit(double limit) { limit_ = std::clamp(limit, 1.0, slots_); }

}  // namespace borageloft::admission
