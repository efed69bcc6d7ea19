#include <fmt/format.h>
#include <gtest/gtest.h>

#include <chrono>
#include <deque>
#include <set>

#include "tests/replication/memory_storage.h"

namespace borageloft::replication {
namespace {

using consensus::MembershipChangeKind;
using consensus::ReplicaId;
using std::chrono::milliseconds;

/** One host with its storage and a state machine that records the commands. */
struct Node {
  MemoryStorage storage;
  std::vector<std::string> commands;
  std::unique_ptr<ReplicaHost> host;
};

/** Three hosts in one process on a manual clock. */
class ReplicaHostTest : public ::testing::Test {
 protected:
  void SetUp() override {
    options_.snapshot_interval = 100;
    base::ReplaceLogSink([](std::string_view) {});
    for (ReplicaId id = 1; id <= 3; ++id) {
      Start(id, {StartMode::kBootstrap, id, founders_});
    }
  }
  void TearDown() override {
    nodes_.clear();
    base::ReplaceLogSink({});
  }

  void Start(ReplicaId id, const StartPlan& plan) {
    Node& node = nodes_[id];
    node.host.reset();
    ReplicaHost::Dependencies dependencies;
    dependencies.clock = [this] { return now_; };
    dependencies.random = base::SeededRandom(id);
    dependencies.timers = &timers_;
    dependencies.storage = node.storage.Hooks();
    dependencies.state_machine = {
        [&node](consensus::Index, const std::string& command) {
          node.commands.push_back(command);
          return fmt::format("{}#{}", command, node.commands.size());
        },
        [&node] { return fmt::format("{}", fmt::join(node.commands, ",")); },
        [&node](const std::string& data) {
          node.commands.clear();
          for (std::size_t at = 0; at < data.size(); at = data.find(',', at) + 1) {
            node.commands.push_back(data.substr(at, data.find(',', at) - at));
            if (data.find(',', at) == std::string::npos) {
              break;
            }
          }
        }};
    dependencies.send = [this, id](ReplicaId to, std::string bytes) {
      if (!cut_off_.contains(id) && !cut_off_.contains(to)) {
        network_.emplace_back(to, std::move(bytes));
      }
    };
    node.host = std::make_unique<ReplicaHost>(options_, std::move(dependencies));
    node.host->Start(plan);
  }

  void Deliver() {
    while (!network_.empty()) {
      const auto [to, bytes] = std::move(network_.front());
      network_.pop_front();
      if (nodes_.contains(to) && nodes_.at(to).host) {
        nodes_.at(to).host->Receive(bytes);
      }
    }
  }

  void AdvanceTime(milliseconds time) {
    for (milliseconds passed(0); passed < time; passed += milliseconds(10)) {
      now_ += milliseconds(10);
      timers_.RunDue();
      Deliver();
    }
  }

  ReplicaId Leader() {
    for (int round = 0; round < 300; ++round) {
      for (auto& [id, node] : nodes_) {
        if (node.host && !cut_off_.contains(id) &&
            node.host->status().soft_state.role == consensus::Role::kLeader) {
          return id;
        }
      }
      AdvanceTime(milliseconds(10));
    }
    throw std::runtime_error("no leader within 3 s");
  }

  ReplicaId Follower() { return Leader() == 1 ? 2 : 1; }

  ReplicaHost& HostOf(ReplicaId id) { return *nodes_.at(id).host; }

  /** Collects outcomes in the order of completion. */
  ProposalCallback Collect() {
    return [this](const ProposalOutcome& outcome) { outcomes_.push_back(outcome); };
  }

  void Commit(int count) {
    ReplicaHost& leader = HostOf(Leader());
    for (int i = 0; i < count; ++i) {
      leader.Propose(fmt::format("c{}", ++sequence_), Collect());
      Deliver();
    }
    AdvanceTime(milliseconds(200));
  }

