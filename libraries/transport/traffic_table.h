#ifndef BORAGELOFT_TRANSPORT_TRAFFIC_TABLE_H_
#define BORAGELOFT_TRANSPORT_TRAFFIC_TABLE_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "libraries/wire/wire.h"

namespace borageloft::transport {

/** What the bytes between two nodes are sent for. */
enum class TrafficKind : std::uint8_t {
  kHandshake,
  kRequest,  // Request of a caller.
  kCall,     // Request of an upstream.
  kResponse,
  kCancel,
  kKeepAlive,
  kReplication,
  kMembership,
  kDissemination,
};

constexpr std::size_t kTrafficKinds = 9;

/** @return Name of @p kind for metrics. */
std::string_view NameOf(TrafficKind kind);

/** @return Kind of traffic that @p frame is. */
TrafficKind KindOf(const wire::Frame& frame);

/** Bytes sent for each kind of traffic. */
using BytesByKind = std::array<std::uint64_t, kTrafficKinds>;

/** Bytes sent since the start, after compression. */
struct TrafficCounters {
  BytesByKind within_zone{};
  BytesByKind across_zones{};
};

/** Counts the bytes sent on all connections of a transport. Thread-safe and without locks. */
class TrafficTable {
 public:
  /** Counts @p bytes of @p kind; @p crosses_zones tells whether the link is between zones. */
  void Add(TrafficKind kind, bool crosses_zones, std::uint64_t bytes);

  TrafficCounters counters() const;

 private:
  using Cells = std::array<std::atomic<std::uint64_t>, kTrafficKinds>;

  Cells within_zone_{};
  Cells across_zones_{};
};

}  // namespace borageloft::transport

#endif  // BORAGELOFT_TRANSPORT_TRAFFIC_TABLE_H_
