#include "libraries/timer/timer_service.h"

#include <exception>

namespace borageloft::timer {

SubscriptionId TimerService::SubscribeOnce(base::Duration delay, Callback callback) {
  return Add(delay, base::Duration::zero(), std::move(callback));
}

SubscriptionId TimerService::SubscribeEvery(base::Duration interval, Callback callback) {
  VERIFY(interval > base::Duration::zero());
  return Add(interval, interval, std::move(callback));
}

void TimerService::Unsubscribe(SubscriptionId id) {
  const std::scoped_lock lock(mutex_);
  const auto found = subscriptions_.find(static_cast<std::uint64_t>(id));
  if (found == subscriptions_.end()) {
    return;
  }
  schedule_.erase({found->second.due, found->first});
  subscriptions_.erase(found);
}

std::optional<base::TimePoint> TimerService::NextDue() const {
  const std::scoped_lock lock(mutex_);
  if (schedule_.empty()) {
    return std::nullopt;
  }
  return schedule_.begin()->first;
}

std::size_t TimerService::RunDue() {
  const base::TimePoint now = clock_();
  std::size_t count = 0;
  while (auto callback = TakeDue(now)) {
    try {
      (*callback)(now);
    } catch (const std::exception& error) {
      // The other subscribers depend on their timers, and on this one at its next time.
      base::Log(base::LogLevel::kError, "timer_callback_failed", {{"error", error.what()}});
    }
    ++count;
  }
  return count;
}

SubscriptionId TimerService::Add(base::Duration delay, base::Duration interval, Callback callback) {
  const std::scoped_lock lock(mutex_);
  const std::uint64_t id = next_id_++;
  const base::TimePoint due = clock_() + delay;
  schedule_.emplace(due, id);
  subscriptions_.emplace(id, Subscription{due, interval, std::move(callback)});
  return SubscriptionId{id};
}

std::optional<Callback> TimerService::TakeDue(base::TimePoint now) {
  const std::scoped_lock lock(mutex_);
  if (schedule_.empty() || schedule_.begin()->first > now) {
    return std::nullopt;
  }
  const std::uint64_t id = schedule_.begin()->second;
  schedule_.erase(schedule_.begin());
  Subscription& subscription = subscriptions_.at(id);
  Callback callback = subscription.callback;
  if (subscription.interval == base::Duration::zero()) {
    subscriptions_.erase(id);
  } else {
    subscription.due = now + subscription.interval;
    schedule_.emplace(subscription.due, id);
  }
  return callback;
}

}  // namespace borageloft::timer
