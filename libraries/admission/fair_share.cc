#include "libraries/admission/fair_share.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>

namespace borageloft::admission {

namespace {

// A node sees few requests of a small account; a shorter time would follow their variance.
constexpr double kLocalSeconds = 4;
// Time for which reported demand is used; accounts in use are reported more often.
constexpr std::chrono::seconds kReportValidity{5};
constexpr std::chrono::milliseconds kRefreshInterval{200};
// Accounts with less demand are forgotten.
constexpr double kMinDemand = 0.01;

double Seconds(base::Duration duration) { return std::chrono::duration<double>(duration).count(); }

double Faded(double rate, base::Duration age) {
  return rate * std::exp(-std::max(0.0, Seconds(age)) / kLocalSeconds);
}

}  // namespace

void FairShare::RecordArrival(const std::string& name, base::TimePoint now) {
  Account& account = accounts_[name];
  account.local = Faded(account.local, now - account.local_at) + 1 / kLocalSeconds;
  account.local_at = now;
}

void FairShare::ReportDemand(const std::string& name, double demand, base::TimePoint now) {
  Account& account = accounts_[name];
  account.reported = demand;
  account.reported_at = now;
}

double FairShare::DemandOf(const Account& account, double scale, base::TimePoint now) const {
  if (now - account.reported_at < kReportValidity) {
    return account.reported;
  }
  return scale * Faded(account.local, now - account.local_at);
}

void FairShare::Refresh(base::TimePoint now) {
  if (!demands_.empty() && now - refreshed_at_ < kRefreshInterval) {
    return;
  }
  refreshed_at_ = now;
  // Brings what only this node has seen to the scale of what was reported for all nodes.
  double local = 0;
  double reported = 0;
  for (const auto& [name, account] : accounts_) {
    if (now - account.reported_at < kReportValidity) {
      local += Faded(account.local, now - account.local_at);
      reported += account.reported;
    }
  }
  const double scale = local > 0 && reported > 0 ? reported / local : 1;
  std::erase_if(accounts_, [&](const auto& known) {
    return DemandOf(known.second, scale, now) < kMinDemand &&
           Faded(known.second.local, now - known.second.local_at) < kMinDemand;
  });
  demands_.clear();
  sorted_.clear();
  for (const auto& [name, account] : accounts_) {
    const double demand = std::max(kMinDemand, DemandOf(account, scale, now));
    demands_.emplace(name, demand);
    sorted_.push_back(demand);
  }
  std::sort(sorted_.begin(), sorted_.end());
  sums_.assign(1, 0);
  for (const double demand : sorted_) {
    sums_.push_back(sums_.back() + demand);
  }
}

double FairShare::ShareBelow(double value) const {
  const auto above = std::upper_bound(sorted_.begin(), sorted_.end(), value);
  const auto smaller = static_cast<std::size_t>(above - sorted_.begin());
  const double below = sums_[smaller] + value * static_cast<double>(sorted_.size() - smaller);
  return sums_.back() > 0 ? below / sums_.back() : 0;
}

std::uint64_t FairShare::KeyOf(const std::string& name, std::uint64_t root_hash,
                               base::TimePoint now) {
  Refresh(now);
  const auto demand = demands_.find(name);
  if (demand == demands_.end()) {
    return root_hash;
  }
  constexpr double kRange = 18446744073709551616.0;  // 2 to the power of 64.
  const double draw = static_cast<double>(root_hash) / kRange;
  const double position = ShareBelow(draw * demand->second);
  constexpr double kLargest = 0.99999999;
  return static_cast<std::uint64_t>(std::clamp(position, 0.0, kLargest) * kRange);
}

}  // namespace borageloft::admission
