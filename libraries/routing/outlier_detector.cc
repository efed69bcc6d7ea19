#include "libraries/routing/outlier_detector.h"

#include <algorithm>

namespace borageloft::routing {

void OutlierDetector::RecordSuccess(OutlierRecord& record, bool is_probe, base::TimePoint now) {
  RecordNeutral(record, is_probe);
  UpdateAverages(record, false, false, now);
  record.consecutive_failures = 0;
  if (is_probe && record.ejection_state == EjectionState::kProbing &&
      ++record.probes_succeeded >= options_->probes_to_reinstate) {
    Reinstate(record, now);
  }
}

void OutlierDetector::RecordFailure(OutlierRecord& record, bool is_probe, base::TimePoint now) {
  RecordNeutral(record, is_probe);
  UpdateAverages(record, true, false, now);
  ++record.consecutive_failures;
  if (record.ejection_state == EjectionState::kProbing && is_probe) {
    Eject(record, now);
  } else if (record.ejection_state == EjectionState::kNormal &&
             ejected_count_ < max_ejected_count_ && ShouldEject(record)) {
    ++ejected_count_;
    Eject(record, now);
  }
  VERIFY(ejected_count_ <= max_ejected_count_);
}

void OutlierDetector::RecordRefusal(OutlierRecord& record, bool is_probe, base::TimePoint now) {
  RecordNeutral(record, is_probe);
  UpdateAverages(record, false, true, now);
}

void OutlierDetector::RecordNeutral(OutlierRecord& record, bool is_probe) {
  if (is_probe) {
    record.is_probe_in_flight = false;
  }
}

void OutlierDetector::StartProbe(OutlierRecord& record) { record.is_probe_in_flight = true; }

void OutlierDetector::Advance(OutlierRecord& record, base::TimePoint now) {
  if (record.ejection_state == EjectionState::kEjected && now >= record.ejection_end) {
    record.ejection_state = EjectionState::kProbing;
    record.probes_succeeded = 0;
    record.is_probe_in_flight = false;
  }
}

void OutlierDetector::Restart(OutlierRecord& record) {
  record.consecutive_failures = 0;
  record.failure_rate = 0;
  record.refusal_rate = 0;
  record.requests = 0;
  record.is_probe_in_flight = false;
  record.probes_succeeded = 0;
  if (record.ejection_state == EjectionState::kEjected) {
    record.ejection_state = EjectionState::kProbing;
  }
}

void OutlierDetector::Forget(OutlierRecord& record) {
  if (record.ejection_state != EjectionState::kNormal) {
    VERIFY(ejected_count_ > 0);
    --ejected_count_;
    record.ejection_state = EjectionState::kNormal;
  }
}

void OutlierDetector::Resize(std::span<OutlierRecord* const> records) {
  max_ejected_count_ =
      static_cast<std::size_t>(options_->max_ejected_share * static_cast<double>(records.size()));
  while (ejected_count_ > max_ejected_count_) {
    OutlierRecord* earliest = nullptr;
    for (OutlierRecord* record : records) {
      if (record->ejection_state != EjectionState::kNormal &&
          (earliest == nullptr || record->ejection_end < earliest->ejection_end)) {
        earliest = record;
      }
    }
    VERIFY(earliest != nullptr);
    Forget(*earliest);
  }
}

double OutlierDetector::Penalty(const OutlierRecord& record, base::TimePoint now) const {
  const double decay = DecayFactor(record, now);
  return 1.0 + decay * (options_->failure_penalty * record.failure_rate +
                        options_->refusal_penalty * record.refusal_rate);
}

void OutlierDetector::UpdateAverages(OutlierRecord& record, bool is_failure, bool is_refusal,
                                     base::TimePoint now) {
  const double decay = DecayFactor(record, now);
  const auto update_average = [&](double& rate, bool is_hit) {
    rate *= decay;
    rate += options_->sample_weight * ((is_hit ? 1.0 : 0.0) - rate);
  };
  update_average(record.failure_rate, is_failure);
  update_average(record.refusal_rate, is_refusal);
  record.requests = std::min(record.requests + 1, options_->min_requests);
  record.updated_at = now;
  service_failure_rate_ +=
      options_->service_sample_weight * ((is_failure ? 1.0 : 0.0) - service_failure_rate_);
}

double OutlierDetector::DecayFactor(const OutlierRecord& record, base::TimePoint now) const {
  const auto age =
      static_cast<double>(std::max<std::int64_t>((now - record.updated_at).count(), 0));
  return 1.0 / (1.0 + age / static_cast<double>(options_->failure_half_age.count()));
}

bool OutlierDetector::ShouldEject(const OutlierRecord& record) const {
  const bool is_failing =
      record.consecutive_failures >= options_->consecutive_failures ||
      (record.requests >= options_->min_requests && record.failure_rate >= options_->failure_rate);
  return is_failing && IsWorseThanService(record.failure_rate);
}

bool OutlierDetector::IsWorseThanService(double failure_rate) const {
  return failure_rate >= options_->service_ratio * service_failure_rate_;
}

void OutlierDetector::Eject(OutlierRecord& record, base::TimePoint now) const {
  if (record.ejection_count > 0 && record.ejection_state == EjectionState::kNormal &&
      now - record.reinstated_at > options_->ejection_reset_time) {
    record.ejection_count = 0;
  }
  base::Duration ejection_time = options_->initial_ejection_time;
  for (unsigned i = 0; i < record.ejection_count && ejection_time < options_->max_ejection_time;
       ++i) {
    ejection_time *= 2;
  }
  record.ejection_state = EjectionState::kEjected;
  record.ejection_end = now + std::min(ejection_time, options_->max_ejection_time);
  // When the whole service fails, a longer ejection would only delay its recovery.
  if (IsWorseThanService(1.0)) {
    ++record.ejection_count;
  }
  record.is_probe_in_flight = false;
}

void OutlierDetector::Reinstate(OutlierRecord& record, base::TimePoint now) {
  Forget(record);
  record.consecutive_failures = 0;
  record.requests = 0;
  record.failure_rate = 0;
  record.reinstated_at = now;
}

}  // namespace borageloft::routing
