#include "libraries/declaration/route_table.h"

#include <algorithm>
#include <utility>

namespace borageloft::declaration {

RouteEntry::RouteEntry(Route route, const base::Random& random)
    : route_(std::move(route)), steps_to_start_(base::DrawBelow(random, kStartPositions)) {
  for (const WeightedService& target : route_.targets) {
    weight_sum_ += target.weight;
  }
  current_weights_.assign(route_.targets.size(), 0);
}

const std::string& RouteEntry::NextService() {
  if (route_.targets.size() > 1) {
    for (; steps_to_start_ > 0; --steps_to_start_) {
      Advance();
    }
  }
  return Advance();
}

const std::string& RouteEntry::Advance() {
  std::size_t best = current_weights_.size();
  for (std::size_t i = 0; i < current_weights_.size(); ++i) {
    if (route_.targets[i].weight <= 0) {
      continue;
    }
    current_weights_[i] += route_.targets[i].weight;
    if (best == current_weights_.size() || current_weights_[i] > current_weights_[best]) {
      best = i;
    }
  }
  VERIFY(best < current_weights_.size());
  current_weights_[best] -= weight_sum_;
  return route_.targets[best].service;
}

PriorityRanks::PriorityRanks(const Declaration& declaration) {
  for (const Route& route : declaration.routes) {
    ordered_.emplace_back(route.priority, route.priority);
    for (const ClientAccount& account : AccountsOf(declaration)) {
      ordered_.emplace_back(account.priority.value_or(route.priority), route.priority);
    }
    std::sort(ordered_.begin(), ordered_.end());
    ordered_.erase(std::unique(ordered_.begin(), ordered_.end()), ordered_.end());
  }
}

std::uint32_t PriorityRanks::RankOf(std::optional<std::uint32_t> account,
                                    std::uint32_t route) const {
  const Priorities priorities(account.value_or(route), route);
  const auto found = std::lower_bound(ordered_.begin(), ordered_.end(), priorities);
  return static_cast<std::uint32_t>(found - ordered_.begin());
}

RouteTable::RouteTable(const Declaration& declaration, const base::Random& random) {
  for (const Route& route : declaration.routes) {
    hosts_[NormalizeHost(route.host)].emplace(route.path_prefix, RouteEntry(route, random));
    ++size_;
  }
}

RouteEntry* RouteTable::Find(std::string_view host, std::string_view target) {
  host = host.substr(0, host.find(':'));
  const auto found = hosts_.find(NormalizeHost(host));
  if (found == hosts_.end()) {
    return nullptr;
  }
  std::string_view path = target.substr(0, target.find('?'));
  // Every prefix ends with a slash, so only the parts of the path that end with a slash can match.
  for (std::size_t end = path.rfind('/'); end != std::string_view::npos;) {
    const auto entry = found->second.find(path.substr(0, end + 1));
    if (entry != found->second.end()) {
      return &entry->second;
    }
    if (end == 0) {
      break;
    }
    end = path.rfind('/', end - 1);
  }
  return nullptr;
}

}  // namespace borageloft::declaration
