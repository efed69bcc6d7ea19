#include "libraries/routing/routing_options.h"

#include "libraries/routing/error.h"

namespace borageloft::routing {

namespace {

void Require(bool is_valid, const char* message) {
  if (!is_valid) {
    throw Error(message);
  }
}

bool IsShare(double value) { return value >= 0 && value <= 1; }

bool IsWeight(double value) { return value > 0 && value <= 1; }

}  // namespace

void RoutingOptions::Check() const {
  const base::Duration zero = base::Duration::zero();
  Require(subset.size > 0, "subset.size must be at least 1");
  Require(IsShare(subset.own_zone_share), "subset.own_zone_share must be in [0, 1]");
  Require(estimate.initial_service_time > zero, "estimate.initial_service_time must be positive");
  Require(IsWeight(estimate.sample_weight), "estimate.sample_weight must be in (0, 1]");
  Require(estimate.latency_half_age > zero && estimate.report_half_age > zero &&
              outlier.failure_half_age > zero,
          "estimate and outlier half ages must be positive");
  Require(estimate.min_report_factor > 0 && estimate.min_report_factor <= 1 &&
              estimate.max_report_factor >= 1,
          "estimate.min_report_factor must be in (0, 1] and max_report_factor at least 1");
  Require(IsShare(outlier.max_ejected_share), "outlier.max_ejected_share must be in [0, 1]");
  Require(outlier.consecutive_failures > 0, "outlier.consecutive_failures must be at least 1");
  Require(IsWeight(outlier.failure_rate), "outlier.failure_rate must be in (0, 1]");
  Require(IsWeight(outlier.sample_weight) && IsWeight(outlier.service_sample_weight),
          "outlier.sample_weight and outlier.service_sample_weight must be in (0, 1]");
  Require(outlier.service_ratio >= 1, "outlier.service_ratio must be at least 1");
  Require(outlier.initial_ejection_time > zero &&
              outlier.max_ejection_time >= outlier.initial_ejection_time,
          "outlier.initial_ejection_time must be positive and at most outlier.max_ejection_time");
  Require(outlier.probes_to_reinstate > 0, "outlier.probes_to_reinstate must be at least 1");
  Require(IsWeight(outlier.probe_share), "outlier.probe_share must be in (0, 1]");
  Require(outlier.failure_penalty >= 0 && outlier.refusal_penalty >= 0,
          "outlier.failure_penalty and outlier.refusal_penalty must not be negative");
  Require(zone.initial_round_trip >= zero, "zone.initial_round_trip must not be negative");
  Require(IsWeight(zone.sample_weight), "zone.sample_weight must be in (0, 1]");
  Require(zone.margin >= 0 && zone.margin < 1, "zone.margin must be in [0, 1)");
  Require(choices > 0, "choices must be at least 1");
}

}  // namespace borageloft::routing
