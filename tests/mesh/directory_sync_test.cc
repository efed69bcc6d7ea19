#include "libraries/mesh/directory_sync.h"

#include <gtest/gtest.h>

namespace borageloft::mesh {
namespace {

class DirectorySyncTest : public ::testing::Test {
 protected:
  void SetUp() override {
    base::ReplaceLogSink([](std::string_view) {});
    DirectorySyncHooks hooks;
    hooks.clock = [this] { return now_; };
    hooks.send = [this](const std::string& address, const std::string&) {
      polled_hosts_.push_back(address);
    };
    hooks.on_records = [] {};
    hooks.on_declaration = [this](std::uint64_t version, const std::string&) {
      versions_.push_back(version);
    };
    sync_ = std::make_unique<DirectorySync>(std::vector<std::string>{"c1", "c2", "c3"},
                                            std::move(hooks));
  }
  void TearDown() override { base::ReplaceLogSink({}); }

  void Answer(const std::string& host, std::uint64_t version, bool is_current,
              std::vector<std::string> hosts = {"c1", "c2", "c3", "c4"}) {
    directory::SyncAnswer answer;
    answer.is_current = is_current;
    answer.version = version;
    answer.declaration = "text";
    answer.control_hosts = std::move(hosts);
    sync_->Receive(host, answer);
  }

  base::TimePoint now_{std::chrono::seconds(100)};
  std::vector<std::string> polled_hosts_;
  std::vector<std::uint64_t> versions_;
  std::unique_ptr<DirectorySync> sync_;
};

// Guards against a restarted node that serves by the stale declaration of a control host without
// contact to the leader.
TEST_F(DirectorySyncTest, AcceptsFirstDeclarationOnlyFromCurrentHost) {
  Answer("c1", 3, false);
  EXPECT_TRUE(versions_.empty());
  Answer("c2", 5, true);
  Answer("c1", 3, true);
  Answer("c3", 5, true);
  Answer("c3", 7, false);
  EXPECT_EQ(versions_, (std::vector<std::uint64_t>{5, 7}));
}

// Guards against polling only one host, and against never polling hosts that were learned from an
// answer.
TEST_F(DirectorySyncTest, PollsHostsInTurn) {
  Answer("c1", 1, true);
  polled_hosts_.clear();
  for (int round = 0; round < 4; ++round) {
    sync_->Poll();
    Answer(polled_hosts_.back(), 1, true);
  }
  std::sort(polled_hosts_.begin(), polled_hosts_.end());
  EXPECT_EQ(polled_hosts_, (std::vector<std::string>{"c1", "c2", "c3", "c4"}));
}

// Guards against a restarted node that keeps refusing requests because the only host with the
// declaration is not polled until its turn.
TEST_F(DirectorySyncTest, PollsEveryHostUntilOneIsCurrent) {
  sync_->Poll();
  Answer("c1", 0, false);
  sync_->Poll();
  EXPECT_EQ(polled_hosts_, (std::vector<std::string>{"c1", "c2", "c3", "c1", "c2", "c3"}));
  EXPECT_LT(sync_->poll_interval(), DirectorySync::kPollInterval);
  Answer("c2", 0, true);
  polled_hosts_.clear();
  sync_->Poll();
  EXPECT_EQ(polled_hosts_.size(), 1U);
  EXPECT_EQ(sync_->poll_interval(), DirectorySync::kPollInterval);
}

// Guards against wasting most polls on hosts that do not answer, and against never retrying them.
TEST_F(DirectorySyncTest, PollsSilentHostsLessOften) {
  Answer("c1", 1, true);
  for (int round = 0; round < 60; ++round) {
    sync_->Poll();
    if (polled_hosts_.back() == "c1") {
      Answer("c1", 1, true);
    }
  }
  const auto live_polls = std::count(polled_hosts_.begin(), polled_hosts_.end(), "c1");
  EXPECT_GT(live_polls, 20);
  for (const char* silent : {"c2", "c3", "c4"}) {
    EXPECT_GT(std::count(polled_hosts_.begin(), polled_hosts_.end(), silent), 2) << silent;
  }
}

// Guards against a change of the node's own record that is not sent until the next poll.
TEST_F(DirectorySyncTest, SendsChangedRecordToEveryHostAtOnce) {
  directory::InstanceRecord record;
  record.node = "n";
  record.revision = 1;
  sync_->SetRecord(record);
  EXPECT_EQ(polled_hosts_.size(), 3U);
  sync_->SetRecord(record);
  EXPECT_EQ(polled_hosts_.size(), 3U);
}

}  // namespace
}  // namespace borageloft::mesh
