#ifndef BORAGELOFT_ADMISSION_CONCURRENCY_LIMIT_H_
#define BORAGELOFT_ADMISSION_CONCURRENCY_LIMIT_H_

#include <cstddef>

#include "libraries/admission/ticket.h"
#include "libraries/base/base.h"

namespace borageloft::admission {

/**
 * Adaptive concurrency limit: estimates how many requests an upstream can run at once, between 1
 * and its announced slots. It compares the latency of a window of requests with the latency of the
 * unloaded upstream. A limit that inflates latency is cut; a limit that is used in full without
 * inflating latency is raised in steps. A cut that does not lower latency is undone, and the higher
 * latency becomes the new reference: the upstream is slow for a reason that fewer requests do not
 * remove, and a lower limit would only lower its throughput. Not thread-safe.
 */
class ConcurrencyLimit {
 public:
  /**
   * @param slots Announced slots, at least 1.
   * @param cold_share Initial limit of a cold upstream, as a share of the slots.
   */
  ConcurrencyLimit(std::size_t slots, double cold_share);

  /** Changes the announced slots; keeps the limit, within the slots, and the reference latency. */
  void set_slots(std::size_t slots);

  /**
   * Records a request that ran.
   * @param latency Time that the upstream itself worked on it, without the calls it made.
   * @param outcome How it ended.
   * @param in_flight Requests that were running when it ended, this one included.
   * @param now Current time.
   */
  void Record(base::Duration latency, Outcome outcome, std::size_t in_flight, base::TimePoint now);

  /** @return Requests that may run at once, from 1 to slots. */
  std::size_t limit() const { return static_cast<std::size_t>(limit_); }

  /** @return Estimated requests per second when the limit is used in full; zero if unknown. */
  double Throughput() const;

  /** @return Latency of the unloaded upstream; zero before the first window. */
  base::Duration reference_latency() const {
    return base::Duration(static_cast<base::Duration::rep>(reference_latency_));
  }

 private:
  void CloseWindow(base::TimePoint now);
  void AdjustLimit(double latency);
  bool IsCutIneffective(double latency) const;
  void Cut(double latency, double inflation);
  void StartWindow(base::TimePoint now);
  void SetLimit(double limit);

  double slots_;
  double limit_;
  double reference_latency_ = 0;  // Nanoseconds.
  double recent_latency_ = 0;     // Smoothed latency of recent requests, in nanoseconds.

  // Limit, latency and requests in flight before the last cut while its effect is being measured;
  // the limit is zero otherwise.
  double limit_before_cut_ = 0;
  double latency_before_cut_ = 0;
  double in_flight_before_cut_ = 0;

  double regrowth_bound_ = 0;  // Limit before the last cut.
  bool was_inflated_ = false;  // The last window was above kCutInflation.

  std::size_t samples_to_skip_ = 0;  // Unfinished requests that started before the last cut.

  base::TimePoint window_start_{};
  std::size_t sample_count_ = 0;
  std::size_t overloaded_count_ = 0;
  std::size_t max_in_flight_ = 0;
  double latency_sum_ = 0;
  double in_flight_sum_ = 0;
};

}  // namespace borageloft::admission

#endif  // BORAGELOFT_ADMISSION_CONCURRENCY_LIMIT_H_
