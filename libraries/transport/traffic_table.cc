#include "libraries/transport/traffic_table.h"

#include <variant>

namespace borageloft::transport {

std::string_view NameOf(TrafficKind kind) {
  switch (kind) {
    case TrafficKind::kHandshake:
      return "handshake";
    case TrafficKind::kRequest:
      return "request";
    case TrafficKind::kCall:
      return "call";
    case TrafficKind::kResponse:
      return "response";
    case TrafficKind::kCancel:
      return "cancel";
    case TrafficKind::kKeepAlive:
      return "keep_alive";
    case TrafficKind::kReplication:
      return "replication";
    case TrafficKind::kMembership:
      return "membership";
    case TrafficKind::kDissemination:
      return "dissemination";
  }
  return "unknown";
}

TrafficKind KindOf(const wire::Frame& frame) {
  if (const auto* request = std::get_if<wire::Request>(&frame)) {
    return request->placement.origin == wire::RequestOrigin::kUpstream ? TrafficKind::kCall
                                                                       : TrafficKind::kRequest;
  }
  if (const auto* control = std::get_if<wire::Control>(&frame)) {
    switch (control->channel) {
      case wire::Channel::kReplication:
        return TrafficKind::kReplication;
      case wire::Channel::kMembership:
        return TrafficKind::kMembership;
      case wire::Channel::kDissemination:
        return TrafficKind::kDissemination;
    }
  }
  if (std::holds_alternative<wire::Response>(frame)) {
    return TrafficKind::kResponse;
  }
  if (std::holds_alternative<wire::Cancel>(frame)) {
    return TrafficKind::kCancel;
  }
  if (std::holds_alternative<wire::Hello>(frame)) {
    return TrafficKind::kHandshake;
  }
  return TrafficKind::kKeepAlive;
}

void TrafficTable::Add(TrafficKind kind, bool crosses_zones, std::uint64_t bytes) {
  Cells& cells = crosses_zones ? across_zones_ : within_zone_;
  cells.at(static_cast<std::size_t>(kind)).fetch_add(bytes, std::memory_order_relaxed);
}

TrafficCounters TrafficTable::counters() const {
  TrafficCounters counters;
  for (std::size_t kind = 0; kind < kTrafficKinds; ++kind) {
    counters.within_zone.at(kind) = within_zone_.at(kind).load(std::memory_order_relaxed);
    counters.across_zones.at(kind) = across_zones_.at(kind).load(std::memory_order_relaxed);
  }
  return counters;
}

}  // namespace borageloft::transport
