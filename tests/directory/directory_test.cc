#include "libraries/directory/directory.h"

#include <gtest/gtest.h>

namespace borageloft::directory {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class LocalInstanceTest : public ::testing::Test {
 protected:
  HeartbeatOutcome SendHeartbeat(const std::string& id, std::uint64_t born, std::uint64_t sequence,
                                 InstanceState state = InstanceState::kServing) {
    return instance_.HandleHeartbeat({id, "parts", born, sequence, state, 8, milliseconds(500)},
                                     now_);
  }

  base::TimePoint now_{seconds(100)};
  LocalInstance instance_{"parts", seconds(4)};
};

// Guards against a delayed heartbeat of an ended process that replaces the current one.
TEST_F(LocalInstanceTest, OrdersProcessesByStartAndMessagesBySequence) {
  EXPECT_EQ(SendHeartbeat("i-1", 10, 1), HeartbeatOutcome::kTaken);
  EXPECT_EQ(SendHeartbeat("i-1", 10, 1), HeartbeatOutcome::kLate);
  EXPECT_EQ(SendHeartbeat("i-2", 20, 1), HeartbeatOutcome::kTaken);
  EXPECT_EQ(SendHeartbeat("i-1", 10, 7), HeartbeatOutcome::kLate);
  EXPECT_EQ(instance_.instance(), "i-2");
  // A new process may reuse the id and starts its sequence anew.
  EXPECT_EQ(SendHeartbeat("i-2", 30, 1), HeartbeatOutcome::kTaken);
  EXPECT_EQ(SendHeartbeat("i-2", 20, 9), HeartbeatOutcome::kLate);
}

// Guards against a serving heartbeat that reverts an earlier announcement to leave.
TEST_F(LocalInstanceTest, ALeavingProcessStaysLeaving) {
  SendHeartbeat("i-1", 10, 1);
  SendHeartbeat("i-1", 10, 2, InstanceState::kLeaving);
  const auto since = instance_.leaving_since();
  ASSERT_TRUE(since);
  now_ += seconds(1);
  SendHeartbeat("i-1", 10, 3);
  EXPECT_EQ(instance_.leaving_since(), since);
  SendHeartbeat("i-2", 20, 1);
  EXPECT_FALSE(instance_.leaving_since());
  EXPECT_FALSE(instance_.HandleLeave("i-1", now_));
  EXPECT_TRUE(instance_.HandleLeave("i-2", now_));
  EXPECT_TRUE(instance_.leaving_since());
}

// Guards against a restarted node that sends its upstream no requests until the next heartbeat, and
// against a discovered instance that replaces one known from a heartbeat.
TEST_F(LocalInstanceTest, AdoptsAnInstanceOnlyBeforeItsFirstHeartbeat) {
  EXPECT_FALSE(instance_.Adopt("", 4, now_));
  EXPECT_TRUE(instance_.Adopt("i-1", 4, now_));
  EXPECT_EQ(instance_.instance(), "i-1");
  EXPECT_EQ(instance_.service(), "parts");
  EXPECT_EQ(instance_.slots(), 4U);
  EXPECT_FALSE(instance_.leaving_since());
  EXPECT_EQ(SendHeartbeat("i-1", 10, 3), HeartbeatOutcome::kTaken);
  EXPECT_EQ(instance_.slots(), 8U);
  EXPECT_FALSE(instance_.Adopt("i-2", 4, now_));
  now_ += seconds(4);
  instance_.ExpireIfSilent(now_);
  EXPECT_FALSE(instance_.Adopt("i-2", 4, now_));
}

// Guards against requests to an instance that told an earlier process of this node that it leaves.
TEST_F(LocalInstanceTest, AnAdoptedInstanceThatIsHeardLeavingHasLeftLongAgo) {
  instance_.Adopt("i-1", 4, now_);
  SendHeartbeat("i-1", 10, 3, InstanceState::kLeaving);
  EXPECT_EQ(instance_.leaving_since(), base::TimePoint{});
}

// Guards against the first heartbeat of an adopted instance that reverts what its answers have
// said.
TEST_F(LocalInstanceTest, AnAdoptedInstanceThatLeavesStaysLeaving) {
  instance_.Adopt("i-1", 4, now_);
  instance_.HandleLeave("i-1", now_);
  SendHeartbeat("i-1", 10, 3);
  EXPECT_EQ(instance_.leaving_since(), now_);
  SendHeartbeat("i-1", 20, 1);
  EXPECT_FALSE(instance_.leaving_since());
}

// Guards against keeping an instance that crashed without announcing its leaving.
TEST_F(LocalInstanceTest, ForgetsASilentInstance) {
  SendHeartbeat("i-1", 10, 1);
  now_ += milliseconds(3999);
  EXPECT_FALSE(instance_.ExpireIfSilent(now_));
  now_ += milliseconds(1);
  EXPECT_TRUE(instance_.ExpireIfSilent(now_));
  EXPECT_FALSE(instance_.is_known());
  EXPECT_EQ(SendHeartbeat("i-0", 5, 1), HeartbeatOutcome::kLate);
}

// Guards against a node that restarts while its instance is leaving and starts the time allowed for
// leaving again (fault soak, seed 1041: 21 requests more than 2 s after the acknowledgement).
TEST_F(LocalInstanceTest, ARestartedNodeDoesNotExtendTheTimeToLeave) {
  EXPECT_EQ(SendHeartbeat("i-1", 10, 25, InstanceState::kLeaving), HeartbeatOutcome::kTaken);
  EXPECT_EQ(instance_.leaving_since(), base::TimePoint{});
}

// Guards against accepting heartbeats of an instance that belongs to another host.
TEST_F(LocalInstanceTest, RefusesAnotherService) {
  EXPECT_EQ(instance_.HandleHeartbeat({"i-1", "other", 1, 1, InstanceState::kServing, 8, {}}, now_),
            HeartbeatOutcome::kOtherService);
}

InstanceRecord Record(const std::string& node, std::uint64_t epoch, std::uint64_t revision) {
  InstanceRecord record;
  record.node = node;
  record.zone = "z";
  record.epoch = epoch;
  record.revision = revision;
  record.service = "parts";
  record.instance = "i-" + node + "-" + std::to_string(epoch);
  record.slots = 8;
  return record;
}

/** Synchronizes a view with registries. */
class RegistryTest : public ::testing::Test {
 protected:
  SyncAnswer Sync(Registry& registry, const std::string& host) {
    const DirectoryView::Position position = view_.PositionAt(host);
    SyncAnswer answer;
    registry.FillAnswer({{}, 0, position.epoch, position.revision}, answer);
    view_.Apply(host, answer);
    return answer;
  }

