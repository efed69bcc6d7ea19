#include "libraries/request_path/slowness_tracker.h"

#include <algorithm>
#include <cmath>

namespace borageloft::request_path {

namespace {

// Weight of one request in the recent time: about ten requests determine it, which is less than a
// second of work.
constexpr double kRecentWeight = 0.1;
// Weights of the recent time in the baseline when it falls or rises. A slowdown of some seconds
// hardly raises the baseline.
constexpr double kFallingWeight = 0.05;
constexpr double kRisingWeight = 0.0005;
// Requests required before the baseline is valid.
constexpr std::uint32_t kMinRecords = 20;
// The slowdown decreases by one step per this time without a record.
constexpr std::chrono::seconds kStepDecayTime{1};

double Milliseconds(base::Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace

void SlownessTracker::RecordEnd(wire::RequestOrigin origin, base::Duration took,
                                base::TimePoint now) {
  Track& track = TrackOf(origin);
  const double took_ms = Milliseconds(took);
  if (track.records == 0) {
    track.recent_ms = took_ms;
    track.baseline_ms = took_ms;
  }
  // A slowdown that has decayed without records stays decayed.
  const double ceiling = track.baseline_ms * std::exp2(StepsOf(track, now) + 1);
  track.recent_ms = std::min(track.recent_ms, ceiling);
  track.recent_ms += kRecentWeight * (took_ms - track.recent_ms);
  const bool is_settled = track.records >= kMinRecords;
  const double weight =
      track.recent_ms < track.baseline_ms || !is_settled ? kFallingWeight : kRisingWeight;
  track.baseline_ms += weight * (track.recent_ms - track.baseline_ms);
  track.records += is_settled ? 0 : 1;
  track.recorded_at = now;
}

void SlownessTracker::RecordCancelled(wire::RequestOrigin origin, base::Duration took,
                                      base::TimePoint now) {
  if (Milliseconds(took) > TrackOf(origin).recent_ms) {
    RecordEnd(origin, took, now);
  }
}

std::uint32_t SlownessTracker::StepsOf(const Track& track, base::TimePoint now) {
  if (track.records < kMinRecords || track.baseline_ms <= 0) {
    return kMaxSteps;
  }
  const double steps = std::log2(std::max(1.0, track.recent_ms / track.baseline_ms));
  const auto whole_steps = static_cast<std::uint32_t>(std::min<double>(steps, kMaxSteps));
  const auto decayed = static_cast<std::uint32_t>(
      std::clamp<std::int64_t>((now - track.recorded_at) / kStepDecayTime, 0, kMaxSteps));
  return whole_steps - std::min(whole_steps, decayed);
}

std::uint32_t SlownessTracker::Steps(base::TimePoint now) const {
  std::uint32_t most = 0;
  for (const Track& track : tracks_) {
    if (track.records >= kMinRecords) {
      most = std::max(most, StepsOf(track, now));
    }
  }
  return most;
}

}  // namespace borageloft::request_path
