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

/** Requests sent to one availability zone. */
struct ZoneCount {
  std::string zone;
  std::uint64_t requests = 0;
};

/**
 * Decides when requests leave this node's availability zone: when an upstream there is expected
 * to take longer than one of another zone with its link. Counts requests by zone. Not thread-safe.
 */
class ZoneSpill {
 public:
  /** Names a zone within this object. */
  enum class ZoneIndex : std::size_t {};

  /** @param own_zone This node's availability zone. @param options Must outlive this object. */
  ZoneSpill(std::string own_zone, const ZoneOptions& options);

  /** @return Index of a zone, which is added if it is new. */
  ZoneIndex IndexOf(std::string_view zone);

  /** Adds a measured round trip to a zone. */
  void RecordRoundTrip(std::string_view zone, base::Duration round_trip);

  /** @return Average round trip to a zone; 0 to the own zone before it is measured. */
  base::Duration RoundTrip(ZoneIndex zone) const;

  /** @return Whether @p zone is this node's own. */
  static bool IsOwn(ZoneIndex zone) { return zone == kOwnZone; }

  /**
   * @param own Estimated time of the best own upstream that was compared.
   * @param other The same of other zones, with the link.
   * @return Whether the request should leave the zone.
   */
  bool ShouldSpill(base::Duration own, base::Duration other) const;

  /** Counts a request sent to a zone. */
  void Count(ZoneIndex zone);

  /** @return Requests by zone, the own zone first. */
  std::vector<ZoneCount> counts() const;

  /** @return Requests sent to other zones. */
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
