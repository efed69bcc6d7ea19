#include <gtest/gtest.h>

#include <chrono>
#include <set>

#include "libraries/consensus/consensus.h"

namespace borageloft::consensus {
namespace {

using std::chrono::milliseconds;

class VerifyFailure : public std::exception {};

/** Replicas on a lossless network without latency, some of which can be partitioned off. */
class ReplicaTest : public ::testing::Test {
 protected:
  void SetUp() override {
    base::ReplaceVerifyHandler([](const char*, const char*, int) { throw VerifyFailure(); });
    options_.retained_entries = 0;
  }
  void TearDown() override { base::ReplaceVerifyHandler({}); }

  void StartVoters(std::size_t count) {
    const Membership membership = Membership::OfVoters(std::vector<std::string>(count, "host"));
    for (ReplicaId id = 1; id <= count; ++id) {
      Start(PersistedState::ForBootstrap(id, membership));
    }
  }

  Replica& Start(const PersistedState& state) {
    const ReplicaId id = state.hard_state.replica;
    disks_[id] = state;
    replicas_.erase(id);
    return replicas_.try_emplace(id, options_, base::SeededRandom(id), state, now_).first->second;
  }

  /** Persists and applies all Ready objects of one replica. @return The messages to send. */
  std::vector<Message> ProcessReady(ReplicaId id) {
    std::vector<Message> messages;
    while (auto ready = replicas_.at(id).TakeReady()) {
      PersistedState& disk = disks_[id];
      disk.hard_state = ready->hard_state.value_or(disk.hard_state);
      if (ready->snapshot) {
        disk.snapshot = ready->snapshot;
        disk.entries.clear();
      }
      for (const Entry& entry : ready->entries) {
        std::erase_if(disk.entries, [&](const Entry& old) { return old.index >= entry.index; });
        disk.entries.push_back(entry);
      }
      for (const ReadState& state : ready->read_states) {
        reads_.push_back(state);
      }
      messages.insert(messages.end(), ready->messages.begin(), ready->messages.end());
      replicas_.at(id).Advance(ready->receipt);
    }
    return messages;
  }

  /** Delivers messages until none is left. */
  void DeliverAll() {
    for (bool has_messages = true; has_messages;) {
      has_messages = false;
      for (auto& [id, replica] : replicas_) {
        for (Message& message : ProcessReady(id)) {
          has_messages = true;
          sent_.push_back(message);
          if (!cut_off_.contains(message.from) && !cut_off_.contains(message.to) &&
              replicas_.contains(message.to)) {
            replicas_.at(message.to).Step(std::move(message));
          }
        }
      }
    }
  }

  void AdvanceTime(milliseconds time) {
    for (milliseconds passed(0); passed < time; passed += milliseconds(10)) {
      now_ += milliseconds(10);
      for (auto& [id, replica] : replicas_) {
        replica.Tick(now_);
      }
      DeliverAll();
    }
  }

  Replica& ElectLeader() {
    AdvanceTime(milliseconds(1500));
    for (auto& [id, replica] : replicas_) {
      if (replica.is_leader()) {
        return replica;
      }
    }
    throw std::runtime_error("no leader");
  }

  ReplicaId OtherThan(ReplicaId id) const { return id == 1 ? 2 : 1; }

  template <typename Body>
  std::size_t CountSent(ReplicaId to) const {
    return static_cast<std::size_t>(std::count_if(
        sent_.begin(), sent_.end(),
        [&](const Message& m) { return m.to == to && std::holds_alternative<Body>(m.body); }));
  }

