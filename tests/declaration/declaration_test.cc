#include "libraries/declaration/declaration.h"

#include <gtest/gtest.h>

#include <map>

namespace borageloft::declaration {
namespace {

Route MakeRoute(const std::string& prefix, std::vector<WeightedService> targets) {
  Route route;
  route.name = prefix;
  route.host = "shop.example";
  route.path_prefix = prefix;
  route.timeout = std::chrono::milliseconds(800);
  route.targets = std::move(targets);
  return route;
}

Declaration MakeValidDeclaration() {
  Declaration declaration;
  declaration.version = 5;
  declaration.services = {{"a", 10}, {"b", 10}};
  declaration.routes = {MakeRoute("/x/", {{"a", 1}}), MakeRoute("/x/y/", {{"b", 1}})};
  return declaration;
}

TEST(RoutesTest, FindsEachFault) {
  EXPECT_FALSE(FindFault(MakeValidDeclaration()));
  const std::map<std::string, std::function<void(Declaration&)>> faults = {
      {"version", [](Declaration& d) { d.version = 0; }},
      {"host", [](Declaration& d) { d.routes[0].host.clear(); }},
      {"prefix", [](Declaration& d) { d.routes[0].path_prefix = "/x"; }},
      {"unknown service",
       [](Declaration& d) {
         d.routes[0].targets = {{"c", 1}};
       }},
      {"add up to 0",
       [](Declaration& d) {
         d.routes[0].targets = {{"a", 0}, {"b", 0}};
       }},
      {"below 0",
       [](Declaration& d) {
         d.routes[0].targets = {{"a", -1}, {"b", 2}};
       }},
      {"names no service", [](Declaration& d) { d.routes[0].targets.clear(); }},
      {"stands twice",
       [](Declaration& d) {
         d.services.push_back({"a", 1});
       }},
      {"same host", [](Declaration& d) { d.routes[1].path_prefix = "/x/"; }},
  };
  for (const auto& [text, inject_fault] : faults) {
    Declaration declaration = MakeValidDeclaration();
    inject_fault(declaration);
    const auto fault = FindFault(declaration);
    ASSERT_TRUE(fault) << text;
    EXPECT_NE(fault->find(text), std::string::npos) << *fault;
  }
}

TEST(RoutesTest, RefusesARouteThatWouldRunWithoutATimeLimit) {
  Declaration declaration = MakeValidDeclaration();
  declaration.routes[1].timeout = base::Duration::zero();
  EXPECT_TRUE(FindFault(declaration));
}

// The route table ignores the case of hosts, so it would keep only one of the two routes.
TEST(RoutesTest, RefusesRoutesWhoseHostsDifferOnlyInCase) {
  Declaration declaration = MakeValidDeclaration();
  declaration.routes[1].host = "SHOP.example";
  declaration.routes[1].path_prefix = declaration.routes[0].path_prefix;
  EXPECT_TRUE(FindFault(declaration));
}

TEST(DeclarationChangesTest, NamesWhatDiffers) {
  const Declaration before = MakeValidDeclaration();
  EXPECT_EQ(FindChanges(before, before, 8).count, 0U);
  Declaration after = before;
  after.routes[0].timeout = std::chrono::milliseconds(0);
  after.routes[1].path_prefix = "/z/";
  const DeclarationChanges changes = FindChanges(before, after, 2);
  EXPECT_EQ(changes.count, 3U);
  ASSERT_EQ(changes.entries.size(), 2U);
  EXPECT_NE(changes.entries[0].find("timeout=800ms"), std::string::npos) << changes.entries[0];
  EXPECT_NE(changes.entries[0].find("-> /x/ timeout=0ms"), std::string::npos) << changes.entries[0];
  EXPECT_NE(changes.entries[1].find("/z/: added"), std::string::npos) << changes.entries[1];
}

// Guards against matching a shorter prefix, a partial path segment or the query.
TEST(RouteTableTest, TakesTheLongestPrefixOfTheHost) {
  RouteTable table(MakeValidDeclaration(), base::SeededRandom(1));
  ASSERT_NE(table.Find("SHOP.example:80", "/x/y/z?q=/x/"), nullptr);
  EXPECT_EQ(table.Find("shop.example", "/x/y/z")->route().path_prefix, "/x/y/");
  EXPECT_EQ(table.Find("shop.example", "/x/yy")->route().path_prefix, "/x/");
  EXPECT_EQ(table.Find("shop.example", "/x/y")->route().path_prefix, "/x/");
  EXPECT_EQ(table.Find("shop.example", "/xx/"), nullptr);
  EXPECT_EQ(table.Find("other.example", "/x/"), nullptr);
  EXPECT_EQ(table.Find("shop.example", "/"), nullptr);
  EXPECT_EQ(table.Find("shop.example", "/?next=/x/"), nullptr);
}

// Guards against a split that follows the weights only over many requests, and against requests to
// targets of weight 0.
TEST(RouteTableTest, SplitsByWeightAlsoOverFewRequests) {
  RouteEntry entry(MakeRoute("/x/", {{"zero", 0}, {"a", 90}, {"b", 10}}), base::SeededRandom(1));
  std::map<std::string, int> counts;
  for (int i = 1; i <= 1000; ++i) {
    ++counts[entry.NextService()];
    EXPECT_LE(std::abs(counts["a"] - 0.9 * i), 1.0);
  }
  EXPECT_EQ(counts["zero"], 0);
}

// Guards against a large fleet that sends the lighter part of a split nothing: each node sees few
// requests between two declarations and begins with the heavier part.
TEST(RouteTableTest, ManyNodesKeepToTheWeightsTogether) {
  const base::Random random = base::SeededRandom(7);
  constexpr int kNodes = 200;
  for (const int requests : {1, 3}) {
    std::map<std::string, int> counts;
    for (int node = 0; node < kNodes; ++node) {
      RouteEntry entry(MakeRoute("/x/", {{"a", 70}, {"b", 30}}), random);
      for (int i = 0; i < requests; ++i) {
        ++counts[entry.NextService()];
      }
    }
    EXPECT_NEAR(counts["b"] / static_cast<double>(kNodes * requests), 0.3, 0.1) << requests;
  }
}

// Guards against accepting two declarations with the same base, and against refusing a retry after
// its acknowledgement was lost.
TEST(DeclarationRegisterTest, AppliesCompareAndSet) {
  DeclarationRegister state;
  EXPECT_EQ(state.Apply({0, 3, "first"}), ReplaceOutcome::kAccepted);
  EXPECT_EQ(state.Apply({0, 3, "other"}), ReplaceOutcome::kWrongBase);
  EXPECT_EQ(state.Apply({0, 3, "first"}), ReplaceOutcome::kAcceptedEarlier);
  EXPECT_EQ(state.Apply({3, 3, "same number"}), ReplaceOutcome::kNotAbove);
  EXPECT_EQ(state.Apply({3, 9, "second"}), ReplaceOutcome::kAccepted);
  EXPECT_EQ(state.Apply({3, 8, "loser"}), ReplaceOutcome::kWrongBase);
  EXPECT_EQ(state.Apply({0, 3, "first"}), ReplaceOutcome::kAcceptedEarlier);
  EXPECT_EQ(state.version(), 9U);
  EXPECT_EQ(state.text(), "second");
}

// Guards against a snapshot that lacks the accepted commands.
TEST(DeclarationRegisterTest, RestoresItsWholeState) {
  DeclarationRegister state;
  for (Version version = 1; version <= 300; ++version) {
    ASSERT_EQ(state.Apply({version - 1, version, std::string(version % 7, 'x')}),
              ReplaceOutcome::kAccepted);
  }
  DeclarationRegister restored;
  restored.Apply({0, 2, "else"});
  restored.Restore(state.Snapshot());
  EXPECT_EQ(restored.version(), 300U);
  EXPECT_EQ(restored.Snapshot(), state.Snapshot());
  EXPECT_EQ(restored.Preview({41, 42, ""}), ReplaceOutcome::kAcceptedEarlier);
  EXPECT_THROW(restored.Restore("short"), DeclarationError);
  restored.Restore("");
  EXPECT_EQ(restored.version(), 0U);
}

TEST(DeclarationRegisterTest, EncodesAndDecodesCommands) {
  const ReplaceCommand decoded = DecodeCommand(EncodeCommand({7, 9, std::string("a\0b", 3)}));
  EXPECT_EQ(decoded.base, 7U);
  EXPECT_EQ(decoded.version, 9U);
  EXPECT_EQ(decoded.text, std::string("a\0b", 3));
  EXPECT_THROW(DecodeCommand("x"), DeclarationError);
}

TEST(DeclarationRegisterTest, CompressesALongCommand) {
  std::string text;
  while (text.size() < (std::size_t{1} << 20U)) {
    text += "route " + std::to_string(text.size()) + " of a long declaration\n";
  }
  const std::string bytes = EncodeCommand({7, 9, text});
  EXPECT_LT(bytes.size(), text.size() / 4);
  const ReplaceCommand decoded = DecodeCommand(bytes);
  EXPECT_EQ(decoded.base, 7U);
  EXPECT_EQ(decoded.version, 9U);
  EXPECT_EQ(decoded.text, text);
  EXPECT_THROW(DecodeCommand(bytes.substr(0, bytes.size() - 10)), DeclarationError);
  EXPECT_THROW(DecodeCommand(bytes.substr(0, 20)), DeclarationError);
  std::string oversized = bytes;
  oversized[24] = '\x7f';  // The highest byte of the stated size.
  EXPECT_THROW(DecodeCommand(oversized), DeclarationError);
}

}  // namespace
}  // namespace borageloft::declaration
