#ifndef BORAGELOFT_REQUEST_PATH_SLOWNESS_TRACKER_H_
#define BORAGELOFT_REQUEST_PATH_SLOWNESS_TRACKER_H_

#include <array>
#include <cstdint>
#include <set>

#include "libraries/base/base.h"
#include "libraries/wire/wire.h"

namespace borageloft::request_path {

/**
 * Measures by how much an upstream is slower than usual. Its gate reports this, so that nodes that
 * have not sent it requests lately learn of a slowdown. Requests of callers and calls of upstreams
 * are tracked separately, since their service times differ and their mix changes.
 *
 * The load that this answers: some upstreams of a service become many times slower at once. Their
 * requests then end only at their time limit, so the times of ended requests tell of the slowdown
 * seconds too late. The tracker therefore also compares how many requests ended with how many would
 * have at the usual speed, given how many have run for longer than usual. Not thread-safe.
 */
class SlownessTracker {
 public:
  /** Records that a request was given to the upstream. */
  void RecordStart(wire::RequestOrigin origin, base::TimePoint now);

  /** Records the service time of a request that ended. */
  void RecordEnd(wire::RequestOrigin origin, base::Duration took, base::TimePoint now);

  /** Records that a request was cancelled after @p took; it would have taken longer. */
  void RecordCancelled(wire::RequestOrigin origin, base::Duration took, base::TimePoint now);

  /** Records that a request ended without an answer of the upstream that tells its speed. */
  void RecordDropped(wire::RequestOrigin origin, base::Duration took, base::TimePoint now);

  /**
   * @return Slowdown in powers of two, 0 to kMaxSteps. Decreases by one for each second without a
   *     record, so that a slow upstream without requests is tried again.
   */
  std::uint32_t Steps(base::TimePoint now) const;

  static constexpr std::uint32_t kMaxSteps = 3;

 private:
  struct Track {
    double recent_ms = 0;
    double baseline_ms =
        0;  // Usual service time; follows `recent_ms` quickly downwards and slowly upwards.
    std::uint32_t records = 0;
    base::TimePoint recorded_at{};
    std::multiset<base::TimePoint> running;  // When the requests that run were started.
    // Requests that would have ended lately at the usual speed, and those that did. Both fade.
    double expected_ends = 0;
    double ends = 0;
    base::TimePoint counted_at{};
  };

  static void Learn(Track& track, double took_ms, base::TimePoint now);
  static void Count(Track& track, base::TimePoint now);
  static std::uint32_t StepsOf(const Track& track, base::TimePoint now);
  static std::uint32_t StepsOfRunning(Track track, base::TimePoint now);
  static std::size_t CountDue(const Track& track, base::TimePoint now);
  Track& TrackOf(wire::RequestOrigin origin) {
    return tracks_[origin == wire::RequestOrigin::kUpstream ? 1 : 0];
  }

  std::array<Track, 2> tracks_;
};

}  // namespace borageloft::request_path

#endif  // BORAGELOFT_REQUEST_PATH_SLOWNESS_TRACKER_H_
