#ifndef BORAGELOFT_TIMER_TIMER_SERVICE_H_
#define BORAGELOFT_TIMER_TIMER_SERVICE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <utility>

#include "libraries/base/base.h"

namespace borageloft::timer {

/** Called when a subscription is due, with the time that the service read. */
using Callback = std::function<void(base::TimePoint now)>;

/** Names one subscription. */
enum class SubscriptionId : std::uint64_t {};

/**
 * Timer service that parts subscribe to. It starts no thread: a driver calls RunDue() whenever
 * NextDue() has passed, so tests drive it from a manual clock. Thread-safe; callbacks run on the
 * driver's thread with no lock held.
 */
class TimerService {
 public:
  /** @param clock Source of time. */
  explicit TimerService(base::Clock clock) : clock_(std::move(clock)) {}

  /** Calls @p callback once, @p delay from now. @return The subscription. */
  SubscriptionId SubscribeOnce(base::Duration delay, Callback callback);

  /**
   * Calls @p callback every @p interval, for the first time one interval from now. Missed rounds
   * are not made up for, so that a stalled driver causes no burst.
   * @return The subscription.
   */
  SubscriptionId SubscribeEvery(base::Duration interval, Callback callback);

  /** Ends a subscription. A callback that is running on another thread may still finish. */
  void Unsubscribe(SubscriptionId id);

  /** @return When the next callback is due, or nothing without subscriptions. */
  std::optional<base::TimePoint> NextDue() const;

  /** Runs all callbacks that are due. @return How many ran. */
  std::size_t RunDue();

 private:
  struct Subscription {
    base::TimePoint due;
    base::Duration interval;  // Zero for a single call.
    Callback callback;
  };

  SubscriptionId Add(base::Duration delay, base::Duration interval, Callback callback);
  std::optional<Callback> TakeDue(base::TimePoint now);

  base::Clock clock_;
  // Outside the ranked order: it is held for single table operations only, never across a call.
  mutable std::mutex mutex_;
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, Subscription> subscriptions_;
  std::set<std::pair<base::TimePoint, std::uint64_t>> schedule_;
};

}  // namespace borageloft::timer

#endif  // BORAGELOFT_TIMER_TIMER_SERVICE_H_
