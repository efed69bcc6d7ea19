#include "libraries/retry/join_table.h"

#include <algorithm>

#include "libraries/retry/retry_error.h"

namespace borageloft::retry {

JoinVerdict JoinTable::Join(const JoinKey& key, WaiterId waiter) {
  const auto found = groups_.find(key);
  if (found == groups_.end()) {
    if (groups_.size() >= max_groups_) {
      return JoinVerdict::kAlone;
    }
    groups_.emplace(key, Group{waiter, {}});
    return JoinVerdict::kLead;
  }
  Group& group = found->second;
  if (group.lead == waiter || std::ranges::count(group.waiters, waiter) > 0) {
    throw RetryError("the request has already joined or leads this lookup");
  }
  if (group.waiters.size() >= max_waiters_) {
    return JoinVerdict::kAlone;
  }
  group.waiters.push_back(waiter);
  return JoinVerdict::kJoined;
}

std::vector<WaiterId> JoinTable::Complete(const JoinKey& key, WaiterId lead) {
  const auto found = groups_.find(key);
  if (found == groups_.end() || found->second.lead != lead) {
    throw RetryError("the request does not lead a running lookup with this key");
  }
  std::vector<WaiterId> waiters = std::move(found->second.waiters);
  groups_.erase(found);
  return waiters;
}

bool JoinTable::Leave(const JoinKey& key, WaiterId waiter) {
  const auto found = groups_.find(key);
  return found != groups_.end() && std::erase(found->second.waiters, waiter) > 0;
}

}  // namespace borageloft::retry
