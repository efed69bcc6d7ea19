#ifndef BORAGELOFT_NODE_ATTEMPT_WAITER_H_
#define BORAGELOFT_NODE_ATTEMPT_WAITER_H_

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

#include "libraries/transport/transport.h"

namespace borageloft::node {

/** End of one attempt. */
struct AttemptEnd {
  std::size_t attempt = 0;
  transport::CallResult result;
};

/** Hands the ends of attempts from transport threads to the thread that waits. Thread-safe. */
class AttemptWaiter {
 public:
  /** Adds the end of an attempt. */
  void Add(std::size_t attempt, transport::CallResult result) {
    const std::scoped_lock lock(mutex_);
    ends_.push_back({attempt, std::move(result)});
    changed_.notify_one();
  }

  /** @return The next end, or nothing when none arrived until @p until. */
  std::optional<AttemptEnd> WaitUntil(base::TimePoint until) {
    std::unique_lock lock(mutex_);
    if (!changed_.wait_until(lock, until, [this] { return !ends_.empty(); })) {
      return std::nullopt;
    }
    AttemptEnd end = std::move(ends_.front());
    ends_.pop_front();
    return end;
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<AttemptEnd> ends_;
};

}  // namespace borageloft::node

#endif  // BORAGELOFT_NODE_ATTEMPT_WAITER_H_
