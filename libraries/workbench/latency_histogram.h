#ifndef BORAGELOFT_WORKBENCH_LATENCY_HISTOGRAM_H_
#define BORAGELOFT_WORKBENCH_LATENCY_HISTOGRAM_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "libraries/base/base.h"

namespace borageloft::workbench {

/**
 * Log-linear histogram of latencies from 0 to about 12 days: exact below 64 µs, then 32 buckets
 * for each power of two, so a percentile is at most 3.2% above the true value. Not thread-safe.
 */
class LatencyHistogram {
 public:
  LatencyHistogram();

  /** Adds one latency; a negative one counts as 0. */
  void Add(base::Duration latency);

  /** Adds all latencies of another histogram. */
  void Merge(const LatencyHistogram& other);

  /**
   * @param share 0 to 1, for example 0.99.
   * @return Upper end of the bucket that holds this share, at most the maximum; 0 if empty.
   */
  base::Duration Percentile(double share) const;

  /** @return Greatest latency, in whole microseconds; 0 if empty. */
  base::Duration maximum() const { return maximum_; }

  /** @return Number of latencies. */
  std::uint64_t count() const { return count_; }

 private:
  std::vector<std::uint64_t> buckets_;
  std::uint64_t count_ = 0;
  base::Duration maximum_{0};
};

}  // namespace borageloft::workbench

#endif  // BORAGELOFT_WORKBENCH_LATENCY_HISTOGRAM_H_
