#ifndef BORAGELOFT_NODE_NODE_H_
#define BORAGELOFT_NODE_NODE_H_

#include <memory>

#include "libraries/settings/settings.h"

namespace borageloft::node {

/** The addresses on which a started node listens. */
struct NodeEndpoints {
  settings::Endpoint callers;
  settings::Endpoint local;
  settings::Endpoint peers;
  settings::Endpoint operators;
};

/** One process of the system: everything that runs beside an upstream. */
class Node {
 public:
  /**
   * Starts the node.
   * @throws base::Error when an address, the token or the data folder cannot be used.
   */
  explicit Node(settings::NodeSettings settings);

  /** Stops at once what Drain() did not stop. */
  ~Node();

  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  const NodeEndpoints& endpoints() const;

  /**
   * Shuts down gracefully: refuses new work, lets requests in progress finish within the drain
   * timeout of the settings, and tells the control hosts.
   * @return Whether every request ended in time.
   */
  bool Drain();

 private:
  struct State;

  std::unique_ptr<State> state_;
};

}  // namespace borageloft::node

#endif  // BORAGELOFT_NODE_NODE_H_
