#include "libraries/quota/quota_client.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace borageloft::quota {

namespace {

// Time without an answer after which the owner is taken to be lost: several round trips between
// zones.
constexpr std::chrono::milliseconds kAnswerTimeout{200};
// Time for which a request waits for a token. An election takes about as long; callers of short
// requests have no more time to lose.
constexpr std::chrono::milliseconds kMaxWait{400};
// Time between two reports while limited accounts are in use, well below the time after which the
// owner takes the node to be cut off.
constexpr std::chrono::milliseconds kReportInterval{300};
// Time without a request after which the node stops to report.
constexpr std::chrono::seconds kIdleTime{3};
// Time that tokens granted ahead shall cover; the next grant arrives sooner.
constexpr double kAheadSeconds = 0.35;
constexpr double kRateSeconds = 1;
// Share of the tolerance that the first tokens of all own shares may take together.
constexpr double kOwnTokenShare = 0.1;
// Time for which a token that was given back may be used.
constexpr std::chrono::milliseconds kReturnedLifetime{250};
constexpr std::size_t kMaxSent = 4096;

double Seconds(base::Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

QuotaClient::QuotaClient(std::string node, std::uint64_t epoch, QuotaOptions options,
                         QuotaHooks hooks)
    : node_(std::move(node)), epoch_(epoch), options_(options), hooks_(std::move(hooks)) {}

void QuotaClient::SetAccounts(const std::vector<declaration::ClientAccount>& accounts) {
  std::unordered_map<std::string, Account> known = std::exchange(accounts_, {});
  for (const declaration::ClientAccount& declared : accounts) {
    if (!declared.quota.is_limited()) {
      continue;
    }
    const auto found = known.find(declared.name);
    Account account;
    if (found != known.end()) {
      account = std::move(found->second);
      known.erase(found);
      if (account.quota != declared.quota) {
        account.grants.clear();
      }
    }
    account.quota = declared.quota;
    accounts_.emplace(declared.name, std::move(account));
  }
  // Accounts that have no limit any more.
  for (auto& [name, account] : known) {
    for (Waiter& waiter : account.waiters) {
      Finish(waiter, {QuotaOutcome::kUnknown, {}});
    }
  }
}

void QuotaClient::Request(const std::string& name, Callback done) {
  const auto found = accounts_.find(name);
  if (found == accounts_.end()) {
    done({QuotaOutcome::kAdmitted, {}});
    return;
  }
  const base::TimePoint now = hooks_.clock();
  Account& account = found->second;
  used_at_ = now;
  RecordArrival(account, now);
  Waiter waiter;
  waiter.since = now;
  waiter.done = std::move(done);
  if (account.waiters.empty() && TakeToken(account, now)) {
    Finish(waiter, {QuotaOutcome::kAdmitted, {}});
    return;
  }
  // Without a token of its own share the request waits: an owner may be elected meanwhile.
  if (IsOwnerSilent(now) && TakeOwnToken(account, now)) {
    ++counters_.own_share;
    Finish(waiter, {QuotaOutcome::kAdmitted, {}});
    return;
  }
  account.waiters.push_back(std::move(waiter));
  directory::QuotaUse use = TakeReport(name, account, now);
  use.wanted = 1;
  Send({std::move(use)}, true, now);
}

directory::QuotaUse QuotaClient::TakeReport(const std::string& name, Account& account,
                                            base::TimePoint now) {
  DropExpired(account, now);
  directory::QuotaUse use;
  use.account = name;
  use.ahead = AheadOf(account, now);
  use.arrivals = std::exchange(account.unreported_arrivals, 0);
  use.returned = std::exchange(account.expired_tokens, 0);
  if (use.ahead > 0) {
    account.asked_ahead_at = now;
  }
  return use;
}

void QuotaClient::Return(const std::string& name) {
  const auto found = accounts_.find(name);
  if (found != accounts_.end()) {
    found->second.grants.push_back({1, hooks_.clock() + kReturnedLifetime});
  }
}

void QuotaClient::RecordArrival(Account& account, base::TimePoint now) {
  account.arrival_rate = RateOf(account, now) + 1 / kRateSeconds;
  account.arrival_at = now;
  ++account.unreported_arrivals;
}

double QuotaClient::RateOf(const Account& account, base::TimePoint now) {
  return account.arrival_rate *
         std::exp(-std::max(0.0, Seconds(now - account.arrival_at)) / kRateSeconds);
}

void QuotaClient::DropExpired(Account& account, base::TimePoint now) {
  std::erase_if(account.grants, [&](const Grant& grant) {
    const bool has_expired = grant.expires_at <= now;
    account.expired_tokens += has_expired ? grant.tokens : 0;
    return has_expired || grant.tokens == 0;
  });
}

bool QuotaClient::TakeToken(Account& account, base::TimePoint now) {
  DropExpired(account, now);
  if (account.grants.empty()) {
    return false;
  }
  --account.grants.front().tokens;
  return true;
}

bool QuotaClient::IsOwnerSilent(base::TimePoint now) const {
  return unanswered_since_ && now - *unanswered_since_ >= kAnswerTimeout;
}

bool QuotaClient::TakeOwnToken(Account& account, base::TimePoint now) {
  if (!answered_at_ || now - *answered_at_ >= kOwnShareTime) {
    return false;
  }
  const auto nodes = static_cast<double>(nodes_);
  const double rate = account.quota.rate / nodes;
  if (!account.own_since || *account.own_since < *answered_at_) {
    // Many nodes lose the owner at once. If each began with a whole token, the sum would exceed the
    // quota of small accounts.
    const double chance = kOwnTokenShare * options_.Tolerance(account.quota) / nodes;
    account.own_tokens = base::DrawFraction(hooks_.random) < chance ? 1 : 0;
    account.own_since = *answered_at_ + kReportTimeout;
  }
  if (now > *account.own_since) {
    const double refilled = account.own_tokens + rate * Seconds(now - *account.own_since);
    account.own_tokens = std::min(std::max(1.0, rate), refilled);
    account.own_since = now;
  }
  if (account.own_tokens < 1) {
    return false;
  }
  account.own_tokens -= 1;
  return true;
}

std::uint32_t QuotaClient::AheadOf(const Account& account, base::TimePoint now) const {
  if (account.asked_ahead_at && now - *account.asked_ahead_at < kAnswerTimeout) {
    return 0;
  }
  double held = 0;
  for (const Grant& grant : account.grants) {
    held += grant.expires_at > now ? grant.tokens : 0;
  }
  const double expected = RateOf(account, now) * kAheadSeconds - held;
  return expected < 1 ? 0 : static_cast<std::uint32_t>(expected);
}

void QuotaClient::AskAhead(base::TimePoint now) {
  std::vector<directory::QuotaUse> uses;
  for (auto& [name, account] : accounts_) {
    directory::QuotaUse use = TakeReport(name, account, now);
    // What requests have waited for this long was asked of an owner that is lost.
    use.wanted = static_cast<std::uint32_t>(
        std::count_if(account.waiters.begin(), account.waiters.end(),
                      [&](const Waiter& waiter) { return now - waiter.since >= kAnswerTimeout; }));
    if (use.wanted + use.ahead + use.arrivals + use.returned > 0) {
      uses.push_back(std::move(use));
    }
  }
  if (!uses.empty() || now - last_sent_at_ >= kReportInterval) {
    Send(std::move(uses), false, now);
  }
}

void QuotaClient::Send(std::vector<directory::QuotaUse> uses, bool is_for_waiter,
                       base::TimePoint now) {
  directory::QuotaRequest request;
  request.node = node_;
  request.epoch = epoch_;
  request.sequence = ++sequence_;
  request.nodes = static_cast<std::uint32_t>(nodes_);
  request.uses = std::move(uses);
  sent_[request.sequence] = {now, is_for_waiter};
  if (sent_.size() > kMaxSent) {
    std::erase_if(sent_, [&](const auto& sent) { return now - sent.second.at > kTokenLifetime; });
  }
  last_sent_at_ = now;
  unanswered_since_ = unanswered_since_.value_or(now);
  hooks_.send(std::move(request));
}

void QuotaClient::HandleAnswer(const directory::QuotaAnswer& answer) {
  const auto found = sent_.find(answer.sequence);
  if (answer.epoch != epoch_ || found == sent_.end()) {
    return;
  }
  const base::TimePoint now = hooks_.clock();
  const Sent sent = found->second;
  sent_.erase(found);
  answered_at_ = std::max(answered_at_.value_or(sent.at), sent.at);
  // Requests sent since then may still be under way.
  unanswered_since_ = std::nullopt;
  for (const auto& [sequence, other] : sent_) {
    if (other.at > sent.at) {
      unanswered_since_ = std::min(unanswered_since_.value_or(other.at), other.at);
    }
  }
  for (const directory::QuotaGrant& grant : answer.grants) {
    HandleGrant(grant, sent, now);
  }
}

// Answers may arrive in another order than the requests were sent in, so each answer decides on one
// request, whichever has waited longest.
void QuotaClient::HandleGrant(const directory::QuotaGrant& grant, const Sent& sent,
                              base::TimePoint now) {
  const auto found = accounts_.find(grant.account);
  if (found == accounts_.end()) {
    return;
  }
  Account& account = found->second;
  account.demand = grant.demand_milli / 1e3;
  if (grant.granted > 0) {
    account.grants.push_back({grant.granted, sent.at + kTokenLifetime});
  }
  std::vector<std::pair<Waiter, QuotaVerdict>> decided;  // Callbacks may ask for further tokens.
  while (!account.waiters.empty() && TakeToken(account, now)) {
    decided.emplace_back(std::move(account.waiters.front()),
                         QuotaVerdict{QuotaOutcome::kAdmitted, {}});
    account.waiters.pop_front();
  }
  if (grant.granted == 0 && sent.is_for_waiter && !account.waiters.empty()) {
    decided.emplace_back(
        std::move(account.waiters.front()),
        QuotaVerdict{QuotaOutcome::kExceeded, std::chrono::milliseconds(grant.wait_ms)});
    account.waiters.pop_front();
  }
  for (auto& [waiter, verdict] : decided) {
    Finish(waiter, verdict);
  }
}

void QuotaClient::Poll() {
  const base::TimePoint now = hooks_.clock();
  std::vector<std::pair<Waiter, QuotaVerdict>> decided;
  for (auto& [name, account] : accounts_) {
    while (!account.waiters.empty() && now - account.waiters.front().since >= kAnswerTimeout) {
      const bool is_admitted = TakeToken(account, now) || TakeOwnToken(account, now);
      if (!is_admitted && now - account.waiters.front().since < kMaxWait) {
        break;
      }
      decided.emplace_back(
          std::move(account.waiters.front()),
          QuotaVerdict{is_admitted ? QuotaOutcome::kAdmitted : QuotaOutcome::kUnknown, {}});
      account.waiters.pop_front();
    }
  }
  for (auto& [waiter, verdict] : decided) {
    counters_.own_share += verdict.outcome == QuotaOutcome::kAdmitted ? 1 : 0;
    Finish(waiter, verdict);
  }
  if (!accounts_.empty() && now - used_at_ < kIdleTime) {
    AskAhead(now);
  }
}

void QuotaClient::Finish(const Waiter& waiter, const QuotaVerdict& verdict) {
  switch (verdict.outcome) {
    case QuotaOutcome::kAdmitted:
      ++counters_.admitted;
      break;
    case QuotaOutcome::kExceeded:
      ++counters_.exceeded;
      break;
    case QuotaOutcome::kUnknown:
      ++counters_.unknown;
      break;
  }
  waiter.done(verdict);
}

double QuotaClient::Demand(const std::string& name) const {
  const auto found = accounts_.find(name);
  return found == accounts_.end() ? 0 : found->second.demand;
}

std::size_t QuotaClient::waiting() const {
  std::size_t count = 0;
  for (const auto& [name, account] : accounts_) {
    count += account.waiters.size();
  }
  return count;
}

}  // namespace borageloft::quota
