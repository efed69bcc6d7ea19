#include "libraries/node/joined_requests.h"

#include <vector>

namespace borageloft::node {

using retry::JoinVerdict;
using retry::WaiterId;

http::HttpResponse JoinedRequests::Run(const retry::JoinKey& key, base::Duration timeout,
                                       const std::function<http::HttpResponse()>& run) {
  JoinVerdict verdict = JoinVerdict::kAlone;
  WaiterId id{};
  std::future<http::HttpResponse> answer;
  {
    const std::scoped_lock lock(mutex_);
    id = WaiterId{next_waiter_++};
    verdict = table_.Join(key, id);
    if (verdict == JoinVerdict::kJoined) {
      answer = waiters_[id].get_future();
    }
  }
  if (verdict == JoinVerdict::kLead) {
    return Lead(key, id, run);
  }
  if (verdict == JoinVerdict::kJoined) {
    if (answer.wait_for(timeout) == std::future_status::ready) {
      return answer.get();
    }
    const std::scoped_lock lock(mutex_);
    table_.Leave(key, id);
    waiters_.erase(id);
  }
  return run();
}

http::HttpResponse JoinedRequests::Lead(const retry::JoinKey& key, WaiterId id,
                                        const std::function<http::HttpResponse()>& run) {
  http::HttpResponse response = run();
  const std::scoped_lock lock(mutex_);
  for (const WaiterId waiter : table_.Complete(key, id)) {
    const auto found = waiters_.find(waiter);
    if (found != waiters_.end()) {
      found->second.set_value(response);
      waiters_.erase(found);
    }
  }
  return response;
}

}  // namespace borageloft::node
