#ifndef BORAGELOFT_QUOTA_QUOTA_OWNER_H_
#define BORAGELOFT_QUOTA_QUOTA_OWNER_H_

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "libraries/declaration/declaration.h"
#include "libraries/directory/directory.h"
#include "libraries/quota/quota_options.h"

namespace borageloft::quota {

/** Counters of an owner, for metrics. */
struct QuotaOwnerCounters {
  std::uint64_t requests = 0;  ///< Messages of nodes.
  std::uint64_t granted = 0;   ///< Tokens.
  std::uint64_t denied = 0;    ///< Tokens wanted by requests that waited, and not granted.
};

/**
 * Keeps the quotas of all client accounts: a token bucket for each, from which nodes obtain tokens
 * before they pass requests on. Only the leader of the control group owns the quotas, and its state
 * is in memory. An owner that begins cannot know what its predecessor granted, nor what nodes spend
 * of the equal shares that are theirs while no owner answers. It therefore begins with empty
 * buckets and refills them only for the nodes that cannot be spending such a share. Tokens granted
 * ahead are bounded for each account, so that they exceed no window by more than half of the
 * tolerance. Not thread-safe.
 */
class QuotaOwner {
 public:
  explicit QuotaOwner(QuotaOptions options) : options_(options) {}

  /** Begins a term as the owner: nothing is known of grants and of the nodes' own shares. */
  void BeginTerm(base::TimePoint now);

  /** Applies the quotas of a declaration; buckets of known accounts keep their tokens. */
  void SetAccounts(const std::vector<declaration::ClientAccount>& accounts, base::TimePoint now);

  /**
   * Answers a node. The caller has made sure that this host still leads.
   * @return Grants for the accounts of the request, in its order.
   */
  directory::QuotaAnswer Handle(const directory::QuotaRequest& request, base::TimePoint now);

  /** @return Demand for an account over all nodes, in requests per second. */
  double Demand(const std::string& account, base::TimePoint now) const;

  const QuotaOwnerCounters& counters() const { return counters_; }

 private:
  struct Report {
    base::TimePoint at{};
    std::uint32_t nodes = 0;  // That the sender knows.
  };

  struct Account {
    declaration::AccountQuota quota;
    double tokens = 0;
    base::TimePoint refilled_at{};
    double granted_ahead = 0;  // Fades over the lifetime of a token.
    base::TimePoint ahead_at{};
    double demand = 0;  // Requests per second, smoothed.
    base::TimePoint demand_at{};
  };

  void Refill(Account& account, base::TimePoint now) const;
  double GrantAhead(Account& account, std::uint32_t wanted, base::TimePoint now) const;
  void RecordDemand(Account& account, std::uint32_t arrivals, base::TimePoint now) const;
  std::uint32_t WaitMs(const Account& account) const;
  double RefillShare(base::TimePoint now);

  QuotaOptions options_;
  base::TimePoint term_began_at_{};
  std::unordered_map<std::string, Account> accounts_;
  std::unordered_map<std::string, Report> reports_;  // The last one of each node.
  double refill_share_ = 0;
  base::TimePoint refill_share_at_{};
  QuotaOwnerCounters counters_;
};

}  // namespace borageloft::quota

#endif  // BORAGELOFT_QUOTA_QUOTA_OWNER_H_
