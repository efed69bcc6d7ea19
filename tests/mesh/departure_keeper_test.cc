#include "libraries/mesh/departure_keeper.h"

#include <gtest/gtest.h>

namespace borageloft::mesh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class DepartureKeeperTest : public ::testing::Test {
 protected:
  void SetUp() override {
    base::ReplaceLogSink([](std::string_view) {});
    DepartureKeeperHooks hooks;
    hooks.clock = [this] { return now_; };
    hooks.send = [this](const std::string& bytes) {
      requests_.push_back(std::get<directory::DepartureRequest>(directory::Decode(bytes)));
    };
    keeper_ = std::make_unique<DepartureKeeper>("n1", kEpoch, instance_, std::move(hooks));
  }
  void TearDown() override { base::ReplaceLogSink({}); }

  void Record(const directory::Incarnation& departed) {
    keeper_->Record(departed, [this](RecordOutcome outcome) { outcomes_.push_back(outcome); });
  }
  void Answer(std::vector<directory::Incarnation> departed, std::uint64_t epoch = kEpoch) {
    const directory::DepartureAnswer answer{epoch, std::move(departed)};
    keeper_->Receive(
        std::get<directory::DepartureAnswer>(directory::Decode(directory::Encode(answer))));
  }
  void SendHeartbeat(std::uint64_t born, std::uint64_t sequence) {
    instance_.HandleHeartbeat(
        {"i-1", "parts", born, sequence, directory::InstanceState::kServing, 8, {}}, now_);
  }

  static constexpr std::uint64_t kEpoch = 77;

  base::TimePoint now_{seconds(100)};
  directory::LocalInstance instance_{"parts", seconds(4)};
  std::vector<directory::DepartureRequest> requests_;
  std::vector<RecordOutcome> outcomes_;
  std::unique_ptr<DepartureKeeper> keeper_;
};

// Guards against a node that was killed after it acknowledged a leave and takes the instance back
// into use by a heartbeat that arrives late.
TEST_F(DepartureKeeperTest, ARestartedNodeRecallsDeparturesBeforeItServes) {
  keeper_->Start();
  SendHeartbeat(10, 5);
  EXPECT_FALSE(instance_.is_known());
  now_ += DepartureKeeper::kPollInterval;
  keeper_->Poll();
  ASSERT_EQ(requests_.size(), 2U) << "lost requests are repeated";
  EXPECT_EQ(requests_.back().node, "n1");
  EXPECT_TRUE(requests_.back().departed.instance.empty());
  Answer({{"i-1", 10}});
  EXPECT_TRUE(keeper_->has_recalled());
  EXPECT_TRUE(instance_.is_known());
  EXPECT_EQ(instance_.leaving_since(), base::TimePoint{});
  SendHeartbeat(10, 6);
  EXPECT_TRUE(instance_.leaving_since());
  now_ += DepartureKeeper::kPollInterval;
  keeper_->Poll();
  EXPECT_EQ(requests_.size(), 2U);
}

// Guards against an answer to an earlier process of the node, which may lack the last departure.
TEST_F(DepartureKeeperTest, IgnoresAnswersToAnEarlierProcess) {
  keeper_->Start();
  SendHeartbeat(10, 5);
  Answer({}, kEpoch - 1);
  EXPECT_FALSE(keeper_->has_recalled());
  EXPECT_FALSE(instance_.is_known());
}

// Guards against a leave that is acknowledged before it is recorded where it outlives the node.
TEST_F(DepartureKeeperTest, ConfirmsADepartureOnlyOnceItIsRecorded) {
  keeper_->Start();
  Answer({{"i-0", 5}});
  Record({"i-1", 10});
  Record({"i-1", 10});
  EXPECT_TRUE(outcomes_.empty());
  Answer({{"i-0", 5}});
  EXPECT_TRUE(outcomes_.empty());
  Answer({{"i-0", 5}, {"i-1", 10}});
  EXPECT_EQ(outcomes_, (std::vector{RecordOutcome::kRecorded, RecordOutcome::kRecorded}));
  Record({"i-1", 10});
  EXPECT_EQ(outcomes_.size(), 3U) << "a repeated leave is confirmed at once";
}

// Guards against a leave that is never answered, or acknowledged though no control host is reached.
TEST_F(DepartureKeeperTest, ReportsADepartureThatIsNotConfirmedInTime) {
  keeper_->Start();
  Answer({});
  Record({"i-1", 10});
  for (int i = 0; i < 8; ++i) {
    now_ += DepartureKeeper::kPollInterval;
    keeper_->Poll();
  }
  EXPECT_TRUE(outcomes_.empty());
  EXPECT_EQ(requests_.size(), 10U);
  now_ += DepartureKeeper::kPollInterval;
  keeper_->Poll();
  EXPECT_EQ(outcomes_, std::vector{RecordOutcome::kUnknown});
  Answer({{"i-1", 10}});
  EXPECT_EQ(outcomes_.size(), 1U);
}

}  // namespace
}  // namespace borageloft::mesh
