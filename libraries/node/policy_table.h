#ifndef BORAGELOFT_NODE_POLICY_TABLE_H_
#define BORAGELOFT_NODE_POLICY_TABLE_H_

#include <functional>
#include <memory>
#include <vector>

#include "libraries/base/base.h"
#include "libraries/notes/notes.h"

namespace borageloft::node {

/** The policy in force on this node. Thread-safe; a policy that was handed out never changes. */
class PolicyTable {
 public:
  /**
   * Runs after a policy came into force. Of all locks only the one of the dissemination table may
   * be held, so a listener must not call that table.
   */
  using Listener = std::function<void(const notes::Policy& policy)>;

  PolicyTable();

  /** @return The policy in force. */
  std::shared_ptr<const notes::Policy> current() const;

  /** Adds a listener. Call it before the first Replace(). */
  void AddListener(Listener listener);

  /**
   * Puts a policy in force.
   * @return Whether it was newer; an older or equal one changes nothing.
   */
  bool Replace(notes::Policy policy);

 private:
  mutable base::RankedMutex mutex_{base::LockRank::kPolicy};
  std::shared_ptr<const notes::Policy> policy_;
  std::vector<Listener> listeners_;
};

}  // namespace borageloft::node

#endif  // BORAGELOFT_NODE_POLICY_TABLE_H_
