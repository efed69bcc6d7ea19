#include "libraries/quota/quota_owner.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace borageloft::quota {

namespace {

// A node that has heard no owner for this long spends nothing any more: its own share ends after
// kOwnShareTime, and its last answer was under way for some time.
constexpr std::chrono::milliseconds kSilentSpendingTime =
    kOwnShareTime + std::chrono::milliseconds(1000);
// Share of the tolerance that may be granted ahead within the lifetime of a token.
constexpr double kAheadShare = 0.2;
// Tokens are granted ahead only from the part of a bucket above this share, so that requests which
// wait at other nodes are served first.
constexpr double kAheadReserve = 0.25;
constexpr double kDemandSeconds = 1;
// Time between two counts of the silent nodes.
constexpr std::chrono::milliseconds kShareInterval{100};
constexpr double kMaxWaitMs = 1000;

double Seconds(base::Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

void QuotaOwner::BeginTerm(base::TimePoint now) {
  term_began_at_ = now;
  reports_.clear();
  refill_share_ = 0;
  refill_share_at_ = now;
  for (auto& [name, account] : accounts_) {
    account.tokens = 0;
    account.refilled_at = now;
  }
}

void QuotaOwner::SetAccounts(const std::vector<declaration::ClientAccount>& accounts,
                             base::TimePoint now) {
  std::unordered_map<std::string, Account> known = std::exchange(accounts_, {});
  for (const declaration::ClientAccount& declared : accounts) {
    if (!declared.quota.is_limited()) {
      continue;
    }
    const auto found = known.find(declared.name);
    Account& account = accounts_[declared.name];
    if (found != known.end()) {
      account = found->second;
      Refill(account, now);
    } else if (now - term_began_at_ >= kSilentSpendingTime) {
      account.tokens =
          options_.BucketSize(declared.quota);  // Nobody can have used a new account yet.
    }
    account.quota = declared.quota;
    account.tokens = std::min(account.tokens, options_.BucketSize(declared.quota));
    account.refilled_at = now;
  }
}

// Part of the rates that is refilled. The rest may be spent by nodes that no owner answers.
double QuotaOwner::RefillShare(base::TimePoint now) {
  if (now - refill_share_at_ < kShareInterval) {
    return refill_share_;
  }
  refill_share_at_ = now;
  std::erase_if(reports_,
                [&](const auto& report) { return now - report.second.at >= kSilentSpendingTime; });
  std::size_t silent = 0;
  std::size_t nodes = std::max<std::size_t>(1, reports_.size());
  for (const auto& [node, report] : reports_) {
    silent += now - report.at >= kReportTimeout ? 1 : 0;
    nodes = std::max<std::size_t>(nodes, report.nodes);
  }
  const bool may_all_spend = now - term_began_at_ < kSilentSpendingTime;
  const std::size_t safe = (may_all_spend ? reports_.size() : nodes) - silent;
  refill_share_ = static_cast<double>(safe) / static_cast<double>(nodes);
  return refill_share_;
}

void QuotaOwner::Refill(Account& account, base::TimePoint now) const {
  const double elapsed = std::max(0.0, Seconds(now - account.refilled_at));
  account.tokens = std::min(options_.BucketSize(account.quota),
                            account.tokens + elapsed * account.quota.rate * refill_share_);
  account.refilled_at = now;
}

double QuotaOwner::GrantAhead(Account& account, std::uint32_t wanted, base::TimePoint now) const {
  const double elapsed = Seconds(now - account.ahead_at) / Seconds(kTokenLifetime);
  // Halves within a lifetime, so at least half of every token that can still be used counts.
  account.granted_ahead *= std::exp2(-std::max(0.0, elapsed));
  account.ahead_at = now;
  const double reserve = kAheadReserve * options_.BucketSize(account.quota);
  const double bound = kAheadShare * options_.Tolerance(account.quota);
  const double granted =
      std::floor(std::max(0.0, std::min({static_cast<double>(wanted), account.tokens - reserve,
                                         bound - account.granted_ahead})));
  account.granted_ahead += granted;
  return granted;
}

void QuotaOwner::RecordDemand(Account& account, std::uint32_t arrivals, base::TimePoint now) const {
  account.demand *= std::exp(-std::max(0.0, Seconds(now - account.demand_at)) / kDemandSeconds);
  account.demand += arrivals / kDemandSeconds;
  account.demand_at = now;
}

double QuotaOwner::Demand(const std::string& account, base::TimePoint now) const {
  const auto found = accounts_.find(account);
  if (found == accounts_.end()) {
    return 0;
  }
  return found->second.demand *
         std::exp(-std::max(0.0, Seconds(now - found->second.demand_at)) / kDemandSeconds);
}

std::uint32_t QuotaOwner::WaitMs(const Account& account) const {
  const double missing = std::max(0.0, 1 - account.tokens);
  const double rate = account.quota.rate * std::max(0.1, refill_share_);
  const double wait_ms = rate > 0 ? 1e3 * missing / rate : kMaxWaitMs;
  // Where demand exceeds the rate, the callers that are turned away share what comes in.
  const double crowd = rate > 0 ? std::max(1.0, account.demand / rate) : 1;
  return static_cast<std::uint32_t>(std::clamp(wait_ms * crowd, 1.0, kMaxWaitMs));
}

directory::QuotaAnswer QuotaOwner::Handle(const directory::QuotaRequest& request,
                                          base::TimePoint now) {
  ++counters_.requests;
  reports_[request.node] = {now, request.nodes};
  RefillShare(now);
  directory::QuotaAnswer answer;
  answer.epoch = request.epoch;
  answer.sequence = request.sequence;
  for (const directory::QuotaUse& use : request.uses) {
    directory::QuotaGrant grant;
    grant.account = use.account;
    const auto found = accounts_.find(use.account);
    if (found != accounts_.end()) {
      Account& account = found->second;
      Refill(account, now);
      RecordDemand(account, use.arrivals, now);
      account.tokens = std::min(options_.BucketSize(account.quota), account.tokens + use.returned);
      const double needed =
          std::min(static_cast<double>(use.wanted), std::floor(std::max(0.0, account.tokens)));
      account.tokens -= needed;
      const double ahead = GrantAhead(account, use.ahead, now);
      account.tokens -= ahead;
      grant.granted = static_cast<std::uint32_t>(needed + ahead);
      grant.demand_milli =
          static_cast<std::uint32_t>(std::min(4e9, std::round(1e3 * account.demand)));
      grant.wait_ms = WaitMs(account);
      counters_.granted += grant.granted;
      counters_.denied += use.wanted - static_cast<std::uint32_t>(needed);
    }
    answer.grants.push_back(std::move(grant));
  }
  return answer;
}

}  // namespace borageloft::quota
