#ifndef BORAGELOFT_NODE_LEDGER_LAYOUT_H_
#define BORAGELOFT_NODE_LEDGER_LAYOUT_H_

#include <string>
#include <vector>

#include "libraries/settings/settings.h"

namespace borageloft::node {

/** One ledger group and the control hosts that vote in it. */
struct LedgerGroupHosts {
  std::string name;
  std::string region;
  std::vector<std::string> hosts;
};

/**
 * Divides the control hosts of each region into ledger groups. Hosts take part in more than one
 * group when the region has too few for groups of their own. The result depends only on the set of
 * control peers and on the number of groups, so that all nodes agree.
 */
std::vector<LedgerGroupHosts> LayOutLedgerGroups(const settings::NodeSettings& settings);

}  // namespace borageloft::node

#endif  // BORAGELOFT_NODE_LEDGER_LAYOUT_H_
