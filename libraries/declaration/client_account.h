#ifndef BORAGELOFT_DECLARATION_CLIENT_ACCOUNT_H_
#define BORAGELOFT_DECLARATION_CLIENT_ACCOUNT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace borageloft::declaration {

/** Requests that an account may make, over all nodes together. */
struct AccountQuota {
  /** Requests per second; 0 if the account has no limit. */
  double rate = 0;
  /** Requests beyond the rate that may come at once. */
  double burst = 0;

  bool is_limited() const { return rate > 0 || burst > 0; }
  friend bool operator==(const AccountQuota&, const AccountQuota&) = default;
};

/** A customer, whose callers state one of its keys with each request. */
struct ClientAccount {
  std::string name;
  /** Secrets: they must not reach logs, metrics or upstreams. */
  std::vector<std::string> keys;
  /** Takes precedence over the priority of the route, which decides among equals. */
  std::optional<std::uint32_t> priority = std::nullopt;
  AccountQuota quota = {};
};

/**
 * Validates the accounts of a declaration.
 * @return Description of the first fault found, without any key, or nothing if they are valid.
 */
std::optional<std::string> FindAccountFault(const std::vector<ClientAccount>& accounts);

/** Finds the account that holds a key. Not thread-safe. */
class AccountTable {
 public:
  /** @param accounts Valid accounts, see FindAccountFault(). */
  explicit AccountTable(std::vector<ClientAccount> accounts);

  AccountTable(const AccountTable&) = delete;
  AccountTable& operator=(const AccountTable&) = delete;

  /** @return The account that holds @p key; null if there is none. Valid as long as the table. */
  const ClientAccount* FindByKey(std::string_view key) const;

  const std::vector<ClientAccount>& accounts() const { return accounts_; }

 private:
  struct KeyHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view key) const {
      return std::hash<std::string_view>()(key);
    }
  };

  std::vector<ClientAccount> accounts_;
  std::unordered_map<std::string, const ClientAccount*, KeyHash, std::equal_to<>> by_key_;
};

}  // namespace borageloft::declaration

#endif  // BORAGELOFT_DECLARATION_CLIENT_ACCOUNT_H_
