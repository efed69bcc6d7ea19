#ifndef BORAGELOFT_ROUTING_LOAD_ESTIMATE_H_
#define BORAGELOFT_ROUTING_LOAD_ESTIMATE_H_

#include <cstdint>
#include <optional>

#include "libraries/base/base.h"
#include "libraries/routing/load_report.h"
#include "libraries/routing/routing_options.h"

namespace borageloft::routing {

/**
 * Estimates how long one upstream takes to serve one more request, from this node's own requests
 * in flight and measured latencies, and within bounds from load reports. Not thread-safe.
 */
class LoadEstimate {
 public:
  /**
   * @param options Must outlive this object.
   * @param slots Announced slots; 0 counts as 1.
   */
  LoadEstimate(const EstimateOptions& options, std::uint32_t slots);

  /** Counts a request sent to the upstream. */
  void Start();

  /** Counts its end. Verifies that the count does not become negative. */
  void Finish();

  /** Sets the announced slots after a change. */
  void SetSlots(std::uint32_t slots);

  /** Adds a latency without the link's part. Errors must not be added: a fast one would attract
   * requests. */
  void RecordLatency(base::Duration latency, base::TimePoint now);

  /** Takes over a load report. Its own requests in flight are not counted twice. */
  void RecordReport(const LoadReport& report, base::TimePoint now);

  /**
   * @param now Decides how far latencies and reports have aged.
   * @param typical Average latency over the service, which an aged latency returns to, so that an
   *                upstream that once was slow is tried again.
   * @return Estimated time to serve one more request, without the link's part.
   */
  base::Duration TimeToServe(base::TimePoint now, base::Duration typical) const;

  /** @return Requests of this node in flight. */
  std::uint32_t in_flight() const { return in_flight_; }

  /** @return Whether a latency has been recorded. */
  bool has_latency() const { return latency_.has_value(); }

 private:
  double AgedLatency(base::TimePoint now, base::Duration typical) const;
  double ReportFactor(base::TimePoint now, double latency) const;

  const EstimateOptions* options_;
  double slots_;
  std::uint32_t in_flight_ = 0;
  std::optional<double> latency_;  // Nanoseconds.
  base::TimePoint latency_at_;
  std::optional<LoadReport> report_;
  double others_in_flight_ = 0;  // Of other callers, at the time of the report.
  base::TimePoint report_at_;
};

}  // namespace borageloft::routing

#endif  // BORAGELOFT_ROUTING_LOAD_ESTIMATE_H_
