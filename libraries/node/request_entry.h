#ifndef BORAGELOFT_NODE_REQUEST_ENTRY_H_
#define BORAGELOFT_NODE_REQUEST_ENTRY_H_

#include <memory>
#include <optional>
#include <string>

#include "libraries/http/http.h"
#include "libraries/node/attempt_loop.h"
#include "libraries/node/call_sender.h"
#include "libraries/node/joined_requests.h"
#include "libraries/node/node_services.h"
#include "libraries/node/routing_table.h"
#include "libraries/node/running_requests.h"
#include "libraries/retry/retry.h"

namespace borageloft::node {

/** Who sent a request. */
enum class CallerKind {
  kOutside,   // A caller on the callers' address; its context headers are not trusted.
  kUpstream,  // The upstream beside this node, on the local address.
};

/**
 * Where requests enter the system: finds the service and class, refuses at once what cannot be
 * served, sends the rest on its way and formats the answer. Thread-safe.
 */
class RequestEntry {
 public:
  RequestEntry(const NodeServices& services, RoutingTable& routes, RunningRequests& running,
               AttemptLoop& attempts);

  /** Handles a request. Blocks until its answer or its deadline. */
  http::HttpResponse Handle(const http::HttpRequest& request, CallerKind caller);

  /** Refuses further requests of outside callers; those in progress go on. */
  void BeginLeaving() { is_leaving_ = true; }

  /** @return Requests in progress. */
  std::size_t in_progress() const { return in_progress_; }

 private:
  struct Entry;

  http::HttpResponse HandleChecked(const http::HttpRequest& request, CallerKind caller);
  std::optional<http::Problem> Prepare(const http::HttpRequest& request, CallerKind caller,
                                       Entry& entry);
  static std::optional<http::Problem> FindService(const http::HttpRequest& request, Entry& entry);
  void TakeContext(const http::HttpRequest& request, CallerKind caller, Entry& entry);
  void StartRoot(Entry& entry);
  std::optional<http::Problem> TakeTimeout(const http::HttpRequest& request, Entry& entry);
  std::optional<http::Problem> TakeKey(const http::HttpRequest& request, Entry& entry);
  std::optional<http::Problem> CheckLoad(const Entry& entry);
  std::optional<http::Problem> CheckRepeats(const http::HttpRequest& request, Entry& entry);
  http::HttpResponse Run(const http::HttpRequest& request, Entry& entry);
  http::HttpResponse RunAttempts(const http::HttpRequest& request, Entry& entry);
  void Complete(Entry& entry, const http::HttpResponse& response);

  const NodeServices& services_;
  RoutingTable& routes_;
  RunningRequests& running_;
  AttemptLoop& attempts_;
  JoinedRequests joined_;
  base::RankedMutex limiter_mutex_{base::LockRank::kRetry};
  retry::AttemptLimiter limiter_{retry::AttemptLimits{}};
  std::atomic<bool> is_leaving_ = false;
  std::atomic<std::size_t> in_progress_ = 0;
};

}  // namespace borageloft::node

#endif  // BORAGELOFT_NODE_REQUEST_ENTRY_H_
