#include "libraries/routing/outlier_detector.h"

#include <algorithm>

namespace borageloft::routing {

void OutlierDetector::RecordSuccess(OutlierRecord& record, bool is_probe, base::TimePoint now) {
  RecordNeutral(record, is_probe);
  Average(record, false, false, now);
  record.failures_in_a_row = 0;
  if (is_probe && record.condition == Condition::kProbing &&
      ++record.probes_succeeded >= options_->probes_to_return) {
    Return(record, now);
  }
}

void OutlierDetector::RecordFailure(OutlierRecord& record, bool is_probe, base::TimePoint now) {
  RecordNeutral(record, is_probe);
  Average(record, true, false, now);
  ++record.failures_in_a_row;
  if (record.condition == Condition::kProbing && is_probe) {
    SetAside(record, now);
  } else if (record.condition == Condition::kNormal && set_aside_ < highest_ &&
             ShouldSetAside(record)) {
    ++set_aside_;
    SetAside(record, now);
  }
  VERIFY(set_aside_ <= highest_);
}

void OutlierDetector::RecordRefusal(OutlierRecord& record, bool is_probe, base::TimePoint now) {
  RecordNeutral(record, is_probe);
  Average(record, false, true, now);
}

void OutlierDetector::RecordNeutral(OutlierRecord& record, bool is_probe) {
  if (is_probe) {
    record.is_probe_in_flight = false;
  }
}

void OutlierDetector::StartProbe(OutlierRecord& record) { record.is_probe_in_flight = true; }

void OutlierDetector::Advance(OutlierRecord& record, base::TimePoint now) {
  if (record.condition == Condition::kSetAside && now >= record.pause_end) {
    record.condition = Condition::kProbing;
    record.probes_succeeded = 0;
    record.is_probe_in_flight = false;
  }
}

void OutlierDetector::Restart(OutlierRecord& record) {
  record.failures_in_a_row = 0;
  record.failure_share = 0;
  record.refusal_share = 0;
  record.requests = 0;
  record.is_probe_in_flight = false;
  record.probes_succeeded = 0;
  if (record.condition == Condition::kSetAside) {
    record.condition = Condition::kProbing;
  }
}

void OutlierDetector::Forget(OutlierRecord& record) {
  if (record.condition != Condition::kNormal) {
    VERIFY(set_aside_ > 0);
    --set_aside_;
    record.condition = Condition::kNormal;
  }
}

void OutlierDetector::Resize(std::span<OutlierRecord* const> records) {
  highest_ =
      static_cast<std::size_t>(options_->highest_share * static_cast<double>(records.size()));
  while (set_aside_ > highest_) {
    OutlierRecord* earliest = nullptr;
    for (OutlierRecord* record : records) {
      if (record->condition != Condition::kNormal &&
          (earliest == nullptr || record->pause_end < earliest->pause_end)) {
        earliest = record;
      }
    }
    VERIFY(earliest != nullptr);
    Forget(*earliest);
  }
}

double OutlierDetector::Penalty(const OutlierRecord& record, base::TimePoint now) const {
  const double weight = AgeWeight(record, now);
  return 1.0 + weight * (options_->failure_penalty * record.failure_share +
                         options_->refusal_penalty * record.refusal_share);
}

void OutlierDetector::Average(OutlierRecord& record, bool is_failure, bool is_refusal,
                              base::TimePoint now) {
  const double age_weight = AgeWeight(record, now);
  const auto average = [&](double& share, bool is_hit) {
    share *= age_weight;
    share += options_->sample_weight * ((is_hit ? 1.0 : 0.0) - share);
  };
  average(record.failure_share, is_failure);
  average(record.refusal_share, is_refusal);
  record.requests = std::min(record.requests + 1, options_->fewest_requests);
  record.updated = now;
  service_failure_share_ +=
      options_->service_sample_weight * ((is_failure ? 1.0 : 0.0) - service_failure_share_);
}

double OutlierDetector::AgeWeight(const OutlierRecord& record, base::TimePoint now) const {
  const auto age = static_cast<double>(std::max<std::int64_t>((now - record.updated).count(), 0));
  return 1.0 / (1.0 + age / static_cast<double>(options_->failure_half_age.count()));
}

bool OutlierDetector::ShouldSetAside(const OutlierRecord& record) const {
  const bool is_failing = record.failures_in_a_row >= options_->failures_in_a_row ||
                          (record.requests >= options_->fewest_requests &&
                           record.failure_share >= options_->failure_share);
  return is_failing && IsWorseThanService(record.failure_share);
}

bool OutlierDetector::IsWorseThanService(double failure_share) const {
  return failure_share >= options_->service_ratio * service_failure_share_;
}

void OutlierDetector::SetAside(OutlierRecord& record, base::TimePoint now) const {
  if (record.times_set_aside > 0 && record.condition == Condition::kNormal &&
      now - record.returned > options_->forgiveness) {
    record.times_set_aside = 0;
  }
  base::Duration pause = options_->first_pause;
  for (unsigned i = 0; i < record.times_set_aside && pause < options_->longest_pause; ++i) {
    pause *= 2;
  }
  record.condition = Condition::kSetAside;
  record.pause_end = now + std::min(pause, options_->longest_pause);
  // When the whole service fails, a longer pause would only delay its recovery.
  if (IsWorseThanService(1.0)) {
    ++record.times_set_aside;
  }
  record.is_probe_in_flight = false;
}

void OutlierDetector::Return(OutlierRecord& record, base::TimePoint now) {
  Forget(record);
  record.failures_in_a_row = 0;
  record.requests = 0;
  record.failure_share = 0;
  record.returned = now;
}

}  // namespace borageloft::routing
