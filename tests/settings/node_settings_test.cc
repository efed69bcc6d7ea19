#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "libraries/settings/settings.h"

namespace borageloft::settings {
namespace {

using ::testing::HasSubstr;

constexpr const char* kValid = R"(
[node]
id = n1
region = ne-north
zone = ne-north-a
data = /tmp/n1
[listen]
callers = 127.0.0.1:8000
local = 127.0.0.1:8001
peers = 127.0.0.1:8002
operators = 127.0.0.1:8003
[control]
peers = n1/ne-north@127.0.0.1:8002
[transport]
ping_interval = 250ms
)";

std::vector<Issue> IssuesOf(const std::string& text) {
  try {
    ParseNodeSettings(text, "node.ini");
  } catch (const SettingsError& error) {
    return error.issues();
  }
  return {};
}

TEST(NodeSettingsTest, ReadsValuesAndDefaults) {
  const NodeSettings settings = ParseNodeSettings(kValid, "node.ini");
  EXPECT_EQ(settings.zone, "ne-north-a");
  EXPECT_EQ(settings.peers, (Endpoint{"127.0.0.1", 8002}));
  EXPECT_EQ(settings.transport.ping_interval, std::chrono::milliseconds(250));
  EXPECT_EQ(settings.limits.streams, 4096);
  EXPECT_TRUE(settings.is_control_host());
}

// Guards against ledger groups beyond what the hosts of a region can carry.
TEST(NodeSettingsTest, ReadsLedgerGroupsWithinRange) {
  EXPECT_EQ(ParseNodeSettings(kValid, "node.ini").ledger_groups, 1);
  std::string text = kValid;
  text.replace(text.find("[transport]"), 0, "ledger_groups = 17\n");
  const auto issues = IssuesOf(text);
  ASSERT_EQ(issues.size(), 1U);
  EXPECT_THAT(issues[0].message, HasSubstr("from 1 to 16"));
}

// Guards against a mistyped key that leaves its default in force unnoticed.
TEST(NodeSettingsTest, RefusesUnknownKeysAndSectionsWithPlace) {
  const auto issues = IssuesOf(std::string(kValid) + "ping_intervall = 1s\n[tracking]\n");
  ASSERT_EQ(issues.size(), 2U);
  EXPECT_EQ(issues[0].key, "tracking");
  EXPECT_EQ(issues[1].key, "ping_intervall");
  EXPECT_EQ(issues[1].line, 16);
}

// Guards against reports that make the operator fix one fault at a time.
TEST(NodeSettingsTest, ReportsEveryFaultWithRange) {
  const auto issues = IssuesOf(
      "[node]\nid = a b\nzone = z\n[limits]\nstreams = 0\nbody_bytes = x\n"
      "[transport]\nping_interval = 5\n");
  std::string all = SettingsError(issues).what();
  EXPECT_THAT(all, HasSubstr("node.ini:2: id: \"a b\" is no name"));
  EXPECT_THAT(all, HasSubstr("region: is required"));
  EXPECT_THAT(all, HasSubstr("node.ini:5: streams: \"0\" is no whole number from 1 to 65536"));
  EXPECT_THAT(all, HasSubstr("node.ini:6: body_bytes"));
  EXPECT_THAT(all, HasSubstr("node.ini:8: ping_interval: \"5\" is no time from 20ms to 60s"));
  EXPECT_THAT(all, HasSubstr("callers: is required"));
  EXPECT_THAT(all, HasSubstr("peers: names no control host of this node's region"));
}

// Guards against an operator interface open to the network without a token.
TEST(NodeSettingsTest, RefusesOpenOperatorAddressWithoutToken) {
  std::string text = kValid;
  text.replace(text.find("operators = 127.0.0.1"), 21, "operators = 10.0.0.1 ");
  text.replace(text.find("10.0.0.1 :"), 10, "10.0.0.1:");
  const auto issues = IssuesOf(text);
  ASSERT_EQ(issues.size(), 1U);
  EXPECT_EQ(issues[0].key, "operators");
}

// Guards against a control host that would vote without durable state.
TEST(NodeSettingsTest, RefusesControlHostWithoutDataFolder) {
  std::string text = kValid;
  text.erase(text.find("data = /tmp/n1\n"), 15);
  ASSERT_EQ(IssuesOf(text).size(), 1U);
}

// Guards against inih cutting a long line and the cut value being taken as whole.
TEST(IniDocumentTest, RefusesLongLinesRepeatsAndStrayKeys) {
  std::vector<Issue> issues;
  IniDocument::Parse("stray = 1\n[a]\nk = 1\nk = 2\n[a]\nlong = " + std::string(300, 'x') + "\n",
                     "f", issues);
  ASSERT_EQ(issues.size(), 4U);
  EXPECT_EQ(issues[0].line, 1);
  EXPECT_EQ(issues[1].line, 4);
  EXPECT_EQ(issues[2].line, 5);
  EXPECT_EQ(issues[3].line, 6);
}

TEST(EndpointTest, AcceptsNumbersOnly) {
  EXPECT_EQ(ParseEndpoint("[::1]:80"), (Endpoint{"::1", 80}));
  for (const char* text : {"", "localhost:80", "127.0.0.1", "127.0.0.1:70000", "1.2.3:4", ":80",
                           "127.0.0.1:8x", "[::1:80"}) {
    EXPECT_FALSE(ParseEndpoint(text).has_value()) << text;
  }
}

}  // namespace
}  // namespace borageloft::settings
