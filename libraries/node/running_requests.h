#ifndef BORAGELOFT_NODE_RUNNING_REQUESTS_H_
#define BORAGELOFT_NODE_RUNNING_REQUESTS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "libraries/base/base.h"
#include "libraries/retry/retry.h"

namespace borageloft::node {

/** A request that runs at the upstream beside this node, as far as its own calls matter. */
struct RunningRequest {
  explicit RunningRequest(std::uint32_t granted) : allowance(granted) {}

  retry::RetryAllowance allowance;
  base::Duration downstream_time{};  // Time the upstream waited for its own calls.
  bool has_failed_call = false;      // One of its own calls brought no whole answer.
};

/** How a call of a running request ended. */
enum class CallEnd { kWhole, kFailed };

/** Loan of retry allowance to one call of a running request. */
struct ChildLoan {
  std::shared_ptr<RunningRequest> request;  // Null when the calling request is not known.
  retry::AllowanceLoan loan;
};

/**
 * Requests that run at the upstream beside this node, by root id and depth. The upstream's calls
 * name their root, so each call takes its extra attempts from the request that made it and the
 * sum over the whole call tree stays within the root's allowance. Thread-safe.
 */
class RunningRequests {
 public:
  /** Adds a request. @param granted Extra attempts that it and all calls below it may make. */
  std::shared_ptr<RunningRequest> Begin(const std::string& root, std::uint32_t depth,
                                        std::uint32_t granted);

  /** Removes a request. @return The extra attempts that were not spent. */
  std::uint32_t End(const std::string& root, std::uint32_t depth,
                    const std::shared_ptr<RunningRequest>& request);

  /**
   * Lends a part of a running request's allowance to one of its calls.
   * @param children Calls that the request is still expected to make, at least 1.
   * @return The loan, without a request when none runs with this root and depth.
   */
  ChildLoan Lend(const std::string& root, std::uint32_t depth, std::uint32_t children);

  /**
   * Takes a loan back.
   * @param unspent What the call did not spend; nothing when its answer was lost.
   * @param time Time the call took.
   * @param end Whether it brought a whole answer.
   */
  void Settle(const ChildLoan& child, std::optional<std::uint32_t> unspent, base::Duration time,
              CallEnd end);

  /** @return Whether one of the calls of a running request failed. */
  bool HasFailedCall(const RunningRequest& request) const;

  /** @return Time that a running request has waited for its own calls. */
  base::Duration DownstreamTime(const RunningRequest& request) const;

 private:
  using Key = std::pair<std::string, std::uint32_t>;

  mutable base::RankedMutex mutex_{base::LockRank::kRetry};
  std::multimap<Key, std::shared_ptr<RunningRequest>> requests_;
};

}  // namespace borageloft::node

#endif  // BORAGELOFT_NODE_RUNNING_REQUESTS_H_