  ReplicaOptions options_;
  base::TimePoint now_;
  std::map<ReplicaId, Replica> replicas_;
  std::map<ReplicaId, PersistedState> disks_;
  std::set<ReplicaId> cut_off_;
  std::vector<Message> sent_;
  std::vector<ReadState> reads_;
};

// Guards against a follower that returns from a partition with a higher term and deposes the
// leader.
TEST_F(ReplicaTest, ReturningFollowerDoesNotDisturbLeader) {
  StartVoters(3);
  Replica& leader = ElectLeader();
  const Term term = leader.term();
  const ReplicaId follower = OtherThan(leader.id());
  cut_off_.insert(follower);
  AdvanceTime(milliseconds(5000));
  EXPECT_EQ(replicas_.at(follower).term(), term);
  cut_off_.clear();
  AdvanceTime(milliseconds(2000));
  EXPECT_TRUE(leader.is_leader());
  EXPECT_EQ(leader.term(), term);
}

// Guards against a whole election timeout without leader after a power loss, when two candidates
// split the votes of the remaining voters.
TEST_F(ReplicaTest, ASplitVoteIsRepeatedSoon) {
  StartVoters(5);
  Replica& replica = replicas_.at(1);
  now_ += options_.pre_vote_delay + options_.pre_vote_spread;
  replica.Tick(now_);
  ProcessReady(1);
  const Term term = replica.term() + 1;
  replica.Step({2, 1, term, VoteResponse{true, true}});
  replica.Step({3, 1, term, VoteResponse{true, true}});
  ProcessReady(1);
  ASSERT_EQ(replica.term(), term);
  replica.Step({2, 1, term, VoteResponse{false, false}});
  ProcessReady(1);
  now_ += options_.pre_vote_delay + options_.pre_vote_spread;
  replica.Tick(now_);
  const std::vector<Message> messages = ProcessReady(1);
  ASSERT_FALSE(messages.empty());
  const auto* request = std::get_if<VoteRequest>(&messages[0].body);
  ASSERT_NE(request, nullptr);
  EXPECT_TRUE(request->is_pre_vote);
}

// Guards against a partitioned leader that continues to accept proposals and reads.
TEST_F(ReplicaTest, LeaderWithoutQuorumStepsDownAndDropsReads) {
  StartVoters(3);
  Replica& leader = ElectLeader();
  cut_off_.insert(leader.id());
  ASSERT_TRUE(leader.RequestRead(7));
  AdvanceTime(milliseconds(510));
  EXPECT_EQ(leader.role(), Role::kFollower);
  EXPECT_EQ(leader.Propose("x").status, ProposalStatus::kNotLeader);
  EXPECT_FALSE(leader.RequestRead(8));
  ASSERT_EQ(reads_.size(), 1U);
  EXPECT_FALSE(reads_[0].is_confirmed);
}

// Guards against failovers that take longer than the goal of 2 s.
TEST_F(ReplicaTest, FailoverStaysWithinTwoSeconds) {
  StartVoters(5);
  milliseconds longest(0);
  for (int round = 0; round < 200; ++round) {
    cut_off_.clear();
    const ReplicaId old_leader = ElectLeader().id();
    cut_off_.insert(old_leader);
    milliseconds passed(0);
    const auto has_successor = [&] {
      return std::any_of(replicas_.begin(), replicas_.end(), [&](const auto& item) {
        return item.first != old_leader && item.second.is_leader();
      });
    };
    for (; !has_successor() && passed < milliseconds(10'000); passed += milliseconds(10)) {
      AdvanceTime(milliseconds(10));
    }
    longest = std::max(longest, passed);
  }
  RecordProperty("longest_failover_ms", static_cast<int>(longest.count()));
  EXPECT_LE(longest, milliseconds(2000));
}

// Guards against reads that are confirmed without a heartbeat round, or with too low an index.
TEST_F(ReplicaTest, ReadNeedsOneRoundAndSeesEarlierCommits) {
  StartVoters(3);
  Replica& leader = ElectLeader();
  leader.Propose("x");
  DeliverAll();
  sent_.clear();
  ASSERT_TRUE(leader.RequestRead(1));
  ASSERT_TRUE(leader.RequestRead(2));
  const std::vector<Message> round = ProcessReady(leader.id());
  EXPECT_EQ(round.size(), 2U) << "two reads must share one heartbeat per follower";
  EXPECT_TRUE(reads_.empty());
  for (const Message& message : round) {
    replicas_.at(message.to).Step(message);
  }
  DeliverAll();
  ASSERT_EQ(reads_.size(), 2U);
  EXPECT_TRUE(reads_[0].is_confirmed);
  EXPECT_EQ(reads_[0].index, leader.commit());
}

// Guards against probing a long divergent log one entry at a time.
TEST_F(ReplicaTest, DivergentLogMatchesAfterFewRejections) {
  StartVoters(3);
  Replica& leader = ElectLeader();
  const ReplicaId old_leader = leader.id();
  cut_off_.insert(old_leader);
  for (int i = 0; i < 500; ++i) {
    ASSERT_EQ(leader.Propose("lost").status, ProposalStatus::kAppended);
  }
  DeliverAll();
  AdvanceTime(milliseconds(3000));
  cut_off_.clear();
  sent_.clear();
  AdvanceTime(milliseconds(1000));
  const Replica& follower = replicas_.at(old_leader);
  EXPECT_FALSE(follower.is_leader());
  std::size_t rejections = 0;
  for (const Message& message : sent_) {
    const auto* response = std::get_if<AppendResponse>(&message.body);
    rejections += response != nullptr && response->is_rejected ? 1 : 0;
  }
  EXPECT_LE(rejections, 3U);
  EXPECT_LT(follower.last_index(), 10U);
}

// Guards against unbounded memory and bandwidth use for a follower that acknowledges slowly.
TEST_F(ReplicaTest, InFlightAndUncommittedBytesAreBounded) {
  options_.max_append_bytes = 1000;
  options_.max_in_flight_bytes = 4000;
  options_.max_uncommitted_bytes = 20'000;
  StartVoters(3);
  Replica& leader = ElectLeader();
  int appended = 0;
  while (leader.Propose(std::string(500, 'x')).status == ProposalStatus::kAppended) {
    ++appended;
  }
  EXPECT_EQ(leader.Propose(std::string(500, 'x')).status, ProposalStatus::kDropped);
  EXPECT_LE(appended * 500, 20'000);
  std::map<ReplicaId, std::size_t> bytes;
  for (const Message& message : ProcessReady(leader.id())) {
    bytes[message.to] += EncodeMessage(message).size();
  }
  for (const auto& [to, sum] : bytes) {
    EXPECT_LE(sum, 6000U);
    EXPECT_GT(sum, 3000U) << "append requests must be pipelined";
  }
  AdvanceTime(milliseconds(500));
  EXPECT_EQ(leader.commit(), leader.last_index()) << "unacknowledged requests must be sent again";
  EXPECT_EQ(leader.Propose(std::string(kMaxCommandBytes + 1, 'x')).status,
            ProposalStatus::kTooLarge);
}

// Guards against a follower that lacks compacted entries and can never catch up, and against chunks
// of unlimited size.
TEST_F(ReplicaTest, SnapshotIsTransferredInChunks) {
  options_.snapshot_chunk_bytes = 100;
  StartVoters(3);
  Replica& leader = ElectLeader();
  const ReplicaId follower = OtherThan(leader.id());
  cut_off_.insert(follower);
  for (int i = 0; i < 300; ++i) {
    leader.Propose("x");
    DeliverAll();
  }
  leader.Compact(leader.MakeSnapshot(leader.applied(), std::string(1050, 's')));
  cut_off_.clear();
  sent_.clear();
  AdvanceTime(milliseconds(1000));
  EXPECT_EQ(replicas_.at(follower).commit(), leader.commit());
  EXPECT_EQ(disks_[follower].snapshot->data, std::string(1050, 's'));
  EXPECT_EQ(CountSent<SnapshotChunk>(follower), 11U);
}

// Guards against promoting a learner that lacks entries, and against two concurrent membership
// changes.
TEST_F(ReplicaTest, LearnerIsPromotedOnlyOnceCaughtUp) {
  options_.catch_up_entries = 10;
  StartVoters(3);
  Replica& leader = ElectLeader();
  for (int i = 0; i < 50; ++i) {
    leader.Propose("x");
  }
  DeliverAll();
  const ProposalResult added =
      leader.ProposeMembership({MembershipChangeKind::kAddLearner, kNoReplica, "new"});
  EXPECT_EQ(added.assigned, 4U);
  EXPECT_EQ(leader.ProposeMembership({MembershipChangeKind::kRemove, 1, ""}).status,
            ProposalStatus::kChangePending);
  DeliverAll();
  const MembershipChange promotion{MembershipChangeKind::kPromoteLearner, 4, ""};
  EXPECT_EQ(leader.ProposeMembership(promotion).status, ProposalStatus::kNotCaughtUp);
  Start(PersistedState::ForJoin(4));
  AdvanceTime(milliseconds(500));
  EXPECT_EQ(leader.ProposeMembership(promotion).status, ProposalStatus::kAppended);
  DeliverAll();
  EXPECT_TRUE(replicas_.at(4).membership().IsVoter(4));
}

// Guards against a second vote in the same term by a host that lost its disk: its old id must not
// be reused.
TEST_F(ReplicaTest, LostDiskNeedsNewId) {
  EXPECT_THROW(Replica(options_, base::SeededRandom(1), PersistedState{}, now_), ConsensusError);
  StartVoters(3);
  Replica& leader = ElectLeader();
  const ReplicaId lost = OtherThan(leader.id());
  replicas_.erase(lost);
  AdvanceTime(milliseconds(600));
  ASSERT_EQ(leader.ProposeMembership({MembershipChangeKind::kRemove, lost, ""}).status,
            ProposalStatus::kAppended);
  DeliverAll();
  const ProposalResult added =
      leader.ProposeMembership({MembershipChangeKind::kAddLearner, kNoReplica, "host"});
  EXPECT_EQ(added.assigned, 4U);
  DeliverAll();
  Replica& rejoined = Start(PersistedState::ForJoin(4));
  rejoined.Step({leader.id(), lost, 99, VoteRequest{false, false, 99, 99}});
  EXPECT_EQ(rejoined.term(), 0U) << "messages to the old id must be ignored";
  cut_off_.insert(leader.id());
  AdvanceTime(milliseconds(3000));
  EXPECT_EQ(rejoined.role(), Role::kFollower) << "a learner must not campaign";
}

// Guards against a membership change that leaves no reachable quorum.
TEST_F(ReplicaTest, ChangeThatLosesQuorumIsRefused) {
  StartVoters(3);
  Replica& leader = ElectLeader();
  const ReplicaId stopped = OtherThan(leader.id());
  const ReplicaId running = 6 - stopped - leader.id();
  replicas_.erase(stopped);
  AdvanceTime(milliseconds(600));
  EXPECT_EQ(leader.ProposeMembership({MembershipChangeKind::kRemove, running, ""}).status,
            ProposalStatus::kQuorumAtRisk);
  EXPECT_EQ(leader.ProposeMembership({MembershipChangeKind::kRemove, stopped, ""}).status,
            ProposalStatus::kAppended);
}

// Guards against a vote that is lost on restart.
TEST_F(ReplicaTest, VoteSurvivesRestart) {
  StartVoters(3);
  replicas_.at(1).Step({2, 1, 5, VoteRequest{false, false, 0, 0}});
  ProcessReady(1);
  Start(disks_[1]).Step({3, 1, 5, VoteRequest{false, false, 0, 0}});
  const std::vector<Message> responses = ProcessReady(1);
  ASSERT_EQ(responses.size(), 1U);
  EXPECT_FALSE(std::get<VoteResponse>(responses[0].body).is_granted);
}

// Guards against accepting a second leader in the same term without an error.
TEST_F(ReplicaTest, SecondLeaderInTermIsVerified) {
  StartVoters(3);
  replicas_.at(1).Step({2, 1, 5, Heartbeat{}});
  EXPECT_THROW(replicas_.at(1).Step({3, 1, 5, Heartbeat{}}), VerifyFailure);
}

// Guards against accepting a log that differs below the committed index without an error.
TEST_F(ReplicaTest, ConflictWithCommittedEntryIsVerified) {
  StartVoters(3);
  Replica& replica = replicas_.at(1);
  replica.Step({2, 1, 5, AppendRequest{0, 0, 1, 5, {{5, 1, EntryKind::kEmpty, ""}}}});
  EXPECT_EQ(replica.commit(), 1U);
  EXPECT_THROW(replica.Step({2, 1, 5, Heartbeat{1, 4, 0}}), VerifyFailure);
}

// Guards against committing an entry of an earlier term because a quorum has it: another leader may
// still replace it.
TEST_F(ReplicaTest, EntryOfEarlierTermIsCommittedOnlyWithOneOfThisTerm) {
  PersistedState state = PersistedState::ForBootstrap(1, Membership::OfVoters({"a", "b", "c"}));
  state.hard_state.term = 1;
  state.entries = {{1, 1, EntryKind::kCommand, "old"}};
  Replica& replica = Start(state);
  now_ += milliseconds(1000);
  replica.Tick(now_);
  replica.Step({2, 1, 2, VoteResponse{true, true}});
  replica.Step({2, 1, 2, VoteResponse{false, true}});
  ASSERT_TRUE(replica.is_leader());
  ProcessReady(1);
  replica.Step({2, 1, 2, AppendResponse{false, 1, 0, 0, 0}});
  EXPECT_EQ(replica.commit(), 0U);
  EXPECT_EQ(replica.ProposeMembership({MembershipChangeKind::kRemove, 3, ""}).status,
            ProposalStatus::kChangePending)
      << "a membership change needs a committed entry of this term first";
  ASSERT_TRUE(replica.RequestRead(1));
  ProcessReady(1);
  replica.Step({2, 1, 2, HeartbeatResponse{99}});
  ProcessReady(1);
  EXPECT_TRUE(reads_.empty()) << "the committed index is not known to be current yet";
  replica.Step({2, 1, 2, AppendResponse{false, 2, 0, 0, 0}});
  EXPECT_EQ(replica.commit(), 2U);
}

// Guards against treating entries as durable that were replaced while they were being written.
TEST_F(ReplicaTest, EntriesReplacedDuringPersistenceAreWrittenAgain) {
  StartVoters(3);
  Replica& replica = replicas_.at(1);
  replica.Step({2, 1, 5, AppendRequest{0, 0, 0, 0, {{5, 1, EntryKind::kCommand, "old"}}}});
  const auto first = replica.TakeReady();
  replica.Step({3, 1, 6, AppendRequest{0, 0, 0, 0, {{6, 1, EntryKind::kCommand, "new"}}}});
  replica.Advance(first->receipt);
  const auto second = replica.TakeReady();
  ASSERT_EQ(second->entries.size(), 1U);
  EXPECT_EQ(second->entries[0].data, "new");
}

// Guards against a shutdown that leaves the group without a leader until an election timeout.
TEST_F(ReplicaTest, TransferMovesLeadershipAtOnce) {
  StartVoters(3);
  Replica& leader = ElectLeader();
  ASSERT_TRUE(leader.TransferLeadership());
  EXPECT_EQ(leader.Propose("x").status, ProposalStatus::kDropped);
  DeliverAll();
  EXPECT_FALSE(leader.is_leader());
  EXPECT_NE(leader.leader(), leader.id());
  EXPECT_NE(leader.leader(), kNoReplica);
}

}  // namespace
}  // namespace borageloft::consensus
