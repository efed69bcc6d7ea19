#include "libraries/http/cancellation.h"

#include <utility>

namespace borageloft::http {

void Cancellation::Cancel() {
  const std::scoped_lock lock(mutex_);
  if (is_cancelled_) {
    return;
  }
  is_cancelled_ = true;
  if (hook_) {
    hook_();
  }
}

bool Cancellation::is_cancelled() const {
  const std::scoped_lock lock(mutex_);
  return is_cancelled_;
}

void Cancellation::ReplaceHook(std::function<void()> hook) {
  const std::scoped_lock lock(mutex_);
  hook_ = std::move(hook);
  if (is_cancelled_ && hook_) {
    hook_();
  }
}

}  // namespace borageloft::http
