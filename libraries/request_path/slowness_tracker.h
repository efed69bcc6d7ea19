#ifndef BORAGELOFT_REQUEST_PATH_SLOWNESS_TRACKER_H_
#define BORAGELOFT_REQUEST_PATH_SLOWNESS_TRACKER_H_

#include <array>
#include <cstdint>

#include "libraries/base/base.h"
#include "libraries/wire/wire.h"

namespace borageloft::request_path {

/**
 * Tells by how much an upstream has become slower than it usually is, so that nodes that have not
 * sent it anything lately learn of it from its gate. Requests of callers and calls of upstreams are
 * told apart, since their work differs and their mix changes. Not thread-safe.
 */
class SlownessTracker {
 public:
  /** Records the service time of a request that ended. */
  void RecordEnd(wire::RequestOrigin origin, base::Duration took, base::TimePoint now);

  /** Records that a request was given up after @p took; it would have taken longer. */
  void RecordGivenUp(wire::RequestOrigin origin, base::Duration took, base::TimePoint now);

  /**
   * @return Slowdown in powers of two, 0 to kMostSteps. Falls by one for each second without a
   *     record, so that a slow upstream that gets no work is tried again.
   */
  std::uint32_t Steps(base::TimePoint now) const;

  static constexpr std::uint32_t kMostSteps = 3;

 private:
  struct Track {
    double recent_ms = 0;
    double usual_ms = 0;  // Follows `recent_ms` down soon, and up slowly.
    std::uint32_t records = 0;
    base::TimePoint recorded_at{};
  };

  static std::uint32_t StepsOf(const Track& track, base::TimePoint now);
  Track& TrackOf(wire::RequestOrigin origin) {
    return tracks_[origin == wire::RequestOrigin::kUpstream ? 1 : 0];
  }

  std::array<Track, 2> tracks_;
};

}  // namespace borageloft::request_path

#endif  // BORAGELOFT_REQUEST_PATH_SLOWNESS_TRACKER_H_
