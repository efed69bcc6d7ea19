#include "libraries/node/policy_table.h"

#include <utility>

namespace borageloft::node {

PolicyTable::PolicyTable() : policy_(std::make_shared<notes::Policy>()) {}

std::shared_ptr<const notes::Policy> PolicyTable::current() const {
  const std::scoped_lock lock(mutex_);
  return policy_;
}

void PolicyTable::AddListener(Listener listener) {
  const std::scoped_lock lock(mutex_);
  listeners_.push_back(std::move(listener));
}

bool PolicyTable::Replace(notes::Policy policy) {
  auto next = std::make_shared<const notes::Policy>(std::move(policy));
  std::vector<Listener> listeners;
  {
    const std::scoped_lock lock(mutex_);
    if (next->number() <= policy_->number()) {
      return false;
    }
    policy_ = next;
    listeners = listeners_;
  }
  base::Log(base::LogLevel::kInfo, "note_in_force",
            {{"number", static_cast<Json::UInt64>(next->number())}});
  for (const Listener& listener : listeners) {
    listener(*next);
  }
  return true;
}

}  // namespace borageloft::node
