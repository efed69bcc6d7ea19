#include "libraries/node/control_channel.h"

#include <gtest/gtest.h>

#include <stdexcept>
#include <vector>

namespace borageloft::node {
namespace {

/** A channel whose own messages run when the test says so. */
class ControlChannelTest : public ::testing::Test {
 protected:
  void RunPosted() {
    for (const auto& task : std::exchange(posted_, {})) {
      task();
    }
  }

  std::vector<std::function<void()>> posted_;
  ControlChannel channel_{
      "self", {{"control", "r", {"127.0.0.1", 1}}}, [this](std::function<void()> task) {
        posted_.push_back(std::move(task));
      }};
};

// Guards against a message to this node that runs within the sender's locks.
TEST_F(ControlChannelTest, OwnMessagesArriveLater) {
  std::vector<std::string> received;
  channel_.Handle(wire::Channel::kMembership,
                  [&](const std::string& from, const std::string& payload) {
                    received.push_back(from + " " + payload);
                  });
  channel_.Send("self", wire::Channel::kMembership, "a");
  EXPECT_TRUE(received.empty());
  RunPosted();
  EXPECT_EQ(received, std::vector<std::string>{"self a"});
}

// Guards against an end of the process by a malformed message: the handler of notes parses numbers
// with the standard library, whose errors are none of base::Error.
TEST_F(ControlChannelTest, MalformedMessageIsDropped) {
  channel_.Handle(wire::Channel::kMembership, [](const std::string&, const std::string& payload) {
    static_cast<void>(std::stoull(payload));
  });
  EXPECT_NO_THROW(channel_.Receive("peer", wire::Channel::kMembership, "no number"));
  EXPECT_NO_THROW(
      channel_.Receive("peer", wire::Channel::kMembership, "99999999999999999999999999"));
}

// Guards against a message of a newer node that ends this one.
TEST_F(ControlChannelTest, MessagesNobodyHandlesAreDropped) {
  channel_.Receive("peer", wire::Channel::kReplication, "x");
  channel_.Send("nobody", wire::Channel::kReplication, "x");
  EXPECT_TRUE(posted_.empty());
}

}  // namespace
}  // namespace borageloft::node
