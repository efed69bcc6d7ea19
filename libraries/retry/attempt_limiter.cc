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
    throw RetryError("attempt limits must not be negative, and memory and maxima must be positive");
  }
}

AttemptDecision AttemptLimiter::Offer(std::uint64_t caller_id, std::uint64_t request,
                                      base::TimePoint now) {
  Caller& caller = Touch(caller_id);
  while (!caller.lru_requests.empty() && now - caller.lru_requests.front().at > limits_.memory) {
    Forget(caller, caller.lru_requests.begin());
  }
  const auto found = caller.requests.find(request);
  if (found == caller.requests.end()) {
    if (caller.requests.size() >= limits_.max_requests) {
      Forget(caller, caller.lru_requests.begin());
    }
    caller.lru_requests.push_back({request, now});
    caller.requests.emplace(request, std::prev(caller.lru_requests.end()));
    caller.repeats_left = std::min(limits_.burst, caller.repeats_left + limits_.repeats_per_first);
    return {AttemptVerdict::kFirst, {}};
  }
  if (caller.repeats_left < 1) {
    // A refused attempt does not renew the time of the request; otherwise a caller that repeats
    // without a pause would be refused forever.
    return {AttemptVerdict::kRepeatRefused, kRetryAfter};
  }
  caller.repeats_left -= 1;
  found->second->at = now;
  caller.lru_requests.splice(caller.lru_requests.end(), caller.lru_requests, found->second);
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
    lru_callers_.splice(lru_callers_.end(), lru_callers_, found->second.lru_position);
    return found->second;
  }
  if (callers_.size() >= limits_.max_callers) {
    callers_.erase(lru_callers_.front());
    lru_callers_.pop_front();
  }
  found = callers_.emplace(id, Caller{}).first;
  found->second.repeats_left = limits_.burst;
  found->second.lru_position = lru_callers_.insert(lru_callers_.end(), id);
  return found->second;
}

void AttemptLimiter::Forget(Caller& caller, std::list<SeenRequest>::iterator seen_request) {
  caller.requests.erase(seen_request->request);
  caller.lru_requests.erase(seen_request);
}

}  // namespace borageloft::retry
