#ifndef BORAGELOFT_LEDGER_LEDGER_GROUPS_H_
#define BORAGELOFT_LEDGER_LEDGER_GROUPS_H_

#include <map>
#include <string>
#include <vector>

#include "libraries/ledger/idempotency_key.h"

namespace borageloft::ledger {

/** How long before its time a change of groups or homes must be known; covers dissemination. */
inline constexpr std::chrono::seconds kGroupChangeLead{90};

/** One ledger group: a replicated LedgerState. */
struct LedgerGroup {
  std::string name;
  std::string region;
  bool operator==(const LedgerGroup&) const = default;
};

/**
 * Maps each key to the group that decides it. The mapping depends on the time in the key and on the
 * groups and the service's home region that were in force at that time. A key therefore never moves
 * from one group to another, which would allow a second grant. A group that was taken out must go
 * on serving until the window of its last key has passed. Not thread-safe.
 */
class LedgerGroups {
 public:
  /**
   * Sets the groups for keys from @p from on. The first set is in force for all keys.
   * @param groups Groups of all regions; names are unique.
   * @param from Time in the key; at least kGroupChangeLead after @p now, except for the first set.
   * @param now Current time.
   * @throws LedgerError if the change is too early or a name occurs twice.
   */
  void SetGroups(std::vector<LedgerGroup> groups, base::WallTime from, base::WallTime now);

  /** Sets the home region of a service, by the same rules as SetGroups(). */
  void SetHome(const std::string& service, std::string region, base::WallTime from,
               base::WallTime now);

  /**
   * @return The group of a key.
   * @throws LedgerError if the service has no home, or its home had no group at the key's time.
   */
  const LedgerGroup& GroupOf(const IdempotencyKey& key, const std::string& service) const;

  /** Forgets groups and homes that no key within the window refers to. */
  void ForgetOld(base::WallTime now);

 private:
  using Groups = std::vector<LedgerGroup>;
  template <typename Value>
  using Timeline = std::map<std::chrono::milliseconds, Value>;

  Timeline<Groups> groups_;
  std::map<std::string, Timeline<std::string>> homes_;
};

}  // namespace borageloft::ledger

#endif  // BORAGELOFT_LEDGER_LEDGER_GROUPS_H_
