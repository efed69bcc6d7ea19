#include "libraries/admission/concurrency_limit.h"

#include <algorithm>
#include <cmath>

#include "libraries/admission/admission_error.h"

namespace borageloft::admission {

namespace {

// A window needs samples enough that the spread of service times does not look like a trend, and
// at least one service time so that requests started after a change are among them.
constexpr std::size_t kMinSamples = 16;
constexpr base::Duration kMinWindow = std::chrono::milliseconds(20);
constexpr base::Duration kMaxWindow = std::chrono::seconds(1);

// Latency up to this multiple of the reference is accepted. A little queueing inside the upstream
// is the only sign that the limit is high enough for full throughput.
constexpr double kTolerance = 1.5;

// One window never cuts the limit below this share, since its samples may still be an outlier.
constexpr double kLargestCut = 0.5;

// An upstream that refuses more than this share of a window for overload is cut without regard to
// latency, since refusals are fast.
constexpr double kOverloadedShare = 0.05;
constexpr double kOverloadedCut = 0.8;

// The reference follows lower windows quickly and higher ones slowly: a reference that is too high
// hides queueing, one that is too low only costs a probe.
constexpr double kReferenceDown = 0.3;
constexpr double kReferenceUp = 0.01;

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
  }
  const base::Duration elapsed = now - window_start_;
  if (elapsed >= kMaxWindow ||
      (count_ + overloaded_ >= kMinSamples && elapsed >= kMinWindow &&
       static_cast<double>(elapsed.count()) * 1.0 >=
           latency_sum_ / static_cast<double>(std::max<std::size_t>(count_, 1)))) {
    CloseWindow(now);
  }
}

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
  if (limit_before_cut_ > 0) {
    const double expected_fall = 1 - limit_ / limit_before_cut_;
    const double fall = 1 - latency / latency_before_cut_;
    if (fall < expected_fall / 2) {
      SetLimit(limit_before_cut_);
      reference_ = latency;
      limit_before_cut_ = 0;
      return;
    }
    limit_before_cut_ = 0;
  }
  const double inflation = latency / reference_;
  reference_ += (latency - reference_) * (inflation < 1 ? kReferenceDown : kReferenceUp);
  const bool is_used_in_full = static_cast<double>(max_in_flight_) >= std::floor(limit_);
  if (inflation > kTolerance) {
    const double cut = std::max(kLargestCut, kTolerance / inflation);
    limit_before_cut_ = limit_;
    latency_before_cut_ = latency;
    // The cut starts from what was in use: a limit above it did not bring the latency about.
    SetLimit(std::min(limit_, static_cast<double>(std::max<std::size_t>(max_in_flight_, 1))) * cut);
  } else if (is_used_in_full) {
    SetLimit(limit_ + std::max(1.0, std::sqrt(limit_) / 2));
  }
}

void ConcurrencyLimit::StartWindow(base::TimePoint now) {
  window_start_ = now;
  count_ = 0;
  overloaded_ = 0;
  max_in_flight_ = 0;
  latency_sum_ = 0;
}

void ConcurrencyLimit::SetLimit(double limit) { limit_ = std::clamp(limit, 1.0, slots_); }

}  // namespace borageloft::admission
