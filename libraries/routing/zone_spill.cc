#include "libraries/routing/zone_spill.h"

namespace borageloft::routing {

ZoneSpill::ZoneSpill(std::string own_zone, const ZoneOptions& options) : options_(&options) {
  zones_.push_back({std::move(own_zone), base::Duration::zero(), false, 0});
}

ZoneSpill::ZoneIndex ZoneSpill::IndexOf(std::string_view zone) {
  for (std::size_t i = 0; i < zones_.size(); ++i) {
    if (zones_[i].name == zone) {
      return ZoneIndex{i};
    }
  }
  zones_.push_back({std::string(zone), options_->initial_round_trip, false, 0});
  return ZoneIndex{zones_.size() - 1};
}

void ZoneSpill::RecordRoundTrip(std::string_view zone, base::Duration round_trip) {
  Zone& entry = zones_[static_cast<std::size_t>(IndexOf(zone))];
  if (entry.is_measured) {
    const auto change = static_cast<double>((round_trip - entry.round_trip).count());
    entry.round_trip += base::Duration(static_cast<std::int64_t>(change * options_->sample_weight));
  } else {
    entry.round_trip = round_trip;
    entry.is_measured = true;
  }
}

base::Duration ZoneSpill::RoundTrip(ZoneIndex zone) const {
  return zones_.at(static_cast<std::size_t>(zone)).round_trip;
}

bool ZoneSpill::ShouldSpill(base::Duration own, base::Duration other) const {
  return static_cast<double>(other.count()) <
         static_cast<double>(own.count()) * (1.0 - options_->margin);
}

void ZoneSpill::CountRequest(ZoneIndex zone) {
  ++zones_.at(static_cast<std::size_t>(zone)).requests;
}

std::vector<ZoneCount> ZoneSpill::counts() const {
  std::vector<ZoneCount> counts;
  counts.reserve(zones_.size());
  for (const Zone& zone : zones_) {
    counts.push_back({zone.name, zone.requests});
  }
  return counts;
}

std::uint64_t ZoneSpill::cross_zone_requests() const {
  std::uint64_t requests = 0;
  for (std::size_t i = 1; i < zones_.size(); ++i) {
    requests += zones_[i].requests;
  }
  return requests;
}

}  // namespace borageloft::routing
