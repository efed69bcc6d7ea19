#ifndef BORAGELOFT_HTTP_CANCELLATION_H_
#define BORAGELOFT_HTTP_CANCELLATION_H_

#include <functional>
#include <mutex>

namespace borageloft::http {

/** Tells a running call, once, that nobody waits for its answer any more. Thread-safe. */
class Cancellation {
 public:
  /** Cancels the call. Later calls do nothing. */
  void Cancel();

  /** @return Whether Cancel() was called. */
  bool is_cancelled() const;

  /**
   * Sets the hook that stops the call; an empty one removes it. It runs at once when the call is
   * cancelled already. On return no earlier hook is running.
   */
  void ReplaceHook(std::function<void()> hook);

 private:
  // Held while the hook runs, so that the hook's owner can be destroyed after ReplaceHook({}).
  mutable std::mutex mutex_;
  bool is_cancelled_ = false;
  std::function<void()> hook_;
};

}  // namespace borageloft::http

#endif  // BORAGELOFT_HTTP_CANCELLATION_H_
