#include "libraries/routing/stable_subset.h"

#include <algorithm>
#include <cmath>

namespace borageloft::routing {

StableSubset::StableSubset(std::string_view node, std::string zone, const SubsetOptions& options)
    : seed_(base::Hash(node)), zone_(std::move(zone)), options_(options) {}

std::vector<const UpstreamView*> StableSubset::Select(std::span<const UpstreamView> members) const {
  std::vector<Candidate> own;
  std::vector<Candidate> other;
  for (const UpstreamView& view : members) {
    if (view.state == UpstreamState::kServing) {
      (view.zone == zone_ ? own : other).push_back({Score(view), &view});
    }
  }
  const auto own_places = static_cast<std::size_t>(
      std::lround(options_.own_zone_share * static_cast<double>(options_.size)));
  // Places that the upstreams of one part do not fill go to the other part.
  const std::size_t other_places =
      std::min(other.size(), options_.size - std::min(own_places, own.size()));
  KeepBest(own, options_.size - other_places);
  KeepBest(other, other_places);
  std::vector<const UpstreamView*> subset;
  subset.reserve(own.size() + other.size());
  for (const auto* part : {&own, &other}) {
    for (const Candidate& candidate : *part) {
      subset.push_back(candidate.view);
    }
  }
  return subset;
}

double StableSubset::Score(const UpstreamView& view) const {
  // Weighted rendezvous hashing: among exponentially distributed values with rate `slots`, each
  // candidate's is the smallest with a probability proportional to its slots.
  const double draw =
      (static_cast<double>(base::Hash(view.id.value, seed_) >> 11U) + 0.5) * 0x1.0p-53;
  return -std::log(draw) / static_cast<double>(std::max(view.slots, 1U));
}

void StableSubset::KeepBest(std::vector<Candidate>& candidates, std::size_t count) {
  const std::size_t kept = std::min(count, candidates.size());
  const auto middle = candidates.begin() + static_cast<std::ptrdiff_t>(kept);
  std::partial_sort(candidates.begin(), middle, candidates.end(),
                    [](const Candidate& a, const Candidate& b) {
                      return a.score != b.score ? a.score < b.score : a.view->id < b.view->id;
                    });
  candidates.resize(kept);
}

}  // namespace borageloft::routing
