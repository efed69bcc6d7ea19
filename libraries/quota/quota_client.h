#ifndef BORAGELOFT_QUOTA_QUOTA_CLIENT_H_
#define BORAGELOFT_QUOTA_QUOTA_CLIENT_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "libraries/declaration/declaration.h"
#include "libraries/directory/directory.h"
#include "libraries/quota/quota_options.h"

namespace borageloft::quota {

/** Whether the quota of an account admits a request. */
enum class QuotaOutcome {
  kAdmitted,
  kExceeded,  // The account has used up its quota.
  kUnknown,   // No owner answers, and this node's own share is used up or has ended.
};

/** Decision on one request. */
struct QuotaVerdict {
  QuotaOutcome outcome = QuotaOutcome::kUnknown;
  base::Duration retry_after{};  ///< When the account will have room again; for kExceeded.
};

/** Hooks of a QuotaClient. */
struct QuotaHooks {
  /** Clock that also counts the time for which the machine was suspended. */
  base::Clock clock;
  base::Random random;
  /** Sends a request to the owner; it may be lost. */
  std::function<void(directory::QuotaRequest request)> send;
};

/** Counters of a client, for metrics. */
struct QuotaClientCounters {
  std::uint64_t admitted = 0;
  std::uint64_t exceeded = 0;
  std::uint64_t unknown = 0;
  std::uint64_t own_share = 0;  ///< Those of `admitted` without an owner.
};

/**
 * A node's side of the quotas. A request uses a token that was granted ahead, or waits for one from
 * the owner. Accounts in steady use get tokens ahead. While no owner answers, the node spends an
 * equal share of each rate, for a limited time. Not thread-safe.
 */
class QuotaClient {
 public:
  using Callback = std::function<void(const QuotaVerdict& verdict)>;

  /**
   * @param node Name of this node.
   * @param epoch Identifies this process of the node.
   */
  QuotaClient(std::string node, std::uint64_t epoch, QuotaOptions options, QuotaHooks hooks);

  /** Sets the number of nodes that share the rates while no owner answers; 0 counts as 1. */
  void set_nodes(std::size_t nodes) { nodes_ = nodes == 0 ? 1 : nodes; }

  /** Forgets what was granted under the quotas of an earlier declaration. */
  void SetAccounts(const std::vector<declaration::ClientAccount>& accounts);

  /**
   * Decides on a request of an account. An account without a limit is admitted at once.
   * @param done Called exactly once, possibly before this returns, unless the client is destroyed.
   */
  void Request(const std::string& account, Callback done);

  /** Gives back the token of a request that has not run. */
  void Return(const std::string& account);

  void HandleAnswer(const directory::QuotaAnswer& answer);

  /** Ends requests that have waited too long and asks ahead; must be called every kPollInterval. */
  void Poll();

  /** @return Demand for an account over all nodes as last reported, in requests per second; 0 if it
   * is not known. */
  double Demand(const std::string& account) const;

  /** @return Requests that wait for tokens. */
  std::size_t waiting() const;

  const QuotaClientCounters& counters() const { return counters_; }

  static constexpr std::chrono::milliseconds kPollInterval{100};

 private:
  struct Grant {
    std::uint32_t tokens = 0;
    base::TimePoint expires_at{};
  };

  // A message without an answer yet.
  struct Sent {
    base::TimePoint at{};
    bool is_for_waiter = false;  // It asks for the token of a request that waits.
  };

  struct Waiter {
    base::TimePoint since{};
    Callback done;
  };

  struct Account {
    declaration::AccountQuota quota;
    std::deque<Grant> grants;
    std::deque<Waiter> waiters;
    std::uint32_t unreported_arrivals = 0;
    std::uint32_t expired_tokens = 0;  // Not yet given back to the owner.
    double arrival_rate = 0;           // Per second, at this node, smoothed.
    base::TimePoint arrival_at{};
    std::optional<base::TimePoint> asked_ahead_at;
    double demand = 0;  // Over all nodes.
    double own_tokens = 0;
    std::optional<base::TimePoint> own_since;  // When the own share was last refilled.
  };

  static void RecordArrival(Account& account, base::TimePoint now);
  static double RateOf(const Account& account, base::TimePoint now);
  static void DropExpired(Account& account, base::TimePoint now);
  static bool TakeToken(Account& account, base::TimePoint now);
  directory::QuotaUse TakeReport(const std::string& name, Account& account, base::TimePoint now);
  bool TakeOwnToken(Account& account, base::TimePoint now);
  void AskAhead(base::TimePoint now);
  std::uint32_t AheadOf(const Account& account, base::TimePoint now) const;
  void HandleGrant(const directory::QuotaGrant& grant, const Sent& sent, base::TimePoint now);
  void Send(std::vector<directory::QuotaUse> uses, bool is_for_waiter, base::TimePoint now);
  void Finish(const Waiter& waiter, const QuotaVerdict& verdict);
  bool IsOwnerSilent(base::TimePoint now) const;

  const std::string node_;
  const std::uint64_t epoch_;
  const QuotaOptions options_;
  const QuotaHooks hooks_;
  std::size_t nodes_ = 1;
  std::unordered_map<std::string, Account> accounts_;
  std::uint64_t sequence_ = 0;
  std::unordered_map<std::uint64_t, Sent> sent_;  // By sequence, the recent ones.
  std::optional<base::TimePoint> answered_at_;  // When the request with the newest answer was sent.
  std::optional<base::TimePoint> unanswered_since_;
  base::TimePoint used_at_{};  // When a limited account was last used.
  base::TimePoint last_sent_at_{};
  QuotaClientCounters counters_;
};

}  // namespace borageloft::quota

#endif  // BORAGELOFT_QUOTA_QUOTA_CLIENT_H_
