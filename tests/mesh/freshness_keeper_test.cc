#include "libraries/mesh/freshness_keeper.h"

#include <gtest/gtest.h>

#include <deque>

namespace borageloft::mesh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** The freshness of a control host that follows a leader, on a manual clock. */
class FreshnessKeeperTest : public ::testing::Test {
 protected:
  FreshnessKeeperTest() {
    FreshnessHooks hooks;
    hooks.clock = [this] { return now_; };
    hooks.send_to_leader = [this](const directory::Message& message) {
      sent_.push_back(std::get<directory::FreshnessRequest>(message));
    };
    hooks.send = [](const std::string&, const directory::Message&) {};
    hooks.read_newest = [this](const std::function<void(std::optional<std::uint64_t>)>& done) {
      reads_.push_back(done);
    };
    hooks.is_leader = [this] { return is_leader_; };
    hooks.applied_version = [this] { return applied_; };
    keeper_ = std::make_unique<FreshnessKeeper>(std::move(hooks));
    keeper_->RecordInterest();
    sent_.clear();  // The question that follows at once.
  }

  base::TimePoint now_{seconds(100)};
  bool is_leader_ = false;
  std::uint64_t applied_ = 7;
  std::deque<directory::FreshnessRequest> sent_;
  std::deque<std::function<void(std::optional<std::uint64_t>)>> reads_;
  std::unique_ptr<FreshnessKeeper> keeper_;
};

// Guards against an age that counts from when an answer arrived: a host that was frozen, or whose
// connection held answers back, would take old knowledge for new.
TEST_F(FreshnessKeeperTest, TheAgeCountsFromTheQuestion) {
  EXPECT_EQ(keeper_->Age(), std::nullopt);
  keeper_->Poll();
  now_ += seconds(4);
  keeper_->HandleAnswer({sent_[0].sent_at, 7});
  EXPECT_EQ(keeper_->Age(), seconds(4));
}

// Guards against a host that knows that there is a newer version, and does not have it.
TEST_F(FreshnessKeeperTest, AnAnswerCountsOnceItsVersionIsApplied) {
  keeper_->Poll();
  keeper_->HandleAnswer({sent_[0].sent_at, 8});
  EXPECT_EQ(keeper_->Age(), std::nullopt);
  now_ += milliseconds(300);
  applied_ = 8;
  EXPECT_EQ(keeper_->Age(), milliseconds(300));
}

// Guards against a leader that has been replaced and takes its own word for it.
TEST_F(FreshnessKeeperTest, ALeaderIsConfirmedByAMajority) {
  is_leader_ = true;
  keeper_->Poll();
  now_ += milliseconds(50);
  reads_[0](std::nullopt);
  EXPECT_EQ(keeper_->Age(), std::nullopt);
  keeper_->Poll();
  now_ += milliseconds(50);
  reads_[1](7);
  EXPECT_EQ(keeper_->Age(), milliseconds(50));
}

// Guards against traffic between control hosts of deployments that declare no accounts.
TEST_F(FreshnessKeeperTest, AsksOnlyWhileNodesAsk) {
  now_ += seconds(3);
  keeper_->Poll();
  EXPECT_TRUE(sent_.empty());
  keeper_->RecordInterest();
  EXPECT_EQ(sent_.size(), 1U) << "a node that has just started must not wait for the next poll";
  keeper_->RecordInterest();
  EXPECT_EQ(sent_.size(), 1U);
}

}  // namespace
}  // namespace borageloft::mesh
