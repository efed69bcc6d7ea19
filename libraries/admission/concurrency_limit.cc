#include "libraries/admission/concurrency_limit.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "libraries/admission/admission_error.h"

namespace borageloft::admission {

namespace {

// A window needs samples enough that the spread of service times does not look like a trend, and
// at least one service time so that requests started after a change are among them.
constexpr std::size_t kMinSamples = 40;

// Whether a cut helped is told from twice as many, as a wrong answer makes a queue the reference.
constexpr std::size_t kMinSamplesAfterCut = 80;
constexpr base::Duration kMinWindow = std::chrono::milliseconds(20);
constexpr base::Duration kMaxWindow = std::chrono::seconds(1);

// The limit is raised up to the first multiple of the reference latency and cut above the second. A
// little queueing inside the upstream is the only sign that the limit is high enough for full
// throughput; more of it only hides the queue from the class order.
constexpr double kRaiseBelow = 1.25;
constexpr double kTolerance = 2;

// Inflation above this multiple cuts at once; below it a second window has to confirm it, since
// the mean of 40 exponential service times strays by 16%.
constexpr double kCertainInflation = 3;

// A cut takes the limit to a share within these bounds. A smaller cut would change latency by less
// than the spread of a window, so its effect could not be told; a larger one may follow an outlier.
constexpr double kLargestCut = 0.6;
constexpr double kSmallestCut = 0.75;

// Growth of a limit that is below the one that was cut, which has been reached before.
constexpr double kRegrowth = 1.25;

// Growth of a limit that has not been reached before.
constexpr double kGrowth = 0.1;

// Weight of one request in the recent latency, which has to show within a few that a slow
// upstream has recovered.
constexpr double kRecentRate = 0.25;

// An upstream that refuses more than this share of a window for overload is cut without regard to
// latency, since refusals are fast.
constexpr double kOverloadedShare = 0.05;
constexpr double kOverloadedCut = 0.8;

// Weight of a window in the reference. A window with the limit in use only lowers it, or a standing
// queue inside the upstream would become the reference. Following low windows alone would bias it
// by the spread of windows, so one after a cut or with few requests in flight also raises it.
constexpr double kReferenceRate = 0.2;
constexpr double kPlausibleInflation = 1.5;
constexpr double kLightUse = 0.5;

// A window below this share of the reference is no outlier: a slow upstream has recovered.
constexpr double kCertainFall = 0.5;

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
    recent_ += (sample - recent_) * (recent_ == 0 ? 1 : kRecentRate);
  }
  if (to_skip_ > 0) {
    --to_skip_;
    StartWindow(now);
    return;
  }
  if (count_ == 0 && overloaded_ == 0) {
    StartWindow(now);
  }
  max_in_flight_ = std::max(max_in_flight_, in_flight);
  if (outcome == Outcome::kOverloaded) {
    ++overloaded_;
  } else if (outcome != Outcome::kCancelled) {
    // A cancelled request ended early, so its time says nothing about the upstream.
    ++count_;
    latency_sum_ += static_cast<double>(latency.count());
    in_flight_sum_ += static_cast<double>(in_flight);
  }
  const double mean = latency_sum_ / static_cast<double>(std::max<std::size_t>(count_, 1));
  const base::Duration elapsed = now - window_start_;
  const std::size_t samples = limit_before_cut_ > 0 ? kMinSamplesAfterCut : kMinSamples;
  const bool is_full = count_ + overloaded_ >= samples && elapsed >= kMinWindow &&
                       static_cast<double>(elapsed.count()) >= mean;
  if (is_full || elapsed >= kMaxWindow) {
    CloseWindow(now);
  }
}

double ConcurrencyLimit::Throughput() const { return recent_ > 0 ? limit_ * 1e9 / recent_ : 0; }

void ConcurrencyLimit::CloseWindow(base::TimePoint now) {
  const double total = static_cast<double>(count_ + overloaded_);
  if (static_cast<double>(overloaded_) > total * kOverloadedShare) {
    limit_before_cut_ = 0;
    SetLimit(limit_ * kOverloadedCut);
  } else if (count_ > 0) {
    Adjust(latency_sum_ / static_cast<double>(count_));
  }
  StartWindow(now);
}

void ConcurrencyLimit::Adjust(double latency) {
  if (reference_ == 0 || latency <= 0) {
    reference_ = latency;
    return;
  }
  const bool is_after_cut = limit_before_cut_ > 0;
  if (is_after_cut) {
    if (IsCutUseless(latency)) {
      SetLimit(limit_before_cut_);
      reference_ = latency;
      limit_before_cut_ = 0;
      return;
    }
    limit_before_cut_ = 0;
  }
  const double inflation = latency / reference_;
  const double in_flight = in_flight_sum_ / static_cast<double>(count_);
  const bool is_light = is_after_cut || in_flight < limit_ * kLightUse;
  if (inflation < kCertainFall) {
    reference_ = latency;
    SetLimit(std::max(limit_, regrowth_bound_));
  } else if (inflation < (is_light ? kPlausibleInflation : 1)) {
    reference_ += (latency - reference_) * kReferenceRate;
  }
  if (inflation > kTolerance) {
    if (inflation > kCertainInflation || std::exchange(is_suspect_, true)) {
      Cut(latency, inflation);
    }
    return;
  }
  is_suspect_ = false;
  if (inflation < kRaiseBelow && static_cast<double>(max_in_flight_) >= std::floor(limit_)) {
    SetLimit(limit_ < regrowth_bound_ ? std::min(limit_ * kRegrowth + 1, regrowth_bound_)
                                      : limit_ + std::max(1.0, limit_ * kGrowth));
  }
}

bool ConcurrencyLimit::IsCutUseless(double latency) const {
  // By Little's law throughput is requests in flight over latency. A cut that lowered latency keeps
  // it; a cut that did not lowers it by as much as the requests in flight.
  const double in_flight = in_flight_sum_ / static_cast<double>(count_);
  const double kept_in_flight = std::min(in_flight / in_flight_before_cut_, 1.0);
  const double kept_throughput = kept_in_flight * latency_before_cut_ / latency;
  return kept_throughput < (1 + kept_in_flight) / 2;
}

void ConcurrencyLimit::Cut(double latency, double inflation) {
  is_suspect_ = false;
  limit_before_cut_ = limit_;
  latency_before_cut_ = latency;
  in_flight_before_cut_ = in_flight_sum_ / static_cast<double>(count_);
  regrowth_bound_ = limit_;
  // The cut starts from what was in use: a limit above it did not bring the latency about.
  const auto used = static_cast<double>(std::max<std::size_t>(max_in_flight_, 1));
  to_skip_ = max_in_flight_;
  SetLimit(std::min(limit_, used) * std::clamp(kRaiseBelow / inflation, kLargestCut, kSmallestCut));
}

void ConcurrencyLimit::StartWindow(base::TimePoint now) {
  window_start_ = now;
  count_ = 0;
  overloaded_ = 0;
  max_in_flight_ = 0;
  latency_sum_ = 0;
  in_flight_sum_ = 0;
}

void ConcurrencyLimit::SetLimit(double limit) { limit_ = std::clamp(limit, 1.0, slots_); }

}  // namespace borageloft::admission
