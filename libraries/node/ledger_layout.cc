#include "libraries/node/ledger_layout.h"

#include <fmt/format.h>

#include <map>
#include <set>

namespace borageloft::node {

namespace {

constexpr std::size_t kSmallGroup = 3;
constexpr std::size_t kLargeGroup = 5;

// Five hosts outlast two failures, but are worth it only where no host serves two groups for it.
std::size_t GroupSize(std::size_t hosts, std::size_t groups) {
  if (hosts >= kLargeGroup * groups) {
    return kLargeGroup;
  }
  return hosts >= kSmallGroup ? kSmallGroup : hosts;
}

}  // namespace

std::vector<LedgerGroupHosts> LayOutLedgerGroups(const settings::NodeSettings& settings) {
  std::map<std::string, std::set<std::string>> regions;
  for (const settings::ControlPeer& peer : settings.control_peers) {
    regions[peer.region].insert(peer.node);
  }
  const auto groups = static_cast<std::size_t>(settings.ledger_groups);
  std::vector<LedgerGroupHosts> layout;
  for (const auto& [region, names] : regions) {
    const std::vector<std::string> hosts(names.begin(), names.end());
    const std::size_t size = GroupSize(hosts.size(), groups);
    for (std::size_t group = 0; group < groups; ++group) {
      LedgerGroupHosts entry{fmt::format("ledger-{}-{}", region, group + 1), region, {}};
      for (std::size_t place = 0; place < size; ++place) {
        entry.hosts.push_back(hosts[(group * size + place) % hosts.size()]);
      }
      layout.push_back(std::move(entry));
    }
  }
  return layout;
}

}  // namespace borageloft::node
