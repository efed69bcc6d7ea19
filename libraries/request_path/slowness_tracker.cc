#include "libraries/request_path/slowness_tracker.h"

#include <algorithm>
#include <cmath>

namespace borageloft::request_path {

namespace {

// Weight of one request in the recent time: about ten decide, which is less than a second of work.
constexpr double kRecentWeight = 0.1;
// Weight of the recent time in the usual one. A trouble of seconds hardly raises it.
constexpr double kFallingWeight = 0.05;
constexpr double kRisingWeight = 0.0005;
// Requests before there is a usual time.
constexpr std::uint32_t kLeastRecords = 20;
// Time without a record after which the slowdown counts for one step less.
constexpr std::chrono::seconds kStepLife{1};

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
    track.usual_ms = took_ms;
  }
  // What was forgotten while nothing came stays forgotten.
  const double ceiling = track.usual_ms * std::exp2(StepsOf(track, now) + 1);
  track.recent_ms = std::min(track.recent_ms, ceiling);
  track.recent_ms += kRecentWeight * (took_ms - track.recent_ms);
  const bool is_settled = track.records >= kLeastRecords;
  const double weight =
      track.recent_ms < track.usual_ms || !is_settled ? kFallingWeight : kRisingWeight;
  track.usual_ms += weight * (track.recent_ms - track.usual_ms);
  track.records += is_settled ? 0 : 1;
  track.recorded_at = now;
}

void SlownessTracker::RecordGivenUp(wire::RequestOrigin origin, base::Duration took,
                                    base::TimePoint now) {
  if (Milliseconds(took) > TrackOf(origin).recent_ms) {
    RecordEnd(origin, took, now);
  }
}

std::uint32_t SlownessTracker::StepsOf(const Track& track, base::TimePoint now) {
  if (track.records < kLeastRecords || track.usual_ms <= 0) {
    return kMostSteps;
  }
  const double steps = std::log2(std::max(1.0, track.recent_ms / track.usual_ms));
  const auto whole = static_cast<std::uint32_t>(std::min<double>(steps, kMostSteps));
  const auto forgotten = static_cast<std::uint32_t>(
      std::clamp<std::int64_t>((now - track.recorded_at) / kStepLife, 0, kMostSteps));
  return whole - std::min(whole, forgotten);
}

std::uint32_t SlownessTracker::Steps(base::TimePoint now) const {
  std::uint32_t most = 0;
  for (const Track& track : tracks_) {
    if (track.records >= kLeastRecords) {
      most = std::max(most, StepsOf(track, now));
    }
  }
  return most;
}

}  // namespace borageloft::request_path
