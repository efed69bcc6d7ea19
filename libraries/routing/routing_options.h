#ifndef BORAGELOFT_ROUTING_ROUTING_OPTIONS_H_
#define BORAGELOFT_ROUTING_ROUTING_OPTIONS_H_

#include <cstddef>

#include "libraries/base/base.h"

namespace borageloft::routing {

/** Options of StableSubset. */
struct SubsetOptions {
  std::size_t size = 24;  ///< Upstreams of a service that a node keeps connections to.
  /** Part of the subset kept for the node's own zone, if that has enough upstreams. */
  double own_zone_share = 2.0 / 3.0;
};

/** Options of LoadEstimate. */
struct EstimateOptions {
  base::Duration initial_service_time = std::chrono::milliseconds(10);
  double sample_weight = 0.2;  ///< Weight of one new latency in the moving average.
  /** Age at which a moving average has lost half of its difference from the service's average. */
  base::Duration latency_half_age = std::chrono::seconds(5);
  /** Age at which a load report has lost half of its effect. */
  base::Duration report_half_age = std::chrono::milliseconds(500);
  /** A report multiplies the node's own estimate by at least this, however good it claims to be. */
  double lowest_report_factor = 0.5;
  /** A report multiplies the node's own estimate by at most this. */
  double highest_report_factor = 4.0;
};

/** Options of OutlierDetector. */
struct OutlierOptions {
  double highest_share = 0.3;      ///< Part of the subset that may be set aside at once.
  unsigned failures_in_a_row = 5;  ///< Sets an upstream aside.
  double failure_share = 0.5;      ///< Sets an upstream aside once enough requests were seen.
  unsigned fewest_requests = 20;   ///< Requests before `failure_share` applies.
  /** An upstream is set aside only if its failure share is this many times that of the service:
   * when all of them fail together, setting some aside only costs capacity. */
  double service_ratio = 1.5;
  double sample_weight = 0.1;           ///< Weight of one request in the failure share.
  double service_sample_weight = 0.02;  ///< The same in the failure share of the service.
  /** Age at which a failure share has halved without further requests. */
  base::Duration failure_half_age = std::chrono::seconds(5);
  base::Duration first_pause = std::chrono::seconds(1);  ///< Doubles with each further time.
  base::Duration longest_pause = std::chrono::seconds(30);
  /** A time without being set aside after which the pause starts from the first again. */
  base::Duration forgiveness = std::chrono::minutes(5);
  unsigned probes_to_return = 3;  ///< Successful requests that end a pause for good.
  double probe_share = 0.05;      ///< Part of first attempts used as probes while one is due.
  double failure_penalty = 20;    ///< Estimated time grows by this factor at a failure share of 1.
  double refusal_penalty = 4;     ///< The same for refusals under overload.
};

/** Options of ZoneSpill. */
struct ZoneOptions {
  /** Round trip to another zone before it has been measured. */
  base::Duration initial_round_trip = std::chrono::milliseconds(6);
  double sample_weight = 0.1;  ///< Weight of one new round trip in the moving average.
  /** Part by which another zone has to be better, against flapping between equal zones. */
  double margin = 0.1;
};

/** Options of a Router. */
struct RoutingOptions {
  SubsetOptions subset;
  EstimateOptions estimate;
  OutlierOptions outlier;
  ZoneOptions zone;
  std::size_t choices = 2;  ///< Upstreams compared for each request; see docs/decisions/002.

  /** @throws Error If an option is out of range; the message names it. */
  void Check() const;
};

}  // namespace borageloft::routing

#endif  // BORAGELOFT_ROUTING_ROUTING_OPTIONS_H_
