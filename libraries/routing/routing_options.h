#ifndef BORAGELOFT_ROUTING_ROUTING_OPTIONS_H_
#define BORAGELOFT_ROUTING_ROUTING_OPTIONS_H_

#include <cstddef>

#include "libraries/base/base.h"

namespace borageloft::routing {

/** Options of StableSubset. */
struct SubsetOptions {
  std::size_t size = 24;  ///< Upstreams per service that a node connects to.
  /** Fraction of the subset reserved for the node's own zone, if it has enough upstreams. */
  double own_zone_share = 2.0 / 3.0;
};

/** Options of LoadEstimate. */
struct EstimateOptions {
  /** Average latency assumed before the first measurement. */
  base::Duration initial_service_time = std::chrono::milliseconds(10);
  double sample_weight = 0.2;  ///< Weight of a new latency in the moving average.
  /** Age at which a latency average has moved halfway back to the service's average. */
  base::Duration latency_half_age = std::chrono::seconds(5);
  /** Age at which a load report has half of its initial effect. */
  base::Duration report_half_age = std::chrono::milliseconds(500);
  /** Lower bound of the factor that a load report applies to the node's own estimate, however low
   * the load that it claims. */
  double min_report_factor = 0.5;
  /** Upper bound of that factor. */
  double max_report_factor = 4.0;
};

/** Options of OutlierDetector. */
struct OutlierOptions {
  double max_ejected_share = 0.3;     ///< Fraction of the subset that may be ejected at once.
  unsigned consecutive_failures = 5;  ///< Consecutive failures that eject an upstream.
  double failure_rate = 0.5;          ///< Ejects an upstream after `min_requests`.
  unsigned min_requests = 20;         ///< Requests before `failure_rate` applies.
  /** An upstream is ejected only if its failure rate is at least this many times that of the
   * service. When all upstreams fail together, ejecting some of them only costs capacity. */
  double service_ratio = 1.5;
  double sample_weight = 0.1;           ///< Weight of a request in the failure rate.
  double service_sample_weight = 0.02;  ///< Weight of a request in the service's failure rate.
  /** Time without requests after which a failure rate has halved. */
  base::Duration failure_half_age = std::chrono::seconds(5);
  base::Duration initial_ejection_time =
      std::chrono::seconds(1);  ///< Doubles with each repetition.
  base::Duration max_ejection_time = std::chrono::seconds(30);
  /** Time in service after which the next ejection lasts `initial_ejection_time` again. */
  base::Duration ejection_reset_time = std::chrono::minutes(5);
  unsigned probes_to_reinstate = 3;  ///< Successful probes that reinstate an upstream.
  double probe_share = 0.05;         ///< Fraction of first attempts sent as probes when one is due.
  /** Added to the factor on the estimated time, in proportion to the failure rate. */
  double failure_penalty = 20;
  /** Added to the factor on the estimated time, in proportion to the rate of overload refusals. */
  double refusal_penalty = 4;
};

/** Options of ZoneSpill. */
struct ZoneOptions {
  /** Round-trip time assumed for another zone before the first measurement. */
  base::Duration initial_round_trip = std::chrono::milliseconds(6);
  double sample_weight = 0.1;  ///< Weight of a new round-trip time in the moving average.
  /** Fraction by which another zone must be faster; prevents flapping between equal zones. */
  double margin = 0.1;
};

/** Options of a Router. */
struct RoutingOptions {
  SubsetOptions subset;
  EstimateOptions estimate;
  OutlierOptions outlier;
  ZoneOptions zone;
  std::size_t choices = 2;  ///< Random upstreams compared for each request; see docs/decisions/002.

  /** @throws Error If an option is out of range; the message names it. */
  void Check() const;
};

}  // namespace borageloft::routing

#endif  // BORAGELOFT_ROUTING_ROUTING_OPTIONS_H_
