#include "libraries/membership/messages.h"

namespace borageloft::membership {

bool IsAllowedTransition(const NodeRecord& current, const NodeRecord& next) {
  if (next.stamp.incarnation != current.stamp.incarnation) {
    return next.stamp.incarnation > current.stamp.incarnation;
  }
  if (next.node_state < current.node_state) {
    return false;
  }
  if (!current.upstream.has_value() || !next.upstream.has_value()) {
    return true;
  }
  if (next.upstream->announcement != current.upstream->announcement) {
    return next.upstream->announcement > current.upstream->announcement;
  }
  return next.upstream->state >= current.upstream->state;
}

}  // namespace borageloft::membership
