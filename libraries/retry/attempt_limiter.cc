#include "libraries/retry/attempt_limiter.h"

#include <algorithm>

#include "libraries/retry/retry_error.h"

namespace borageloft::retry {

namespace {

constexpr base::Duration kRetryAfter = std::chrono::seconds(1);

}  // namespace

AttemptLimiter::AttemptLimiter(const AttemptLimits& limits) : limits_(limits) {
  if (!(limits.repeats_per_first >= 0) || !(limits.burst >= 0) ||
      limits.memory <= base::Duration::zero() || limits.max_callers == 0 ||
      limits.max_requests == 0) {
    throw RetryError("the bounds of repeated attempts must not be negative or empty");
  }
}

AttemptDecision AttemptLimiter::Offer(std::uint64_t caller_id, std::uint64_t request,
                                      base::TimePoint now) {
  Caller& caller = Touch(caller_id);
  while (!caller.order.empty() && now - caller.order.front().at > limits_.memory) {
    Forget(caller, caller.order.begin());
  }
  const auto found = caller.requests.find(request);
  if (found == caller.requests.end()) {
    if (caller.requests.size() >= limits_.max_requests) {
      Forget(caller, caller.order.begin());
    }
    caller.order.push_back({request, now});
    caller.requests.emplace(request, std::prev(caller.order.end()));
    caller.repeats = std::min(limits_.burst, caller.repeats + limits_.repeats_per_first);
    return {AttemptVerdict::kFirst, {}};
  }
  if (caller.repeats < 1) {
    // The time of the last attempt let through stays, or a caller that never pauses would be
    // refused for good.
    return {AttemptVerdict::kRepeatRefused, kRetryAfter};
  }
  caller.repeats -= 1;
  found->second->at = now;
  caller.order.splice(caller.order.end(), caller.order, found->second);
  return {AttemptVerdict::kRepeatAdmitted, {}};
}

void AttemptLimiter::RecordSuccess(std::uint64_t caller_id, std::uint64_t request) {
  const auto caller = callers_.find(caller_id);
  if (caller == callers_.end()) {
    return;
  }
  const auto found = caller->second.requests.find(request);
  if (found != caller->second.requests.end()) {
    Forget(caller->second, found->second);
  }
}

AttemptLimiter::Caller& AttemptLimiter::Touch(std::uint64_t id) {
  auto found = callers_.find(id);
  if (found != callers_.end()) {
    order_.splice(order_.end(), order_, found->second.place);
    return found->second;
  }
  if (callers_.size() >= limits_.max_callers) {
    callers_.erase(order_.front());
    order_.pop_front();
  }
  found = callers_.emplace(id, Caller{}).first;
  found->second.repeats = limits_.burst;
  found->second.place = order_.insert(order_.end(), id);
  return found->second;
}

void AttemptLimiter::Forget(Caller& caller, std::list<Seen>::iterator seen) {
  caller.requests.erase(seen->request);
  caller.order.erase(seen);
}

}  // namespace borageloft::retry
