#include <gtest/gtest.h>

#include <limits>
#include <map>

#include "libraries/declaration/declaration.h"

namespace borageloft::declaration {
namespace {

std::vector<ClientAccount> ValidAccounts() {
  return {{"school", {"key-1", "key-2"}, 1, {5, 10}}, {"village", {"key-3"}, std::nullopt, {}}};
}

// Guards against accounts that are accepted though it is not clear who holds a key, and against
// messages that contain a key.
TEST(ClientAccountTest, FindsEachFaultWithoutNamingKeys) {
  EXPECT_FALSE(FindAccountFault(ValidAccounts()));
  const std::map<std::string, std::function<void(std::vector<ClientAccount>&)>> faults = {
      {"'village': account 'school' holds the same key",
       [](auto& accounts) { accounts[1].keys.push_back("key-1"); }},
      {"'village': a key is empty", [](auto& accounts) { accounts[1].keys.push_back(""); }},
      {"name of a client account is empty", [](auto& accounts) { accounts[0].name.clear(); }},
      {"'school': another account", [](auto& accounts) { accounts[1].name = "school"; }},
      {"'school': its rate and burst", [](auto& accounts) { accounts[0].quota.rate = -1; }},
      {"'village': its rate and burst",
       [](auto& accounts) { accounts[1].quota.burst = std::numeric_limits<double>::infinity(); }},
  };
  for (const auto& [text, inject_fault] : faults) {
    std::vector<ClientAccount> accounts = ValidAccounts();
    inject_fault(accounts);
    const auto fault = FindAccountFault(accounts);
    ASSERT_TRUE(fault) << text;
    EXPECT_NE(fault->find(text), std::string::npos) << *fault;
    EXPECT_EQ(fault->find("key-"), std::string::npos) << *fault;
  }
}

TEST(ClientAccountTest, FindsTheHolderOfAKey) {
  const AccountTable table(ValidAccounts());
  ASSERT_NE(table.FindByKey("key-2"), nullptr);
  EXPECT_EQ(table.FindByKey("key-2")->name, "school");
  EXPECT_EQ(table.FindByKey("key"), nullptr);
  EXPECT_EQ(table.FindByKey(""), nullptr);
}

// Guards against logs of changes that contain keys or do not show that keys have changed.
TEST(ClientAccountTest, ChangesOfKeysAreNamedByADigest) {
  Declaration before;
  before.accounts = ValidAccounts();
  Declaration after = before;
  after.accounts->front().keys[0] = "key-9";
  const DeclarationChanges changes = FindChanges(before, after, 10);
  ASSERT_EQ(changes.entries.size(), 1U);
  EXPECT_NE(changes.entries[0].find("account school"), std::string::npos);
  EXPECT_EQ(changes.entries[0].find("key-"), std::string::npos) << changes.entries[0];
}

// Guards against a log that does not show that callers need keys from now on, or need none.
TEST(ClientAccountTest, ChangesNameWhetherKeysAreRequired) {
  Declaration before;
  before.accounts = ValidAccounts();
  Declaration after;
  after.accounts = std::vector<ClientAccount>{};
  for (const std::string& entry : FindChanges(before, after, 10).entries) {
    EXPECT_NE(entry.find("removed"), std::string::npos) << entry;
  }
  const DeclarationChanges changes = FindChanges(after, {}, 10);
  EXPECT_EQ(changes.entries, std::vector<std::string>{"keys: required -> not required"});
}

// Guards against an account's priority that makes all routes equal.
TEST(PriorityRanksTest, ComparesAccountsBeforeRoutes) {
  Declaration declaration;
  for (const std::uint32_t priority : {0U, 4U}) {
    Route route;
    route.priority = priority;
    declaration.routes.push_back(route);
  }
  declaration.accounts = {{"a", {}, 2, {}}, {"b", {}, 1, {}}, {"c", {}, std::nullopt, {}}};
  const PriorityRanks ranks(declaration);
  EXPECT_LT(ranks.RankOf(1, 4), ranks.RankOf(2, 0));
  EXPECT_LT(ranks.RankOf(2, 0), ranks.RankOf(2, 4));
  EXPECT_LT(ranks.RankOf(std::nullopt, 0), ranks.RankOf(1, 0));
  EXPECT_LT(ranks.RankOf(2, 4), ranks.RankOf(std::nullopt, 4));
}

}  // namespace
}  // namespace borageloft::declaration
