#ifndef BORAGELOFT_NODE_LEDGER_CONTROL_H_
#define BORAGELOFT_NODE_LEDGER_CONTROL_H_

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "libraries/ledger/ledger.h"
#include "libraries/node/control_group.h"
#include "libraries/node/node_services.h"

namespace borageloft::node {

/** The ledger groups that this control host votes in. Thread-safe. */
class LedgerControl {
 public:
  LedgerControl(const NodeServices& services, const storage::DataFolder& folder, GroupHub& hub);

  /** Takes part in the groups. */
  void Start();

  /** Call it every 10 ms. */
  void Tick();

  /** @return State of each group of this host, by its name. */
  std::map<std::string, ControlGroupStatus> status() const;

 private:
  struct Member {
    // Used only through the hooks of the state machine, which one thread calls at a time.
    ledger::LedgerState state;
    // Last, so that it stops before the state that it applies to is gone.
    std::unique_ptr<ControlGroup> group;
  };

  std::optional<std::string> Prepare(const std::string& command) const;

  const NodeServices& services_;
  std::map<std::string, std::unique_ptr<Member>> members_;
};

}  // namespace borageloft::node

#endif  // BORAGELOFT_NODE_LEDGER_CONTROL_H_
