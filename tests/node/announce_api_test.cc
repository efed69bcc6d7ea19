#include "libraries/node/announce_api.h"

#include <gtest/gtest.h>

#include "tests/node/test_node.h"

namespace borageloft::node {
namespace {

constexpr const char* kBody =
    R"({"service":"s","address":"127.0.0.1:1","slots":4,"connections":8,"lease_ms":3000})";

// Guards against an announcement that is misread and then routed to.
TEST(AnnounceApiTest, ReadsAnnouncement) {
  std::string error;
  const auto announcement = ParseAnnouncement(kBody, error);
  ASSERT_TRUE(announcement.has_value()) << error;
  EXPECT_EQ(announcement->service, "s");
  EXPECT_EQ(announcement->slots, 4U);
  EXPECT_EQ(announcement->connections, 8U);
  EXPECT_EQ(announcement->lease, std::chrono::seconds(3));
}

// Guards against announcements that are accepted in part, and against an end of the process.
TEST(AnnounceApiTest, RefusesMalformedBodies) {
  TestNode node("n");
  AnnounceApi api(node.gate);
  const std::string deep(2000, '[');
  for (
      const std::string& body : std::vector<std::string>{
          "", "{", "[]", "7", "null", deep, std::string(kBody) + "x",
          R"({"service":"s","address":"127.0.0.1:1","slots":4,"connections":8})",
          R"({"service":7,"address":"127.0.0.1:1","slots":4,"connections":8,"lease_ms":3000})",
          R"({"service":"s","address":"127.0.0.1:1","slots":"4","connections":8,"lease_ms":3000})",
          R"({"service":"s","address":"127.0.0.1:1","slots":-4,"connections":8,"lease_ms":3000})",
          R"({"service":"s","address":"127.0.0.1:1","slots":1.5,"connections":8,"lease_ms":3000})",
          R"({"service":"s","address":"127.0.0.1:1","slots":4,"connections":8,"lease_ms":1e30})",
          R"({"service":"s","address":"127.0.0.1:1","slots":4,"connections":8,"lease_ms":3000,"z":1})"}) {
    const auto answer = api.Handle({"PUT", AnnounceApi::kPath, {}, body, "", {}});
    EXPECT_EQ(answer.status, 400) << body;
    EXPECT_EQ(OutcomeOf(answer), "not-run") << body;
  }
  EXPECT_FALSE(node.gate.status().upstream.has_value());
}

// Guards against values that are well formed and cannot be served.
TEST(AnnounceApiTest, RefusesValuesOutOfRange) {
  TestNode node("n");
  AnnounceApi api(node.gate);
  for (const char* body :
       {R"({"service":"S S","address":"127.0.0.1:1","slots":4,"connections":8,"lease_ms":3000})",
        R"({"service":"s","address":"localhost:1","slots":4,"connections":8,"lease_ms":3000})",
        R"({"service":"s","address":"127.0.0.1:99999","slots":4,"connections":8,"lease_ms":3000})",
        R"({"service":"s","address":"127.0.0.1:1","slots":0,"connections":8,"lease_ms":3000})",
        R"({"service":"s","address":"127.0.0.1:1","slots":4,"connections":0,"lease_ms":3000})",
        R"({"service":"s","address":"127.0.0.1:1","slots":4,"connections":8,"lease_ms":1})"}) {
    EXPECT_EQ(api.Handle({"PUT", AnnounceApi::kPath, {}, body, "", {}}).status, 409) << body;
  }
  EXPECT_FALSE(node.gate.status().upstream.has_value());
}

// Guards against an upstream that cannot announce itself, renew its lease or leave.
TEST(AnnounceApiTest, AnnouncesRenewsAndLeaves) {
  TestNode node("n");
  AnnounceApi api(node.gate);
  const auto call = [&](const char* method) {
    return api.Handle({method, AnnounceApi::kPath, {}, kBody, "", {}}).status;
  };
  EXPECT_EQ(call("DELETE"), 404);
  EXPECT_EQ(call("PUT"), 200);
  EXPECT_EQ(call("PUT"), 200);
  EXPECT_EQ(call("POST"), 405);
  EXPECT_EQ(call("DELETE"), 202);
  EXPECT_EQ(call("DELETE"), 404);
}

}  // namespace
}  // namespace borageloft::node
