#include "libraries/declaration/declaration_review.h"

#include <algorithm>
#include <set>

namespace borageloft::declaration {

namespace {

void ReviewRoute(const Route& route, std::vector<Remark>& remarks) {
  for (const WeightedService& target : route.targets) {
    if (target.weight == 0) {
      remarks.push_back(
          {route.name, "no request goes to '" + target.service + "': its weight is 0"});
    }
  }
  if (route.target_latency > base::Duration::zero() && route.timeout < route.target_latency) {
    remarks.push_back({route.name, "its timeout is below its target latency"});
  }
}

void ReviewAccount(const ClientAccount& account, std::vector<Remark>& remarks) {
  if (account.keys.empty()) {
    remarks.push_back({account.name, "no request can belong to it: it has no key"});
  }
  if (account.quota.rate > 0 && account.quota.burst < 1) {
    remarks.push_back({account.name, "its burst is below one request"});
  }
  if (account.quota.rate == 0 && account.quota.burst > 0) {
    remarks.push_back({account.name, "it has a burst and no rate: its burst is never refilled"});
  }
}

}  // namespace

std::vector<Remark> FindRemarks(const Declaration& declaration) {
  std::vector<Remark> remarks;
  std::set<std::string> used;
  for (const Route& route : declaration.routes) {
    ReviewRoute(route, remarks);
    for (const WeightedService& target : route.targets) {
      used.insert(target.service);
    }
    if (route.is_public && !declaration.accounts) {
      remarks.push_back({route.name, "it is public, but no client account is declared"});
    }
  }
  for (const ServiceEntry& service : declaration.services) {
    if (!used.contains(service.name)) {
      remarks.push_back({service.name, "no route leads to the service"});
    }
  }
  for (const ClientAccount& account : AccountsOf(declaration)) {
    ReviewAccount(account, remarks);
  }
  const bool needs_no_key = !declaration.routes.empty() &&
                            std::all_of(declaration.routes.begin(), declaration.routes.end(),
                                        [](const Route& route) { return route.is_public; });
  if (declaration.accounts && needs_no_key) {
    remarks.push_back({"accounts", "all routes are public: no request needs a key"});
  } else if (declaration.accounts && declaration.accounts->empty()) {
    remarks.push_back({"accounts", "the list is empty: no key is valid"});
  }
  return remarks;
}

}  // namespace borageloft::declaration
