#include "libraries/declaration/client_account.h"

#include <cmath>
#include <set>
#include <utility>

namespace borageloft::declaration {

std::optional<std::string> FindAccountFault(const std::vector<ClientAccount>& accounts) {
  std::set<std::string_view> names;
  std::unordered_map<std::string_view, std::string_view> owners;
  for (const ClientAccount& account : accounts) {
    if (account.name.empty()) {
      return "the name of a client account is empty";
    }
    const std::string message_prefix = "client account '" + account.name + "': ";
    if (!names.insert(account.name).second) {
      return message_prefix + "another account has the same name";
    }
    for (const double limit : {account.quota.rate, account.quota.burst}) {
      if (!std::isfinite(limit) || limit < 0) {
        return message_prefix + "its rate and burst must not be below 0";
      }
    }
    for (const std::string& key : account.keys) {
      if (key.empty()) {
        return message_prefix + "a key is empty";
      }
      const auto [owner, is_new] = owners.emplace(key, account.name);
      if (!is_new && owner->second != account.name) {
        return message_prefix + "account '" + std::string(owner->second) + "' holds the same key";
      }
    }
  }
  return std::nullopt;
}

AccountTable::AccountTable(std::vector<ClientAccount> accounts) : accounts_(std::move(accounts)) {
  for (const ClientAccount& account : accounts_) {
    for (const std::string& key : account.keys) {
      by_key_.emplace(key, &account);
    }
  }
}

const ClientAccount* AccountTable::FindByKey(std::string_view key) const {
  const auto found = by_key_.find(key);
  return found == by_key_.end() ? nullptr : found->second;
}

}  // namespace borageloft::declaration
