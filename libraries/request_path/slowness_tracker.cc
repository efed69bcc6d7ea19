#include "libraries/request_path/slowness_tracker.h"

#include <algorithm>
#include <cmath>
#include <numbers>

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
// Half-life of the counts of ended and expected requests. A few times the usual service time of
// most upstreams, and well below the time limits of their requests.
constexpr std::chrono::milliseconds kCountHalfLife{400};
// Share of the usual time after which a request that still runs is expected to end.
constexpr double kDueFactor = 0.25;
// The slowdown decreases by one step per this time without a record.
constexpr std::chrono::seconds kStepDecayTime{1};

double Milliseconds(base::Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace

void SlownessTracker::RecordStart(wire::RequestOrigin origin, base::TimePoint now) {
  Track& track = TrackOf(origin);
  Count(track, now);
  track.running.insert(now);
}

void SlownessTracker::RecordEnd(wire::RequestOrigin origin, base::Duration took,
                                base::TimePoint now) {
  Track& track = TrackOf(origin);
  RecordDropped(origin, took, now);
  ++track.ends;
  Learn(track, Milliseconds(took), now);
}

void SlownessTracker::RecordCancelled(wire::RequestOrigin origin, base::Duration took,
                                      base::TimePoint now) {
  Track& track = TrackOf(origin);
  RecordDropped(origin, took, now);
  if (Milliseconds(took) > track.recent_ms) {
    Learn(track, Milliseconds(took), now);
  }
}

void SlownessTracker::RecordDropped(wire::RequestOrigin origin, base::Duration took,
                                    base::TimePoint now) {
  Track& track = TrackOf(origin);
  Count(track, now);
  if (const auto started = track.running.find(now - took); started != track.running.end()) {
    track.running.erase(started);
  }
}

void SlownessTracker::Learn(Track& track, double took_ms, base::TimePoint now) {
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

void SlownessTracker::Count(Track& track, base::TimePoint now) {
  const double half_lives = std::chrono::duration<double>(now - track.counted_at) /
                            std::chrono::duration<double>(kCountHalfLife);
  const double kept = std::exp2(-std::max(0.0, half_lives));
  const double running_ms = static_cast<double>(CountDue(track, now)) * (1 - kept) *
                            Milliseconds(kCountHalfLife) / std::numbers::ln2;
  track.expected_ends =
      kept * track.expected_ends + (track.baseline_ms > 0 ? running_ms / track.baseline_ms : 0);
  track.ends *= kept;
  track.counted_at = now;
}

// Requests that have only just started cannot be expected to have ended. They would make
// a burst look like a slowdown.
std::size_t SlownessTracker::CountDue(const Track& track, base::TimePoint now) {
  const auto usual = std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double, std::milli>(kDueFactor * track.baseline_ms));
  return static_cast<std::size_t>(
      std::distance(track.running.begin(), track.running.lower_bound(now - usual)));
}

// One request more on both sides keeps a few requests from telling anything.
std::uint32_t SlownessTracker::StepsOfRunning(Track track, base::TimePoint now) {
  Count(track, now);
  const double slowdown = (track.expected_ends + 1) / (track.ends + 1);
  return static_cast<std::uint32_t>(std::clamp<double>(std::log2(slowdown), 0, kMaxSteps));
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
      most = std::max({most, StepsOf(track, now), StepsOfRunning(track, now)});
    }
  }
  return most;
}

}  // namespace borageloft::request_path
