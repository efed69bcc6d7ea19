#include "libraries/routing/load_estimate.h"

#include <algorithm>

namespace borageloft::routing {

namespace {

// Estimated time of an idle upstream relative to its latency. Without it, an upstream with nothing
// in flight would cost nothing, and its latency and link would not matter.
constexpr double kIdleUse = 0.5;

// Weight that is 1 at age 0 and 1/2 at the half age; cheaper than an exponential.
double AgeWeight(base::Duration age, base::Duration half_age) {
  const double ages = static_cast<double>(std::max<std::int64_t>(age.count(), 0)) /
                      static_cast<double>(half_age.count());
  return 1.0 / (1.0 + ages);
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
  latency_at_ = now;
}

void LoadEstimate::RecordReport(const LoadReport& report, base::TimePoint now) {
  report_ = report;
  report_at_ = now;
  others_in_flight_ = std::max(0.0, static_cast<double>(report.in_flight) - in_flight_);
}

base::Duration LoadEstimate::TimeToServe(base::TimePoint now, base::Duration typical) const {
  const double latency = AgedLatency(now, typical);
  const double own_use = (in_flight_ + 1.0) / slots_;
  const double time = latency * (kIdleUse + own_use) * ReportFactor(now, latency);
  return base::Duration(static_cast<std::int64_t>(time));
}

double LoadEstimate::AgedLatency(base::TimePoint now, base::Duration typical) const {
  const auto average = static_cast<double>(typical.count());
  if (!latency_) {
    return average;
  }
  const double weight = AgeWeight(now - latency_at_, options_->latency_half_age);
  return average + (*latency_ - average) * weight;
}

double LoadEstimate::ReportFactor(base::TimePoint now, double latency) const {
  if (!report_) {
    return 1.0;
  }
  const double limit =
      report_->limit == 0 ? slots_ : std::min(static_cast<double>(report_->limit), slots_);
  const double own_use = (in_flight_ + 1.0) / slots_;
  const double use = (in_flight_ + 1.0 + others_in_flight_) / limit;
  double factor = (kIdleUse + use) / (kIdleUse + own_use);
  factor *= 2.0 - std::clamp(report_->admitted_share, 0.0, 1.0);
  if (report_->service_time > base::Duration::zero()) {
    // The measured latency contains queueing, which `use` counts again; the reported service time
    // does not.
    factor *= std::min(1.0, static_cast<double>(report_->service_time.count()) / latency);
  }
  factor = std::clamp(factor, options_->lowest_report_factor, options_->highest_report_factor);
  return 1.0 + (factor - 1.0) * AgeWeight(now - report_at_, options_->report_half_age);
}

}  // namespace borageloft::routing
