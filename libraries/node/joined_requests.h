#ifndef BORAGELOFT_NODE_JOINED_REQUESTS_H_
#define BORAGELOFT_NODE_JOINED_REQUESTS_H_

#include <functional>
#include <future>
#include <map>
#include <optional>

#include "libraries/http/http.h"
#include "libraries/retry/retry.h"

namespace borageloft::node {

/** Joins lookups to the same lookup that is already running on this node. Thread-safe. */
class JoinedRequests {
 public:
  /**
   * Runs a request, or waits for the same one that runs already.
   * @param run Runs the request; called at most once, with no lock held.
   * @param timeout Time until the caller's deadline; after it the answer is a refusal with an
   *     unknown outcome, since the running one may still end.
   * @throws Whatever @p run throws; requests that joined then run themselves.
   */
  http::HttpResponse Run(const retry::JoinKey& key, base::Duration timeout,
                         const std::function<http::HttpResponse()>& run);

  /** @return Requests that wait for another one's answer. */
  std::size_t waiting() const;

 private:
  static constexpr std::size_t kMaximumGroups = 16'384;
  static constexpr std::size_t kMaximumWaiters = 64;

  http::HttpResponse Lead(const retry::JoinKey& key, retry::WaiterId id,
                          const std::function<http::HttpResponse()>& run);
  void Release(const retry::JoinKey& key, retry::WaiterId lead, const http::HttpResponse* response);

  mutable base::RankedMutex mutex_{base::LockRank::kRetry};
  retry::JoinTable table_{kMaximumGroups, kMaximumWaiters};
  std::uint64_t next_waiter_ = 1;
  // Nothing as the answer means that the running request failed within this node.
  std::map<retry::WaiterId, std::promise<std::optional<http::HttpResponse>>> waiters_;
};

}  // namespace borageloft::node

#endif  // BORAGELOFT_NODE_JOINED_REQUESTS_H_
