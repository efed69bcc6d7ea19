#include "libraries/routing/load_estimate.h"

#include <algorithm>

namespace borageloft::routing {

namespace {

// Utilization added to that of every upstream. Without it, a lightly used upstream would cost
// almost nothing, and its latency would hardly count.
constexpr double kBaseUtilization = 0.5;

// Decays from 1 at age 0 to 1/2 at the half age. Hyperbolic, as that is cheaper than an
// exponential.
double DecayFactor(base::Duration age, base::Duration half_age) {
  const double half_ages = static_cast<double>(std::max<std::int64_t>(age.count(), 0)) /
                           static_cast<double>(half_age.count());
  return 1.0 / (1.0 + half_ages);
}

double ToSlots(std::uint32_t slots) { return static_cast<double>(std::max(slots, 1U)); }

}  // namespace

LoadEstimate::LoadEstimate(const EstimateOptions& options, std::uint32_t slots)
    : options_(&options), slots_(ToSlots(slots)) {}

void LoadEstimate::Start() { ++in_flight_; }

void LoadEstimate::Finish() {
  VERIFY(in_flight_ > 0);
  --in_flight_;
}

void LoadEstimate::SetSlots(std::uint32_t slots) { slots_ = ToSlots(slots); }

void LoadEstimate::RecordLatency(base::Duration latency, base::TimePoint now) {
  const auto sample = static_cast<double>(std::max<std::int64_t>(latency.count(), 1));
  latency_ = latency_ ? *latency_ + options_->sample_weight * (sample - *latency_) : sample;
  latency_recorded_at_ = now;
}

void LoadEstimate::RecordReport(const LoadReport& report, base::TimePoint now) {
  report_ = report;
  report_recorded_at_ = now;
  others_in_flight_ = std::max(0.0, static_cast<double>(report.in_flight) - in_flight_);
}

base::Duration LoadEstimate::TimeToServe(base::TimePoint now,
                                         base::Duration service_latency) const {
  const double latency = AgedLatency(now, service_latency);
  const double own_utilization = (in_flight_ + 1.0) / slots_;
  const double time = latency * (kBaseUtilization + own_utilization) * ReportFactor(now, latency);
  return base::Duration(static_cast<std::int64_t>(time));
}

double LoadEstimate::AgedLatency(base::TimePoint now, base::Duration service_latency) const {
  const auto average = static_cast<double>(service_latency.count());
  if (!latency_) {
    return average;
  }
  const double weight = DecayFactor(now - latency_recorded_at_, options_->latency_half_age);
  return average + (*latency_ - average) * weight;
}

double LoadEstimate::ReportFactor(base::TimePoint now, double latency) const {
  if (!report_) {
    return 1.0;
  }
  const double limit =
      report_->limit == 0 ? slots_ : std::min(static_cast<double>(report_->limit), slots_);
  const double own_utilization = (in_flight_ + 1.0) / slots_;
  const double utilization = (in_flight_ + 1.0 + others_in_flight_) / limit;
  double factor = (kBaseUtilization + utilization) / (kBaseUtilization + own_utilization);
  factor *= 2.0 - std::clamp(report_->admitted_share, 0.0, 1.0);
  if (report_->service_time > base::Duration::zero()) {
    // The measured latency includes queueing, which `utilization` accounts for as well. The
    // reported service time excludes it.
    factor *= std::min(1.0, static_cast<double>(report_->service_time.count()) / latency);
  }
  factor = std::clamp(factor, options_->min_report_factor, options_->max_report_factor);
  return 1.0 + (factor - 1.0) * DecayFactor(now - report_recorded_at_, options_->report_half_age);
}

}  // namespace borageloft::routing
