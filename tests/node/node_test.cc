#include "libraries/node/node.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <httplib.h>

#include <array>
#include <filesystem>
#include <future>
#include <thread>

#include "libraries/control_rpc/control_rpc.h"
#include "tests/node/test_node.h"

namespace borageloft::node {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using ::testing::HasSubstr;

/** Takes a port of its own until it is destroyed. */
class TakenPort {
 public:
  TakenPort() : acceptor_(context_, {asio::ip::make_address("127.0.0.1"), 0}) {}
  settings::Endpoint endpoint() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }

 private:
  asio::io_context context_;
  asio::ip::tcp::acceptor acceptor_;
};

settings::NodeSettings MakeSettings() {
  settings::NodeSettings settings;
  settings.node = "n1";
  settings.region = "r";
  settings.zone = "z";
  // Held together, so that the system gives a different port each time.
  const std::array<TakenPort, 4> ports;
  settings.callers = ports[0].endpoint();
  settings.local = ports[1].endpoint();
  settings.peers = ports[2].endpoint();
  settings.operators = ports[3].endpoint();
  settings.control_peers = {{"n1", "r", settings.peers}};
  settings.data_folder = ::testing::TempDir() + "node_test_" + std::to_string(settings.peers.port);
  std::filesystem::create_directories(settings.data_folder);
  return settings;
}

/** A node with an upstream whose path /held waits until the test lets it go. */
class NodeTest : public ::testing::Test {
 protected:
  NodeTest()
      : upstream_({}, [this](const http::HttpRequest& request) {
          if (request.target == "/held") {
            entered_.set_value();
            while (!is_released_ && !request.is_caller_gone()) {
              std::this_thread::yield();
            }
          }
          return http::HttpResponse{200, {}, request.target};
        }) {}

  void Start() {
    node_ = std::make_unique<Node>(MakeSettings());
    const auto address = settings::FormatEndpoint(upstream_.Start({"127.0.0.1", 0}));
    const std::string body = R"({"service":"s","address":")" + address +
                             R"(","slots":4,"connections":8,"lease_ms":60000})";
    const auto answer = Local().Put("/v1/upstream", body, "application/json");
    ASSERT_TRUE(answer);
    ASSERT_EQ(answer->status, 200) << answer->body;
  }
  httplib::Client Local() const {
    return httplib::Client("127.0.0.1", node_->endpoints().local.port);
  }
  httplib::Result Call(const std::string& path) const {
    httplib::Client client("127.0.0.1", node_->endpoints().callers.port);
    client.set_read_timeout(60);
    return client.Get(path);
  }
  // Submits the first release note; the group elects its leader meanwhile.
  void SubmitNote() const {
    const control_rpc::RpcClient client(node_->endpoints().operators, "", seconds(60));
    Json::Value parameters;
    parameters["file"] = "note";
    parameters["text"] = "[note]\nnumber = 1\nauthor = test\n[added service s]\ntimeout = 60s\n";
    EXPECT_EQ(client.Call("note_submit", parameters)["result"], "accepted");
  }
  // The registry of a control host that has just started needs a moment to serve views.
  bool WaitUntilServed() const {
    for (int i = 0; i < 600; ++i) {
      if (const auto answer = Call("/s/x"); answer && answer->status == 200) {
        return answer->body == "/x";
      }
      std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
  }

  std::promise<void> entered_;
  std::atomic<bool> is_released_ = false;
  http::HttpServer upstream_;
  std::unique_ptr<Node> node_;
};

// Guards against parts that work alone and not together, and R7: the drain lets a request in
// progress end, while new ones hear that they were not run.
TEST_F(NodeTest, ServesAndDrains) {
  Start();
  EXPECT_EQ(Local().Get("/healthz")->status, 200);
  EXPECT_EQ(Local().Get("/readyz")->status, 503);  // No release note is in force yet.
  SubmitNote();
  ASSERT_TRUE(WaitUntilServed());
  EXPECT_THAT(Local().Get("/metrics")->body, HasSubstr("borageloft"));
  auto held = std::async(std::launch::async, [this] { return Call("/s/held"); });
  entered_.get_future().wait();
  auto drained = std::async(std::launch::async, [this] { return node_->Drain(); });
  while (true) {
    const auto answer = Call("/s/x");
    ASSERT_TRUE(answer);
    if (answer->status == 503) {
      EXPECT_EQ(answer->get_header_value("Borageloft-Outcome"), "not-run");
      break;
    }
    ASSERT_EQ(answer->status, 200);
  }
  is_released_ = true;
  const auto answer = held.get();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->status, 200);
  EXPECT_EQ(answer->body, "/held");
  EXPECT_TRUE(drained.get());
}

// Guards against a start that fails half way and ends the process, or does not say why.
TEST_F(NodeTest, RefusesToStartOnATakenPort) {
  const TakenPort taken;
  const auto members = {&settings::NodeSettings::callers, &settings::NodeSettings::local,
                        &settings::NodeSettings::peers, &settings::NodeSettings::operators};
  for (const auto member : members) {
    settings::NodeSettings settings = MakeSettings();
    settings.*member = taken.endpoint();
    try {
      const Node node(settings);
      ADD_FAILURE() << "started on a taken port";
    } catch (const base::Error& error) {
      EXPECT_THAT(error.what(), HasSubstr(settings::FormatEndpoint(taken.endpoint())));
    }
  }
}

// Guards against a stop that outlives its parts: the upstream's call ends after they are gone.
TEST_F(NodeTest, StopsWithARequestInProgress) {
  Start();
  SubmitNote();
  ASSERT_TRUE(WaitUntilServed());
  const int port = node_->endpoints().callers.port;
  auto held = std::async(std::launch::async, [port] {
    httplib::Client client("127.0.0.1", port);
    client.set_read_timeout(60);
    return client.Get("/s/held", {{"Borageloft-Timeout-Ms", "3000"}});
  });
  entered_.get_future().wait();
  node_.reset();
  const auto answer = held.get();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->get_header_value("Borageloft-Outcome"), "unknown");
}

}  // namespace
}  // namespace borageloft::node
