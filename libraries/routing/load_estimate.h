#ifndef BORAGELOFT_ROUTING_LOAD_ESTIMATE_H_
#define BORAGELOFT_ROUTING_LOAD_ESTIMATE_H_

#include <cstdint>
#include <optional>

#include "libraries/base/base.h"
#include "libraries/routing/load_report.h"
#include "libraries/routing/routing_options.h"

namespace borageloft::routing {

/**
 * Estimates how long an upstream takes to serve one more request. The estimate is based on this
 * node's own requests in flight and its measured latencies; load reports adjust it within fixed
 * bounds. Not thread-safe.
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

  /** Counts the end of a request. Verifies that the count does not become negative. */
  void Finish();

  /** @param slots Announced slots; 0 counts as 1. */
  void SetSlots(std::uint32_t slots);

  /**
   * Adds a measured latency, excluding the network round trip. The latency of an error must not be
   * added, because an upstream that fails fast would then attract requests.
   */
  void RecordLatency(base::Duration latency, base::TimePoint now);

  /**
   * Replaces the load report. This node's own requests in flight, which the report includes, are
   * not counted twice.
   */
  void RecordReport(const LoadReport& report, base::TimePoint now);

  /**
   * @param now Determines the age of the latencies and the report.
   * @param service_latency Average latency of the service, to which an aged latency returns, so
   *     that an upstream that was slow is tried again.
   * @return Estimated time to serve one more request, excluding the network round trip.
   */
  base::Duration TimeToServe(base::TimePoint now, base::Duration service_latency) const;

  /** @return Number of this node's requests in flight. */
  std::uint32_t in_flight() const { return in_flight_; }

  /** @return Whether a latency has been recorded. */
  bool has_latency() const { return latency_.has_value(); }

 private:
  double AgedLatency(base::TimePoint now, base::Duration service_latency) const;
  double ReportFactor(base::TimePoint now, double latency) const;

  const EstimateOptions* options_;
  double slots_;
  std::uint32_t in_flight_ = 0;
  std::optional<double> latency_;  // Nanoseconds.
  base::TimePoint latency_recorded_at_;
  std::optional<LoadReport> report_;
  double others_in_flight_ = 0;  // Requests of other callers at the time of the report.
  base::TimePoint report_recorded_at_;
};

}  // namespace borageloft::routing

#endif  // BORAGELOFT_ROUTING_LOAD_ESTIMATE_H_
