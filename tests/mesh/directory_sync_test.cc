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
    hooks.on_records = [](const directory::NodeSet&) {};
    hooks.on_declaration = [this](std::uint64_t version, const std::string&) {
      versions_.push_back(version);
    };
    sync_ = std::make_unique<DirectorySync>("z", std::vector<std::string>{"c1", "c2", "c3"},
                                            std::move(hooks));
  }
  void TearDown() override { base::ReplaceLogSink({}); }

  void Answer(const std::string& host, std::uint64_t version, bool is_current,
              std::vector<std::string> hosts = {"c1", "c2", "c3", "c4"},
              const std::string& zone = "other") {
    directory::SyncAnswer answer;
    answer.zone = zone;
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

// Guards against traffic that grows with the number of control hosts, and against control hosts
// that were learned from an answer and are never asked.
TEST_F(DirectorySyncTest, FetchesFromOneHostAndKnowsTheOthers) {
  Answer("c1", 1, true);
  polled_hosts_.clear();
  for (int round = 0; round < 40; ++round) {
    now_ += DirectorySync::kPollInterval;
    const std::size_t before = polled_hosts_.size();
    sync_->Poll();
    for (std::size_t i = before; i < polled_hosts_.size(); ++i) {
      Answer(std::string(polled_hosts_[i]), 1, true);
    }
  }
  const auto count = [&](const std::string& host) {
    return std::count(polled_hosts_.begin(), polled_hosts_.end(), host);
  };
  EXPECT_GE(count(sync_->preferred_host()), 30) << "but for the rounds until it was found";
  EXPECT_LE(polled_hosts_.size(), 60U);
  for (const char* host : {"c1", "c2", "c3", "c4"}) {
    EXPECT_GT(count(host), 0) << host;
  }
}

// Guards against records that cross a border between zones although the zone has a control host.
TEST_F(DirectorySyncTest, PrefersAHostOfItsZone) {
  Answer("c1", 1, true);
  EXPECT_EQ(sync_->preferred_host(), "c1");
  Answer("c2", 1, true, {"c1", "c2", "c3"}, "z");
  sync_->Poll();
  EXPECT_EQ(sync_->preferred_host(), "c2");
}

// Guards against a node that stays with a control host that is cut off from the leader or gone, and
// against one that changes hosts while an election interrupts the contact of all of them.
TEST_F(DirectorySyncTest, LeavesAHostWithoutContactOrAnswer) {
  Answer("c2", 1, true, {"c1", "c2", "c3"}, "z");
  Answer("c1", 1, true, {"c1", "c2", "c3"});
  const auto play = [&](int rounds, const std::vector<std::string>& answering, bool is_current) {
    for (int round = 0; round < rounds; ++round) {
      now_ += DirectorySync::kPollInterval;
      sync_->Poll();
      for (const std::string& host : answering) {
        Answer(host, 1, is_current, {"c1", "c2", "c3"}, host == "c2" ? "z" : "other");
      }
    }
  };
  play(3, {"c1", "c2"}, true);
  EXPECT_EQ(sync_->preferred_host(), "c2");
  play(10, {"c1", "c2"}, false);
  EXPECT_EQ(sync_->preferred_host(), "c2") << "no host has contact";
  for (int round = 0; round < 5; ++round) {
    play(1, {"c1"}, true);
    Answer("c2", 1, false, {}, "z");
  }
  EXPECT_EQ(sync_->preferred_host(), "c1") << "c2 has no contact";
  play(8, {"c1", "c2"}, true);
  EXPECT_EQ(sync_->preferred_host(), "c2");
  play(4, {"c1"}, true);
  EXPECT_EQ(sync_->preferred_host(), "c1") << "c2 does not answer";
}

// Guards against a restarted node that keeps refusing requests because the only host with the
// declaration is not polled until its turn.
TEST_F(DirectorySyncTest, PollsEveryHostUntilOneIsCurrent) {
  sync_->Poll();
  EXPECT_EQ(polled_hosts_, (std::vector<std::string>{"c1", "c2", "c3"}));
  Answer("c1", 0, false);
  polled_hosts_.clear();
  sync_->Poll();
  EXPECT_EQ(polled_hosts_, (std::vector<std::string>{"c1", "c2", "c3"}));
  EXPECT_LT(sync_->poll_interval(), DirectorySync::kPollInterval);
  Answer("c2", 0, true);
  Answer("c1", 0, true);
  polled_hosts_.clear();
  sync_->Poll();
  EXPECT_EQ(polled_hosts_.size(), 1U);
  EXPECT_EQ(sync_->poll_interval(), DirectorySync::kPollInterval);
}

// Guards against wasting most polls on hosts that do not answer, and against never retrying them.
TEST_F(DirectorySyncTest, PollsSilentHostsLessOften) {
  Answer("c1", 1, true);
  for (int round = 0; round < 60; ++round) {
    now_ += DirectorySync::kPollInterval;
    sync_->Poll();
    Answer("c1", 1, true);
  }
  const auto live_polls = std::count(polled_hosts_.begin(), polled_hosts_.end(), "c1");
  EXPECT_GT(live_polls, 20);
  for (const char* silent : {"c2", "c3", "c4"}) {
    EXPECT_GT(std::count(polled_hosts_.begin(), polled_hosts_.end(), silent), 2) << silent;
  }
}

// Guards against a change of the node's own record that is not sent until the next poll.
TEST_F(DirectorySyncTest, SendsChangedRecordAtOnceToTheHostsThatRenewIt) {
  directory::InstanceRecord record;
  record.node = "n";
  record.revision = 1;
  sync_->SetRecord(record);
  EXPECT_EQ(polled_hosts_.size(), 3U) << "no host has answered yet";
  sync_->SetRecord(record);
  EXPECT_EQ(polled_hosts_.size(), 3U);
  Answer("c1", 1, true);
  Answer("c2", 1, true);
  sync_->Poll();
  polled_hosts_.clear();
  record.revision = 2;
  sync_->SetRecord(record);
  std::sort(polled_hosts_.begin(), polled_hosts_.end());
  EXPECT_EQ(polled_hosts_, (std::vector<std::string>{"c1", "c2"}));
}

}  // namespace
}  // namespace borageloft::mesh