  const consensus::Membership founders_ = consensus::Membership::OfVoters({"a", "b", "c"});
  ReplicaHostOptions options_;
  base::TimePoint now_;
  timer::TimerService timers_{[this] { return now_; }};
  std::deque<std::pair<ReplicaId, std::string>> network_;
  std::set<ReplicaId> cut_off_;
  std::map<ReplicaId, Node> nodes_;
  std::vector<ProposalOutcome> outcomes_;
  int sequence_ = 0;
};

// Guards against a log in memory that grows with the size of the commands: after some hundred
// changes of a large declaration the control hosts exceeded their memory, and again at each start.
TEST_F(ReplicaHostTest, TheLogInMemoryIsBoundedInBytes) {
  constexpr std::size_t kCommandBytes = 200'000;
  // The log since the snapshot, the retained entries, and as much uncommitted as is accepted.
  constexpr std::uint64_t kExpectedBytes = std::uint64_t{24} << 20U;
  for (auto& [id, node] : nodes_) {
    node.host.reset();
  }
  nodes_.clear();
  options_.snapshot_interval = 512;
  for (ReplicaId id = 1; id <= 3; ++id) {
    Start(id, {StartMode::kBootstrap, id, founders_});
  }
  std::uint64_t most = 0;
  for (int i = 0; i < 200; ++i) {
    // The state machine of this test keeps all commands, which would fill its snapshots.
    HostOf(Leader()).Propose(std::string(kCommandBytes, 'x'), Collect());
    AdvanceTime(milliseconds(20));
    for (auto& [id, node] : nodes_) {
      most = std::max(most, node.host->status().log_bytes);
      std::erase_if(node.commands, [](const std::string& command) { return command.size() > 10; });
    }
  }
  EXPECT_GT(most, kCommandBytes);
  EXPECT_LE(most, kExpectedBytes);
  for (ReplicaId id = 1; id <= 3; ++id) {
    Start(id, {StartMode::kRestart, consensus::kNoReplica, {}});
    EXPECT_LE(HostOf(id).status().log_bytes, kExpectedBytes) << id;
  }
}

// Guards against a committed proposal without its result, and against diverging replicas.
TEST_F(ReplicaHostTest, CommitsAndAppliesOnAllHosts) {
  Commit(3);
  ASSERT_EQ(outcomes_.size(), 3U);
  EXPECT_EQ(outcomes_[2].kind, ProposalOutcomeKind::kCommitted);
  EXPECT_EQ(outcomes_[2].result, "c3#3");
  for (auto& [id, node] : nodes_) {
    EXPECT_EQ(node.commands, (std::vector<std::string>{"c1", "c2", "c3"}));
  }
  const ReplicaId leader = Leader();
  HostOf(Follower()).Propose("x", Collect());
  EXPECT_EQ(outcomes_.back().kind, ProposalOutcomeKind::kNotLeader);
  EXPECT_EQ(outcomes_.back().leader_hint, leader);
}

// Guards against one sync per proposal while the disk is the bottleneck.
TEST_F(ReplicaHostTest, ProposalsDuringSyncShareOneAppend) {
  Node& leader = nodes_.at(Leader());
  bool is_first = true;
  leader.storage.on_append = [&] {
    if (std::exchange(is_first, false)) {
      for (int i = 0; i < 100; ++i) {
        leader.host->Propose("batched", Collect());
      }
    }
  };
  const std::uint64_t before = leader.host->status().appends;
  leader.host->Propose("first", Collect());
  EXPECT_EQ(leader.storage.last_append, 100U);
  EXPECT_EQ(leader.host->status().appends, before + 2);
  Deliver();
  EXPECT_EQ(outcomes_.size(), 101U);
}

// Guards against a proposal reported as not stored although its entry may be on disk, against one
// reported as unknown although its entry was never stored or sent, and against applying a command
// twice after the storage is reopened.
TEST_F(ReplicaHostTest, StorageFailureGivesTypedOutcomesAndRecovers) {
  Commit(2);
  const ReplicaId failed = Leader();
  Node& node = nodes_.at(failed);
  node.storage.failing_operation = "append";
  node.storage.on_append = [&] {
    if (outcomes_.size() == 2) {
      node.storage.on_append = {};
      node.host->Propose("never-stored", Collect());
    }
  };
  node.host->Propose("maybe-stored", Collect());
  ASSERT_EQ(outcomes_.size(), 4U);
  EXPECT_EQ(outcomes_[2].kind, ProposalOutcomeKind::kStorageFailed);
  EXPECT_EQ(outcomes_[3].kind, ProposalOutcomeKind::kUnknown);
  node.host->Propose("later", Collect());
  EXPECT_EQ(outcomes_[4].kind, ProposalOutcomeKind::kStorageFailed);
  EXPECT_EQ(node.host->status().state, HostState::kFailed);
  AdvanceTime(milliseconds(2500));
  EXPECT_NE(Leader(), failed);
  EXPECT_GT(node.host->status().storage_failures, 0U);
  node.storage.failing_operation.clear();
  AdvanceTime(milliseconds(1500));
  EXPECT_EQ(node.host->status().state, HostState::kRunning);
  Commit(1);
  EXPECT_EQ(node.commands, (std::vector<std::string>{"c1", "c2", "c3"}));
}

// Guards against sending messages before the state that they depend on is durable, whichever
// operation fails.
TEST_F(ReplicaHostTest, NothingIsSentWhenPersistenceFails) {
  for (const std::string operation : {"hard_state", "append"}) {
    const ReplicaId follower = Follower();
    const consensus::Term term = HostOf(follower).status().soft_state.term;
    Node& node = nodes_.at(follower);
    node.storage.failing_operation = operation;
    Deliver();
    consensus::Message message{Leader(), follower, term + 1, {}};
    if (operation == "hard_state") {
      message.body = consensus::VoteRequest{false, true, 1000, term};
    } else {
      const consensus::Index last = HostOf(follower).status().commit;
      message.term = term;
      message.body = consensus::AppendRequest{
          last, term, 0, 0, {{term, last + 1, consensus::EntryKind::kCommand, "x"}}};
    }
    node.host->Receive(consensus::EncodeMessage(message));
    EXPECT_TRUE(network_.empty()) << operation;
    EXPECT_EQ(node.host->status().state, HostState::kFailed) << operation;
    node.storage.failing_operation.clear();
    AdvanceTime(milliseconds(3000));
    Commit(1);
    EXPECT_EQ(node.host->status().state, HostState::kRunning) << operation;
  }
}

// Guards against a host that stays failed or loses commands after any storage operation failed.
TEST_F(ReplicaHostTest, RecoversFromFailureOfEveryOperation) {
  std::map<std::string, std::uint64_t> failures;
  for (const std::string operation : {"hard_state", "append", "truncate", "snapshot"}) {
    for (auto& [id, node] : nodes_) {
      node.storage.failing_operation = operation;
      Commit(120);
      node.storage.failing_operation.clear();
      AdvanceTime(milliseconds(3000));
      EXPECT_EQ(node.host->status().state, HostState::kRunning) << operation;
      failures[operation] += node.host->status().storage_failures;
    }
  }
  for (const std::string operation : {"append", "snapshot"}) {
    EXPECT_GT(failures[operation], 0U) << operation << " was never called";
  }
  Commit(1);
  for (auto& [id, node] : nodes_) {
    EXPECT_EQ(node.commands, nodes_.at(1).commands);
    EXPECT_EQ(node.commands.back(), fmt::format("c{}", sequence_));
  }
}

// Guards against a host that cannot recover from a failure during the installation of a snapshot.
TEST_F(ReplicaHostTest, RecoversFromFailedSnapshotInstallation) {
  for (const std::string operation : {"install_first", "install_second"}) {
    const ReplicaId follower = Follower();
    cut_off_.insert(follower);
    Commit(300);
    nodes_.at(follower).storage.failing_operation = operation;
    cut_off_.clear();
    AdvanceTime(milliseconds(500));
    EXPECT_EQ(HostOf(follower).status().state, HostState::kFailed) << operation;
    nodes_.at(follower).storage.failing_operation.clear();
    AdvanceTime(milliseconds(3000));
    Commit(1);
    EXPECT_EQ(nodes_.at(follower).commands, nodes_.at(Leader()).commands) << operation;
  }
}

// Guards against reporting a proposal of a deposed leader as dropped while it may be committed.
TEST_F(ReplicaHostTest, ProposalsOfDeposedLeaderAreDroppedOrUnknown) {
  Commit(1);
  const ReplicaId old_leader = Leader();
  cut_off_.insert(old_leader);
  HostOf(old_leader).Propose("replaced", Collect());
  AdvanceTime(milliseconds(2000));
  EXPECT_EQ(outcomes_.size(), 1U) << "the outcome is not known yet";
  Commit(1);
  cut_off_.clear();
  AdvanceTime(milliseconds(500));
  ASSERT_EQ(outcomes_.size(), 3U);
  EXPECT_EQ(outcomes_[2].kind, ProposalOutcomeKind::kDropped);

  const ReplicaId isolated = Leader();
  cut_off_ = {1, 2, 3};
  HostOf(isolated).Propose("undecided", Collect());
  AdvanceTime(milliseconds(6000));
  ASSERT_EQ(outcomes_.size(), 4U);
  EXPECT_EQ(outcomes_[3].kind, ProposalOutcomeKind::kUnknown);
}

// Guards against reads that return stale state.
TEST_F(ReplicaHostTest, ReadsAreLinearisable) {
  Commit(1);
  std::vector<ReadOutcomeKind> kinds;
  const ReplicaId leader = Leader();
  HostOf(leader).Propose("c2", Collect());
  HostOf(leader).Read([&](const ReadOutcome& outcome) {
    kinds.push_back(outcome.kind);
    EXPECT_FALSE(nodes_.at(leader).commands.empty());
  });
  EXPECT_TRUE(kinds.empty());
  Deliver();
  ASSERT_EQ(kinds.size(), 1U);
  EXPECT_EQ(kinds[0], ReadOutcomeKind::kReady);
  HostOf(Follower()).Read([&](const ReadOutcome& outcome) { kinds.push_back(outcome.kind); });
  EXPECT_EQ(kinds.back(), ReadOutcomeKind::kNotLeader);
  cut_off_.insert(leader);
  HostOf(leader).Read([&](const ReadOutcome& outcome) { kinds.push_back(outcome.kind); });
  AdvanceTime(milliseconds(1000));
  ASSERT_EQ(kinds.size(), 3U);
  EXPECT_EQ(kinds[2], ReadOutcomeKind::kNotLeader);
}

// Guards against a restart that loses or repeats commands, and against unlimited log growth.
TEST_F(ReplicaHostTest, RestartsFromSnapshotAndLog) {
  Commit(350);
  const ReplicaId follower = Follower();
  EXPECT_LT(nodes_.at(follower).storage.state().entries.size(), 200U);
  Start(follower, {StartMode::kRestart, 0, {}});
  Commit(1);
  EXPECT_EQ(nodes_.at(follower).commands.size(), 351U);
  EXPECT_EQ(nodes_.at(follower).commands, nodes_.at(Leader()).commands);
}

// Guards against a second bootstrap, and against a host that lost its disk and restarts under its
// old id.
TEST_F(ReplicaHostTest, UnsafeStartsAreRefused) {
  const ReplicaId follower = Follower();
  EXPECT_THROW(Start(follower, {StartMode::kBootstrap, follower, founders_}), ReplicationError);
  EXPECT_THROW(Start(follower, {StartMode::kJoin, 9, {}}), ReplicationError);
  nodes_.at(follower).storage.Wipe();
  EXPECT_THROW(Start(follower, {StartMode::kRestart, 0, {}}), ReplicationError);
  nodes_.at(follower).host.reset();
}

// Guards against a lost disk that is never replaced, with a second failure right after the
// replacement.
TEST_F(ReplicaHostTest, LostDiskRejoinsAsLearnerAndIsPromoted) {
  Commit(250);
  const ReplicaId lost = Follower();
  const std::string name = founders_.members().at(lost).host;
  nodes_.erase(lost);
  AdvanceTime(milliseconds(600));
  HostOf(Leader()).ProposeMembership({MembershipChangeKind::kAddLearner, 0, name}, Collect());
  AdvanceTime(milliseconds(100));
  ASSERT_EQ(outcomes_.back().kind, ProposalOutcomeKind::kCommitted);
  ASSERT_EQ(outcomes_.back().assigned, 4U);
  Start(4, {StartMode::kJoin, 4, {}});
  AdvanceTime(milliseconds(1000));
  const consensus::Membership membership = HostOf(Leader()).status().membership;
  EXPECT_TRUE(membership.IsVoter(4));
  EXPECT_FALSE(membership.Contains(lost));
  cut_off_.insert(Leader());
  Commit(1);
  EXPECT_EQ(nodes_.at(4).commands.size(), 251U);
}

// Guards against using log entries that a snapshot of the leader replaced right before a crash.
TEST_F(ReplicaHostTest, CrashBetweenSnapshotAndTruncationIsRepaired) {
  MemoryStorage storage;
  storage.state() = consensus::PersistedState::ForBootstrap(1, founders_);
  storage.state().hard_state.term = 5;
  storage.state().entries = {{1, 1, consensus::EntryKind::kEmpty, ""},
                             {4, 2, consensus::EntryKind::kEmpty, ""}};
  storage.state().snapshot =
      std::make_shared<const consensus::Snapshot>(consensus::Snapshot{1, 3, founders_, "state"});
  EXPECT_TRUE(LoadConsistent(storage.Hooks())->entries.empty());
  EXPECT_TRUE(storage.state().entries.empty());
}

// Guards against a shutdown that leaves the group without a leader for an election timeout.
TEST_F(ReplicaHostTest, ShutdownHandsLeadershipOver) {
  Commit(1);
  const ReplicaId leader = Leader();
  bool is_done = false;
  HostOf(leader).Shutdown([&] { is_done = true; });
  HostOf(leader).Propose("late", Collect());
  EXPECT_EQ(outcomes_.back().kind, ProposalOutcomeKind::kDropped);
  Deliver();
  EXPECT_TRUE(is_done);
  EXPECT_EQ(HostOf(leader).status().state, HostState::kStopped);
  const ReplicaId successor = Leader();
  EXPECT_NE(successor, leader);
  EXPECT_LT(now_.time_since_epoch(), milliseconds(3000));
  Commit(1);
  EXPECT_EQ(outcomes_.back().kind, ProposalOutcomeKind::kCommitted);
}

// Guards against wrong outcomes under random failures of storage, links and processes: a committed
// proposal that is lost or applied twice, or a proposal reported to have no effect that is applied.
TEST_F(ReplicaHostTest, OutcomesHoldUnderRandomFailures) {
  const std::vector<std::string> operations{"hard_state", "append",        "truncate",
                                            "snapshot",   "install_first", "install_second"};
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    const base::Random random = base::SeededRandom(seed);
    std::map<std::string, ProposalOutcomeKind> outcome_kinds;
    for (int step = 0; step < 1500; ++step) {
      const ReplicaId id = 1 + base::DrawBelow(random, 3);
      Node& node = nodes_.at(id);
      switch (base::DrawBelow(random, 40)) {
        case 0:
          node.storage.failing_operation = operations[base::DrawBelow(random, operations.size())];
          break;
        case 1:
        case 2:
          node.storage.failing_operation.clear();
          break;
        case 3:
          cut_off_ = {id};
          break;
        case 4:
          cut_off_.clear();
          break;
        case 5:
          node.storage.failing_operation.clear();
          Start(id, {StartMode::kRestart, 0, {}});
          break;
        default: {
          const std::string command = fmt::format("s{}-{}", seed, step);
          node.host->Propose(command, [&outcome_kinds, command](const ProposalOutcome& outcome) {
            EXPECT_TRUE(outcome_kinds.emplace(command, outcome.kind).second) << "completed twice";
          });
        }
      }
      if (base::DrawBelow(random, 2) == 0) {
        AdvanceTime(milliseconds(base::DrawBelow(random, 100)));
      }
    }
    cut_off_.clear();
    for (auto& [id, node] : nodes_) {
      node.storage.failing_operation.clear();
    }
    AdvanceTime(milliseconds(8000));
    std::map<ProposalOutcomeKind, int> kinds;
    for (auto& [id, node] : nodes_) {
      ASSERT_EQ(node.commands, nodes_.at(1).commands) << "seed " << seed;
      std::map<std::string, int> apply_counts;
      for (const std::string& command : node.commands) {
        ++apply_counts[command];
      }
      for (const auto& [command, kind] : outcome_kinds) {
        const bool is_unknown = kind == ProposalOutcomeKind::kUnknown;
        const int min_count = kind == ProposalOutcomeKind::kCommitted ? 1 : 0;
        const int max_count = is_unknown ? 1 : min_count;
        ++kinds[kind];
        ASSERT_GE(apply_counts[command], min_count) << command << " seed " << seed;
        ASSERT_LE(apply_counts[command], max_count) << command << " seed " << seed;
      }
    }
    ASSERT_GT(kinds[ProposalOutcomeKind::kCommitted], 0) << "seed " << seed;
  }
}

// Guards against a crash on malformed bytes from the network.
TEST_F(ReplicaHostTest, UndecodableMessageIsRefused) {
  EXPECT_THROW(HostOf(1).Receive("garbage"), ReplicationError);
}

}  // namespace
}  // namespace borageloft::replication
