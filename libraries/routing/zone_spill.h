#ifndef BORAGELOFT_ROUTING_ZONE_SPILL_H_
#define BORAGELOFT_ROUTING_ZONE_SPILL_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/base.h"
#include "libraries/routing/routing_options.h"

namespace borageloft::routing {

/** Number of requests sent to an availability zone. */
struct ZoneCount {
  std::string zone;
  std::uint64_t requests = 0;
};

/**
 * Decides when requests spill over to another availability zone: when an upstream of this node's
 * zone is expected to take longer than one of another zone, including the round trip to it. Counts
 * requests by zone. Not thread-safe.
 */
class ZoneSpill {
 public:
  /** Index of a zone within this object. */
  enum class ZoneIndex : std::size_t {};

  /** @param own_zone This node's availability zone. @param options Must outlive this object. */
  ZoneSpill(std::string own_zone, const ZoneOptions& options);

  /** @return Index of @p zone, which is added if it is new. */
  ZoneIndex IndexOf(std::string_view zone);

  /** Adds a measured round-trip time to @p zone. */
  void RecordRoundTrip(std::string_view zone, base::Duration round_trip);

  /** @return Average round-trip time to @p zone; 0 for this node's own before it is measured. */
  base::Duration RoundTrip(ZoneIndex zone) const;

  /** @return Whether @p zone is this node's own zone. */
  static bool IsOwn(ZoneIndex zone) { return zone == kOwnZone; }

  /**
   * @param own Estimated time of the best compared upstream in this node's zone.
   * @param other Estimated time of the best one in other zones, including the round trip.
   * @return Whether the request should be sent to another zone.
   */
  bool ShouldSpill(base::Duration own, base::Duration other) const;

  /** Counts a request sent to @p zone. */
  void CountRequest(ZoneIndex zone);

  /** @return Number of requests by zone, this node's own zone first. */
  std::vector<ZoneCount> counts() const;

  /** @return Number of requests sent to other zones. */
  std::uint64_t cross_zone_requests() const;

 private:
  static constexpr ZoneIndex kOwnZone{0};

  struct Zone {
    std::string name;
    base::Duration round_trip{0};
    bool is_measured = false;
    std::uint64_t requests = 0;
  };

  const ZoneOptions* options_;
  std::vector<Zone> zones_;
};

}  // namespace borageloft::routing

#endif  // BORAGELOFT_ROUTING_ZONE_SPILL_H_
