#include <gtest/gtest.h>

#include "libraries/declaration/declaration.h"

namespace borageloft::declaration {
namespace {

Declaration SoundDeclaration() {
  Declaration declaration;
  declaration.version = 3;
  declaration.services = {{"a", 10}, {"b", 10}};
  Route route;
  route.name = "r";
  route.host = "h";
  route.path_prefix = "/x/";
  route.timeout = std::chrono::milliseconds(800);
  route.target_latency = std::chrono::milliseconds(500);
  route.targets = {{"a", 1}, {"b", 1}};
  declaration.routes = {route};
  declaration.accounts = {{"school", {"key-1"}, std::nullopt, {5, 5}}};
  return declaration;
}

// Guards against entries that never match, and limits that contradict each other, which nobody
// notices before they are in force.
TEST(DeclarationReviewTest, FindsWhatItsAuthorHardlyMeant) {
  ASSERT_FALSE(FindFault(SoundDeclaration()));
  EXPECT_TRUE(FindRemarks(SoundDeclaration()).empty());
  struct Case {
    const char* entry;
    const char* text;
    std::function<void(Declaration&)> change;
  };
  const std::vector<Case> cases = {
      {"r", "its weight is 0", [](Declaration& d) { d.routes[0].targets[1].weight = 0; }},
      {"r", "below its target latency",
       [](Declaration& d) { d.routes[0].target_latency = std::chrono::seconds(2); }},
      {"b", "no route leads", [](Declaration& d) { d.routes[0].targets.pop_back(); }},
      {"school", "it has no key", [](Declaration& d) { d.accounts->front().keys.clear(); }},
      {"school", "burst is below", [](Declaration& d) { d.accounts->front().quota.burst = 0.5; }},
      {"school", "no rate", [](Declaration& d) { d.accounts->front().quota.rate = 0; }},
      {"accounts", "all routes are public", [](Declaration& d) { d.routes[0].is_public = true; }},
      {"accounts", "no key is valid", [](Declaration& d) { d.accounts->clear(); }},
      {"r", "no client account",
       [](Declaration& d) {
         d.routes[0].is_public = true;
         d.accounts.reset();
       }},
  };
  for (const Case& entry : cases) {
    Declaration declaration = SoundDeclaration();
    entry.change(declaration);
    ASSERT_FALSE(FindFault(declaration)) << entry.text;
    const std::vector<Remark> remarks = FindRemarks(declaration);
    ASSERT_EQ(remarks.size(), 1U) << entry.text;
    EXPECT_EQ(remarks[0].entry, entry.entry);
    EXPECT_NE(remarks[0].text.find(entry.text), std::string::npos) << remarks[0].text;
  }
}

}  // namespace
}  // namespace borageloft::declaration
