#include "libraries/node/joined_requests.h"

#include <vector>

namespace borageloft::node {

using retry::JoinVerdict;
using retry::WaiterId;

http::HttpResponse JoinedRequests::Run(const retry::JoinKey& key, base::Duration timeout,
                                       const std::function<http::HttpResponse()>& run) {
  JoinVerdict verdict = JoinVerdict::kAlone;
  WaiterId id{};
  std::future<std::optional<http::HttpResponse>> answer;
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
    if (answer.wait_for(timeout) != std::future_status::ready) {
      const std::scoped_lock lock(mutex_);
      table_.Leave(key, id);
      waiters_.erase(id);
      return http::FormatProblem({504,
                                  "no_answer",
                                  "the same lookup that runs already gave no answer in time",
                                  wire::Outcome::kUnknown,
                                  {}});
    }
    if (auto response = answer.get()) {
      return std::move(*response);
    }
  }
  return run();
}

std::size_t JoinedRequests::waiting() const {
  const std::scoped_lock lock(mutex_);
  return waiters_.size();
}

http::HttpResponse JoinedRequests::Lead(const retry::JoinKey& key, WaiterId id,
                                        const std::function<http::HttpResponse()>& run) {
  try {
    http::HttpResponse response = run();
    Release(key, id, &response);
    return response;
  } catch (...) {
    Release(key, id, nullptr);
    throw;
  }
}

void JoinedRequests::Release(const retry::JoinKey& key, WaiterId lead,
                             const http::HttpResponse* response) {
  const std::scoped_lock lock(mutex_);
  for (const WaiterId waiter : table_.Complete(key, lead)) {
    const auto found = waiters_.find(waiter);
    if (found != waiters_.end()) {
      found->second.set_value(response != nullptr ? std::optional(*response) : std::nullopt);
      waiters_.erase(found);
    }
  }
}

}  // namespace borageloft::node
