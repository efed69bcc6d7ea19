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
  Require(subset.size > 0, "the subset size must be at least 1");
  Require(IsShare(subset.own_zone_share), "the own zone's share must be 0 to 1");
  Require(estimate.initial_service_time > zero, "the initial service time must be above 0");
  Require(IsWeight(estimate.sample_weight), "the weight of a latency must be above 0, up to 1");
  Require(estimate.latency_half_age > zero && estimate.report_half_age > zero &&
              outlier.failure_half_age > zero,
          "half ages must be above 0");
  Require(estimate.lowest_report_factor > 0 && estimate.lowest_report_factor <= 1 &&
              estimate.highest_report_factor >= 1,
          "the report factors must be above 0 up to 1, and at least 1");
  Require(IsShare(outlier.highest_share), "the share set aside must be 0 to 1");
  Require(outlier.failures_in_a_row > 0, "failures in a row must be at least 1");
  Require(IsWeight(outlier.failure_share), "the failure share must be above 0, up to 1");
  Require(IsWeight(outlier.sample_weight) && IsWeight(outlier.service_sample_weight),
          "the weight of a request must be above 0, up to 1");
  Require(outlier.service_ratio >= 1, "the ratio to the service must be at least 1");
  Require(outlier.first_pause > zero && outlier.longest_pause >= outlier.first_pause,
          "the pauses must be above 0 and rise");
  Require(outlier.probes_to_return > 0, "probes to return must be at least 1");
  Require(IsWeight(outlier.probe_share), "the probe share must be above 0, up to 1");
  Require(outlier.failure_penalty >= 0 && outlier.refusal_penalty >= 0,
          "penalties must not be negative");
  Require(zone.initial_round_trip >= zero, "the initial round trip must not be negative");
  Require(IsWeight(zone.sample_weight), "the weight of a round trip must be above 0, up to 1");
  Require(zone.margin >= 0 && zone.margin < 1, "the zone margin must be at least 0 and below 1");
  Require(choices > 0, "choices must be at least 1");
}

}  // namespace borageloft::routing
