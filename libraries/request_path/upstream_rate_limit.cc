#include "libraries/request_path/upstream_rate_limit.h"

#include <algorithm>

namespace borageloft::request_path {

namespace {

// Lowest rate: without any requests there would be no answer that lifts the limit.
constexpr double kProbingRate = 0.5;
// Tokens are kept for this time. A longer burst would strain an upstream that has asked for less.
constexpr double kBurstSeconds = 0.25;

}  // namespace

void UpstreamRateLimit::Learn(std::uint32_t milli, base::TimePoint now) {
  has_learned_ = true;
  Set(milli, now);
}

void UpstreamRateLimit::Suggest(std::uint32_t milli, base::TimePoint now) {
  if (!has_learned_ && milli > 0) {
    Set(milli, now);
  }
}

void UpstreamRateLimit::Set(std::uint32_t milli, base::TimePoint now) {
  if (milli == milli_) {
    return;
  }
  if (milli_ == 0) {
    tokens_ = 1;
    refilled_at_ = now;
  }
  Refill(now);
  milli_ = milli;
  rate_ = milli == 0 ? 0 : std::max(kProbingRate, milli / 1000.0);
  tokens_ = std::min(tokens_, Capacity());
}

double UpstreamRateLimit::Capacity() const { return std::max(1.0, kBurstSeconds * rate_); }

void UpstreamRateLimit::Refill(base::TimePoint now) {
  const double elapsed = std::chrono::duration<double>(now - refilled_at_).count();
  tokens_ = std::min(Capacity(), tokens_ + rate_ * std::max(0.0, elapsed));
  refilled_at_ = now;
}

bool UpstreamRateLimit::HasToken(base::TimePoint now) {
  if (milli_ == 0) {
    return true;
  }
  Refill(now);
  return tokens_ >= 1;
}

void UpstreamRateLimit::Take(base::TimePoint now) {
  if (milli_ > 0) {
    Refill(now);
    tokens_ -= 1;
  }
}

base::Duration UpstreamRateLimit::WaitBehind(std::size_t ahead, base::TimePoint now) {
  if (milli_ == 0) {
    return base::Duration::zero();
  }
  Refill(now);
  const double missing = std::max(0.0, static_cast<double>(ahead + 1) - tokens_);
  return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(missing / rate_));
}

}  // namespace borageloft::request_path
