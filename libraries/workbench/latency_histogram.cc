#include "libraries/workbench/latency_histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace borageloft::workbench {

namespace {

constexpr unsigned kLinearBits = 6;
constexpr std::uint64_t kLinear = 1U << kLinearBits;
constexpr std::uint64_t kHalf = kLinear / 2;
constexpr unsigned kHighestBits = 40;
constexpr std::uint64_t kHighest = (1ULL << kHighestBits) - 1;
constexpr std::size_t kBuckets = kLinear + (kHighestBits - kLinearBits) * kHalf;
// 0.99 * 100 is slightly above 99 in binary, which would ask for the 100th value.
constexpr double kRoundingSlack = 1e-6;

std::size_t BucketOf(std::uint64_t microseconds) {
  if (microseconds < kLinear) {
    return microseconds;
  }
  const auto shift = static_cast<unsigned>(std::bit_width(microseconds)) - kLinearBits;
  return shift * kHalf + (microseconds >> shift);
}

std::uint64_t HighestIn(std::size_t bucket) {
  if (bucket < kLinear) {
    return bucket;
  }
  const auto shift = static_cast<unsigned>(bucket / kHalf - 1);
  const std::uint64_t part = bucket - shift * kHalf;
  return ((part + 1) << shift) - 1;
}

}  // namespace

LatencyHistogram::LatencyHistogram() : buckets_(kBuckets) {}

void LatencyHistogram::Add(base::Duration latency) {
  const auto whole = std::chrono::duration_cast<std::chrono::microseconds>(latency);
  const auto value =
      std::min(static_cast<std::uint64_t>(std::max<std::int64_t>(whole.count(), 0)), kHighest);
  ++buckets_[BucketOf(value)];
  ++count_;
  maximum_ = std::max<base::Duration>(maximum_, std::chrono::microseconds(value));
}

void LatencyHistogram::Merge(const LatencyHistogram& other) {
  for (std::size_t i = 0; i < buckets_.size(); ++i) {
    buckets_[i] += other.buckets_[i];
  }
  count_ += other.count_;
  maximum_ = std::max(maximum_, other.maximum_);
}

base::Duration LatencyHistogram::Percentile(double share) const {
  const auto rank = std::max<std::uint64_t>(
      1,
      static_cast<std::uint64_t>(std::ceil(share * static_cast<double>(count_) - kRoundingSlack)));
  std::uint64_t seen = 0;
  for (std::size_t bucket = 0; bucket < buckets_.size(); ++bucket) {
    seen += buckets_[bucket];
    if (seen >= rank) {
      return std::min<base::Duration>(maximum_, std::chrono::microseconds(HighestIn(bucket)));
    }
  }
  return maximum_;
}

}  // namespace borageloft::workbench