  base::TimePoint now_{seconds(100)};
  DirectoryView view_;
};

// Guards against sending the whole registry with each response.
TEST_F(RegistryTest, SendsOnlyChanges) {
  Registry registry(1, seconds(4), now_);
  registry.Renew(Record("a", 1, 1), now_);
  registry.Renew(Record("b", 1, 1), now_);
  EXPECT_EQ(Sync(registry, "c1").records.size(), 2U);
  EXPECT_EQ(Sync(registry, "c1").records.size(), 0U);
  EXPECT_FALSE(registry.Renew(Record("a", 1, 1), now_));
  EXPECT_TRUE(registry.Renew(Record("a", 1, 2), now_));
  EXPECT_EQ(Sync(registry, "c1").records.size(), 1U);
  EXPECT_EQ(view_.records().size(), 2U);
}

// Guards against nodes that stopped and remain in the directory.
TEST_F(RegistryTest, RemovesWhatWasNotRenewed) {
  Registry registry(1, seconds(4), now_);
  registry.Renew(Record("a", 1, 1), now_);
  registry.Renew(Record("b", 1, 1), now_);
  Sync(registry, "c1");
  now_ += seconds(3);
  registry.Renew(Record("b", 1, 1), now_);
  now_ += seconds(2);
  registry.Expire(now_);
  Sync(registry, "c1");
  EXPECT_EQ(view_.records().count("a"), 0U);
  EXPECT_EQ(view_.records().count("b"), 1U);
}

// Guards against ignoring a node that restarted with its clock set back.
TEST_F(RegistryTest, AcceptsALowerEpochAfterARestart) {
  Registry registry(1, seconds(4), now_);
  registry.Renew(Record("a", 50, 9), now_);
  EXPECT_TRUE(registry.Renew(Record("a", 40, 1), now_));
  Sync(registry, "c1");
  EXPECT_EQ(view_.records().at("a").epoch, 40U);
}

// Guards against a restarted control host whose empty registry removes all instances.
TEST_F(RegistryTest, AnIncompleteRegistryRemovesNothing) {
  Registry first(1, seconds(4), now_);
  first.Renew(Record("a", 1, 1), now_);
  Sync(first, "c1");
  Registry restarted(2, seconds(4), now_);
  Sync(restarted, "c1");
  EXPECT_EQ(view_.records().size(), 1U);
  now_ += seconds(5);
  restarted.Expire(now_);
  Sync(restarted, "c1");
  EXPECT_EQ(view_.records().size(), 0U);
}

// Guards against a control host that is cut off from a node and removes it for all other nodes.
TEST_F(RegistryTest, ANodeStaysWhileAnyControlHostListsIt) {
  Registry one(1, seconds(4), now_);
  Registry two(2, seconds(4), now_);
  one.Renew(Record("a", 1, 1), now_);
  two.Renew(Record("a", 1, 1), now_);
  Sync(one, "c1");
  Sync(two, "c2");
  now_ += seconds(5);
  one.Expire(now_);
  Sync(one, "c1");
  EXPECT_EQ(view_.records().size(), 1U);
  EXPECT_TRUE(view_.Forget("c2"));
  EXPECT_EQ(view_.records().size(), 0U);
}

// Guards against a decoder that accepts truncated messages or fails otherwise on corrupted ones.
TEST(MessagesTest, RoundTripAndRefuseDamage) {
  SyncAnswer answer;
  answer.is_current = true;
  answer.version = 12;
  answer.declaration = "text";
  answer.control_hosts = {"10.0.0.1:7620"};
  answer.records = {Record("a", 1, 2)};
  answer.removed = {"b"};
  const std::string bytes = Encode(answer);
  const auto decoded = std::get<SyncAnswer>(Decode(bytes));
  EXPECT_EQ(decoded.records, answer.records);
  EXPECT_EQ(decoded.removed, answer.removed);
  EXPECT_EQ(decoded.declaration, "text");
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    EXPECT_THROW(Decode(std::string_view(bytes).substr(0, size)), DirectoryError) << size;
  }
  base::Random random = base::SeededRandom(7);
  for (int i = 0; i < 20'000; ++i) {
    std::string corrupted = bytes;
    corrupted[base::DrawBelow(random, corrupted.size())] = static_cast<char>(random());
    try {
      Decode(corrupted);
    } catch (const DirectoryError&) {
    }
  }
}

}  // namespace
}  // namespace borageloft::directory
