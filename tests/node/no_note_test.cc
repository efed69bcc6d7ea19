#include <gtest/gtest.h>

#include <asio.hpp>

#include "libraries/node/attempt_loop.h"
#include "libraries/node/request_entry.h"
#include "tests/node/cluster.h"

namespace borageloft::node {
namespace {

/** Entry and gate of a node that has heard of no release note. */
class NoNoteTest : public ::testing::Test {
 protected:
  NoNoteTest() : gate_(host_.services(), running_, MakeHooks()) {}

  static GateHooks MakeHooks() {
    GateHooks hooks;
    hooks.upstream_changed = [](const std::optional<membership::UpstreamData>&) {};
    hooks.level_below = [] { return admission::AdmissionLevel(); };
    hooks.once.acquire = [](const wire::Request&, base::TimePoint) {
      ADD_FAILURE() << "asked for a permit";
      return std::optional<wire::Response>();
    };
    return hooks;
  }

  MemoryNetwork network_;
  TestHost host_{network_, "n", {"n"}};
  RunningRequests running_;
  UpstreamGate gate_;
};

// Guards against a non-idempotent request that runs unprotected since its service is not known yet.
TEST_F(NoNoteTest, GateRefusesAsNotRun) {
  ASSERT_EQ(gate_.Announce({"pay", "127.0.0.1:1", 4, 4, std::chrono::seconds(60)}),
            membership::AnnounceRefusal::kNone);
  wire::Request request;
  request.service = "pay";
  request.method = "POST";
  request.path = "/";
  std::optional<wire::Response> answer;
  gate_.Submit(request, base::SystemClock()() + std::chrono::seconds(1),
               [&](wire::Response response) { answer = std::move(response); });
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->outcome, wire::Outcome::kNotRun);
  EXPECT_EQ(answer->reason, "no_note");
}

// Guards against an entry that routes a request by the default policy.
TEST_F(NoNoteTest, EntryRefusesAsNotRun) {
  asio::io_context context;
  transport::PeerTransport transport(context, transport::TransportOptions{}, {});
  RoutingTable routes(host_.services());
  CallSender sender(host_.services(), gate_, transport);
  AttemptLoop attempts(host_.services(), routes, sender,
                       [](const std::string&, base::TimePoint) { ADD_FAILURE() << "routed"; });
  RequestEntry entry(host_.services(), routes, running_, attempts);
  http::HttpRequest request;
  request.method = "POST";
  request.target = "/pay/claims";
  const http::HttpResponse response = entry.Handle(request, CallerKind::kOutside);
  EXPECT_EQ(response.status, 503);
  EXPECT_EQ(http::FindHeader(response.headers, http::kOutcomeHeader), "not-run");
  EXPECT_NE(response.body.find("no_note"), std::string::npos);
}

}  // namespace
}  // namespace borageloft::node
