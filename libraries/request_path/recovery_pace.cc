#include "libraries/request_path/recovery_pace.h"

#include <algorithm>
#include <cmath>

namespace borageloft::request_path {

namespace {

// Share of the slots at the beginning, and the least that cuts leave.
constexpr double kFirstShare = 0.25;
constexpr double kMinShare = 0.1;
constexpr double kGrowth = 1.5;
constexpr double kCut = 0.6;
// A window is as fast as the fastest one up to this ratio of their means, and much slower beyond
// the other. Means of few answers vary by some tens of percent.
constexpr double kFastRatio = 1.4;
constexpr double kSlowRatio = 2;
// Share of rejected requests that counts as too much load.
constexpr double kMaxRejectedShare = 0.1;
// Answers, and time, that make a window.
constexpr std::size_t kWindowAnswers = 8;
constexpr std::chrono::milliseconds kWindowTime{100};

}  // namespace

void RecoveryPace::Begin(base::TimePoint now) {
  began_at_ = now;
  share_ = kFirstShare;
  fastest_ms_ = 0;
  window_ = {now, 0, 0, 0};
}

void RecoveryPace::RecordAnswer(base::Duration took, base::TimePoint now) {
  if (!began_at_) {
    return;
  }
  ++window_.answers;
  window_.sum_ms += std::chrono::duration<double, std::milli>(took).count();
  CloseWindow(now);
}

void RecoveryPace::RecordRejection(base::TimePoint now) {
  if (!began_at_) {
    return;
  }
  ++window_.rejections;
  CloseWindow(now);
}

void RecoveryPace::CloseWindow(base::TimePoint now) {
  if (now - *began_at_ >= kMaxTime) {
    began_at_.reset();
    return;
  }
  const std::size_t ended = window_.answers + window_.rejections;
  if (ended < kWindowAnswers || now - window_.began_at < kWindowTime) {
    return;
  }
  const bool is_rejecting =
      static_cast<double>(window_.rejections) > kMaxRejectedShare * static_cast<double>(ended);
  const double mean_ms =
      window_.answers == 0 ? 0 : window_.sum_ms / static_cast<double>(window_.answers);
  const bool is_first = fastest_ms_ == 0;
  if (is_rejecting || (!is_first && mean_ms > kSlowRatio * fastest_ms_)) {
    share_ = std::max(kMinShare, kCut * share_);
  } else if (is_first || mean_ms <= kFastRatio * fastest_ms_) {
    share_ *= kGrowth;
  }
  if (window_.answers > 0) {
    fastest_ms_ = is_first ? mean_ms : std::min(fastest_ms_, mean_ms);
  }
  window_ = {now, 0, 0, 0};
  if (share_ >= 1) {
    began_at_.reset();
  }
}

std::size_t RecoveryPace::Limit(std::size_t full, base::TimePoint now) const {
  if (!began_at_ || now - *began_at_ >= kMaxTime) {
    return full;
  }
  const auto limit = static_cast<std::size_t>(std::ceil(share_ * static_cast<double>(full)));
  return std::clamp<std::size_t>(limit, 1, std::max<std::size_t>(1, full));
}

}  // namespace borageloft::request_path
