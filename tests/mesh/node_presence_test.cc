#include "libraries/mesh/node_presence.h"

#include <gtest/gtest.h>

namespace borageloft::mesh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kSettings =
    "[mesh]\nname = n\nzone = z\nrole = node\n"
    "[listen]\ncalls = 127.0.0.1:1\npeers = 127.0.0.1:2\ncallers = 127.0.0.1:3\n"
    "readiness = 127.0.0.1:4\n"
    "[upstream]\naddress = 127.0.0.1:5\nservice = parts\n"
    "[control]\nseeds = 127.0.0.2:1\n";

/** A node without sockets on a manual clock, which hears its upstream only. */
class NodePresenceTest : public ::testing::Test {
 protected:
  void SetUp() override {
    base::ReplaceLogSink([](std::string_view) {});
    NodePresenceHooks hooks;
    hooks.clock = [this] { return now_; };
    hooks.suspension_aware_clock = hooks.clock;
    hooks.send = [this](const std::string&, const std::string& payload) {
      const directory::Message message = directory::Decode(payload);
      if (const auto* request = std::get_if<directory::DepartureRequest>(&message)) {
        departed_.push_back(request->departed);
      }
    };
    hooks.send_probe = [](const std::string&, const InstanceProbeHooks::AnswerHandler&) {};
    hooks.describe_load = [](directory::InstanceRecord&) {};
    hooks.on_declaration = [](const declaration::Declaration&) {};
    hooks.on_records = [](const directory::NodeSet&) {};
    hooks.on_own_record = [](const directory::InstanceRecord&) {};
    hooks.on_instance_lost = [] {};
    presence_ = std::make_unique<NodePresence>(ParseMeshSettings(kSettings, "n"), kEpoch, Dialect{},
                                               std::move(hooks), timers_);
    presence_->Start();
  }
  void TearDown() override {
    presence_.reset();
    base::ReplaceLogSink({});
  }

  void Leave(const directory::Incarnation& incarnation) {
    presence_->HandleLeave(incarnation,
                           [this](AnnouncementOutcome outcome) { outcomes_.push_back(outcome); });
  }

  static constexpr std::uint64_t kEpoch = 77;

  base::TimePoint now_{seconds(100)};
  timer::TimerService timers_{[this] { return now_; }};
  std::vector<directory::Incarnation> departed_;  // As sent to the control hosts.
  std::vector<AnnouncementOutcome> outcomes_;
  std::unique_ptr<NodePresence> presence_;
};

// Guards against a leave without a start that is acknowledged though nothing of it is recorded: a
// restarted node took the upstream back into use.
TEST_F(NodePresenceTest, AcknowledgesNoLeaveOfAnUnidentifiedProcess) {
  Leave({"i-1", 0});
  EXPECT_EQ(outcomes_, std::vector{AnnouncementOutcome::kNotRecorded});
  now_ += milliseconds(500);
  presence_->HandleHeartbeat({"i-1", "parts", 10, 5, directory::InstanceState::kServing, 8, {}},
                             [](AnnouncementOutcome) {});
  EXPECT_TRUE(presence_->instance().leaving_since()) << "its leave was heard all the same";
  Leave({"i-1", 0});
  ASSERT_FALSE(departed_.empty());
  EXPECT_EQ(departed_.back(), (directory::Incarnation{"i-1", 10}));
  EXPECT_EQ(outcomes_.size(), 1U) << "it is acknowledged once the control hosts have recorded it";
  presence_->HandleControl("127.0.0.2:1",
                           directory::Encode(directory::DepartureAnswer{kEpoch, {{"i-1", 10}}}));
  ASSERT_EQ(outcomes_.size(), 2U);
  EXPECT_EQ(outcomes_.back(), AnnouncementOutcome::kTaken);
}

}  // namespace
}  // namespace borageloft::mesh
