#ifndef BORAGELOFT_NODE_ATTEMPT_LOOP_H_
#define BORAGELOFT_NODE_ATTEMPT_LOOP_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libraries/http/http.h"
#include "libraries/node/attempt_waiter.h"
#include "libraries/node/call_sender.h"
#include "libraries/node/node_services.h"
#include "libraries/node/routing_table.h"
#include "libraries/retry/retry.h"

namespace borageloft::node {

/** A request that is ready to be sent. */
struct AttemptPlan {
  wire::Request request;
  const notes::ServicePolicy* service = nullptr;
  base::TimePoint deadline;
  tracing::TraceContext span;
  std::function<bool()> is_caller_gone;
};

/** How a request ended after all its attempts. */
struct AttemptOutcome {
  http::HttpResponse response;
  std::uint32_t unspent_allowance = 0;
};

/** Makes the upstreams of a service known; waits for the first view until @p until at most. */
using DiscoverService = std::function<void(const std::string& service, base::TimePoint until)>;

/**
 * Sends a request to upstreams of its service until one answers, and decides after each failure
 * whether another attempt is allowed. Thread-safe.
 */
class AttemptLoop {
 public:
  AttemptLoop(const NodeServices& services, RoutingTable& routes, CallSender& sender,
              DiscoverService discover);

  /** Runs a request; blocks until its answer or its deadline. */
  AttemptOutcome Run(AttemptPlan plan);

 private:
  class Request;

  struct Budget {
    double share = 0;
    retry::RetryBudget budget;
  };

  retry::RetryDecision DecideRetry(const std::string& service, const retry::FailedAttempt& failed,
                                   retry::RetryAllowance& allowance);
  retry::RetryVerdict DecideHedge(const std::string& service, retry::RetryAllowance& allowance);
  void RecordFirstSuccess(const std::string& service);
  double BudgetShare() const;
  retry::RetryBudget& FindBudget(const std::string& service, double share);

  const NodeServices& services_;
  RoutingTable& routes_;
  CallSender& sender_;
  const DiscoverService discover_;
  base::RankedMutex mutex_{base::LockRank::kRetry};
  retry::RetryPolicy policy_;
  std::map<std::string, Budget> budgets_;
};

}  // namespace borageloft::node

#endif  // BORAGELOFT_NODE_ATTEMPT_LOOP_H_
