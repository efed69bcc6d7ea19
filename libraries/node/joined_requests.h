#ifndef BORAGELOFT_NODE_JOINED_REQUESTS_H_
#define BORAGELOFT_NODE_JOINED_REQUESTS_H_

#include <functional>
#include <future>
#include <map>

#include "libraries/http/http.h"
#include "libraries/retry/retry.h"

namespace borageloft::node {

/** Joins lookups to the same lookup that is already running on this node. Thread-safe. */
class JoinedRequests {
 public:
  /**
   * Runs a request, or waits for the same one that runs already.
   * @param run Runs the request; called at most once, with no lock held.
   * @param timeout Longest wait for the running one; after it the request runs itself.
   */
  http::HttpResponse Run(const retry::JoinKey& key, base::Duration timeout,
                         const std::function<http::HttpResponse()>& run);

 private:
  static constexpr std::size_t kMaximumGroups = 16'384;
  static constexpr std::size_t kMaximumWaiters = 64;

  http::HttpResponse Lead(const retry::JoinKey& key, retry::WaiterId id,
                          const std::function<http::HttpResponse()>& run);

  base::RankedMutex mutex_{base::LockRank::kRetry};
  retry::JoinTable table_{kMaximumGroups, kMaximumWaiters};
  std::uint64_t next_waiter_ = 1;
  std::map<retry::WaiterId, std::promise<http::HttpResponse>> waiters_;
};

}  // namespace borageloft::node

#endif  // BORAGELOFT_NODE_JOINED_REQUESTS_H_
