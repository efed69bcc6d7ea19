#include "libraries/directory/directory.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

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
  EXPECT_FALSE(instance_.HandleLeave({"i-1", 0}, now_));
  EXPECT_TRUE(instance_.HandleLeave({"i-2", 0}, now_));
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
  instance_.HandleLeave({"i-1", 0}, now_);
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

// Guards against a heartbeat that was sent before the leave and arrives after the instance has been
// silent for so long that it is no longer listed: the instance served again until it exited.
TEST_F(LocalInstanceTest, ALateHeartbeatDoesNotBringBackAnInstanceThatLeft) {
  SendHeartbeat("i-1", 10, 1);
  ASSERT_TRUE(instance_.HandleLeave({"i-1", 0}, now_));
  const auto left = instance_.leaving_since();
  now_ += seconds(5);
  ASSERT_TRUE(instance_.ExpireIfSilent(now_));
  // Sent before the leave, on a connection of its own.
  SendHeartbeat("i-1", 10, 2);
  EXPECT_EQ(instance_.leaving_since(), left);
  now_ += seconds(60);
  instance_.ExpireIfSilent(now_);
  SendHeartbeat("i-1", 10, 3);
  EXPECT_EQ(instance_.leaving_since(), left);
  // The next process at this host serves, even under the same id.
  SendHeartbeat("i-1", 20, 1);
  EXPECT_FALSE(instance_.leaving_since());
  EXPECT_TRUE(instance_.is_known());
}

// Guards against a delayed heartbeat that lists an instance again after it was silent too long.
TEST_F(LocalInstanceTest, ALateHeartbeatDoesNotBringBackASilentInstance) {
  SendHeartbeat("i-1", 10, 7);
  now_ += seconds(5);
  ASSERT_TRUE(instance_.ExpireIfSilent(now_));
  EXPECT_EQ(SendHeartbeat("i-1", 10, 6), HeartbeatOutcome::kLate);
  EXPECT_FALSE(instance_.is_known());
  EXPECT_EQ(SendHeartbeat("i-1", 10, 8), HeartbeatOutcome::kTaken);
  EXPECT_TRUE(instance_.is_known());
}

// Guards against an upstream that stays unused after its clock was set back between two starts.
TEST_F(LocalInstanceTest, AProcessStartedByAClockThatWasSetBackIsUsedOnceTheEarlierOneIsSilent) {
  SendHeartbeat("i-1", 5000, 9);
  for (std::uint64_t sequence = 1; sequence <= 5; ++sequence) {
    now_ += milliseconds(1500);
    instance_.ExpireIfSilent(now_);
    SendHeartbeat("i-2", 2000, sequence);
  }
  EXPECT_TRUE(instance_.is_known());
  EXPECT_EQ(instance_.instance(), "i-2");
  EXPECT_EQ(SendHeartbeat("i-1", 5000, 10), HeartbeatOutcome::kLate);
  EXPECT_EQ(SendHeartbeat("i-2", 2000, 6), HeartbeatOutcome::kTaken);
  EXPECT_EQ(SendHeartbeat("i-3", 6000, 1), HeartbeatOutcome::kTaken);
}

// Guards against delayed heartbeats of an ended process that replace a silent or a live instance.
TEST_F(LocalInstanceTest, DelayedHeartbeatsOfAnEndedProcessDoNotReplaceItsSuccessor) {
  SendHeartbeat("i-2", 20, 1);
  for (std::uint64_t sequence = 1; sequence <= 9; ++sequence) {
    now_ += milliseconds(1500);
    EXPECT_EQ(SendHeartbeat("i-1", 10, sequence), HeartbeatOutcome::kLate);
    EXPECT_EQ(SendHeartbeat("i-2", 20, sequence + 1), HeartbeatOutcome::kTaken);
  }
  now_ += seconds(4);
  ASSERT_TRUE(instance_.ExpireIfSilent(now_));
  for (std::uint64_t sequence = 10; sequence <= 14; ++sequence) {
    now_ += milliseconds(100);
    EXPECT_EQ(SendHeartbeat("i-1", 10, sequence), HeartbeatOutcome::kLate);
  }
  now_ += seconds(10);
  EXPECT_EQ(SendHeartbeat("i-1", 10, 15), HeartbeatOutcome::kLate);
}

// Guards against a late leave of an ended process that takes its successor under the same id out of
// use.
TEST_F(LocalInstanceTest, ALateLeaveOfAnEarlierProcessDoesNotAffectItsSuccessor) {
  SendHeartbeat("i-1", 10, 1);
  SendHeartbeat("i-1", 20, 1);
  EXPECT_FALSE(instance_.HandleLeave({"i-1", 10}, now_));
  EXPECT_FALSE(instance_.leaving_since());
  EXPECT_TRUE(instance_.HandleLeave({"i-1", 20}, now_));
  EXPECT_TRUE(instance_.leaving_since());
}

// Guards against a heartbeat that arrives after the leave, both sent before the node was started.
TEST_F(LocalInstanceTest, AHeartbeatAfterTheLeaveOfAnUnknownProcessDoesNotMakeItServe) {
  EXPECT_FALSE(instance_.HandleLeave({"i-1", 10}, now_));
  SendHeartbeat("i-1", 10, 5);
  EXPECT_TRUE(instance_.leaving_since());
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

// Guards against a restarted node that serves an instance before it knows what its earlier process
// has acknowledged, or takes one back into use that left then.
TEST_F(LocalInstanceTest, ARestartedNodeServesNothingThatItsEarlierProcessLetGo) {
  instance_.AwaitDepartures();
  SendHeartbeat("i-1", 10, 5);
  EXPECT_FALSE(instance_.is_known());
  instance_.RecallDepartures({{"i-1", 10}});
  EXPECT_TRUE(instance_.is_known());
  EXPECT_EQ(instance_.leaving_since(), base::TimePoint{});
  SendHeartbeat("i-1", 10, 6);
  EXPECT_EQ(instance_.leaving_since(), base::TimePoint{});
  SendHeartbeat("i-1", 20, 1);
  EXPECT_FALSE(instance_.leaving_since());
}

// Guards against a restarted node that takes an instance back into use because its health answers
// lag behind its leave. They name no process, so any one under the id may be meant.
TEST_F(LocalInstanceTest, AHealthAnswerDoesNotBringBackAnInstanceThatLeft) {
  instance_.AwaitDepartures();
  instance_.RecallDepartures({{"i-1", 10}});
  EXPECT_FALSE(instance_.Adopt("i-1", 4, now_));
  EXPECT_FALSE(instance_.is_known());
  EXPECT_TRUE(instance_.Adopt("i-2", 4, now_)) << "another instance has not left";
}

// Guards against the same with a health answer that comes before the recalled departures.
TEST_F(LocalInstanceTest, RecalledDeparturesEndAnAdoption) {
  instance_.AwaitDepartures();
  EXPECT_TRUE(instance_.Adopt("i-1", 4, now_));
  instance_.RecallDepartures({{"i-1", 10}});
  EXPECT_FALSE(instance_.is_known());
  EXPECT_FALSE(instance_.Adopt("i-1", 4, now_));
  EXPECT_EQ(instance_.Identify("i-1"), (Incarnation{"i-1", 10}));
  // A later process under the id is known by its start.
  SendHeartbeat("i-1", 20, 1);
  EXPECT_TRUE(instance_.is_known());
  EXPECT_FALSE(instance_.leaving_since());
}

// Guards against a health answer that brings back an instance whose leave came before it.
TEST_F(LocalInstanceTest, AHealthAnswerAfterTheLeaveOfAnUnknownProcessDoesNotMakeItServe) {
  EXPECT_FALSE(instance_.HandleLeave({"i-1", 10}, now_));
  EXPECT_FALSE(instance_.Adopt("i-1", 4, now_));
  EXPECT_FALSE(instance_.HandleLeave({"i-2", 0}, now_));
  EXPECT_FALSE(instance_.Adopt("i-2", 4, now_));
}

// Guards against a heartbeat that brings back an instance which has just left without telling its
// start, before the node had heard of it.
TEST_F(LocalInstanceTest, TheHeartbeatAfterALeaveWithoutAStartTellsWhichProcessLeft) {
  EXPECT_FALSE(instance_.HandleLeave({"i-1", 0}, now_));
  now_ += seconds(1);
  SendHeartbeat("i-1", 10, 25);
  EXPECT_EQ(instance_.leaving_since(), now_ - seconds(1));
  SendHeartbeat("i-1", 20, 1);
  EXPECT_FALSE(instance_.leaving_since()) << "its successor serves";
  EXPECT_EQ(instance_.Identify("i-1"), (Incarnation{"i-1", 20}));
  EXPECT_EQ(instance_.Identify("i-3"), (Incarnation{"i-3", 0}));
}

// Guards against a successor under the same id that is never used because of a leave long ago.
TEST_F(LocalInstanceTest, ALeaveWithoutAStartIsNotThatOfALaterProcess) {
  EXPECT_FALSE(instance_.HandleLeave({"i-1", 0}, now_));
  now_ += seconds(5);
  SendHeartbeat("i-1", 10, 1);
  EXPECT_FALSE(instance_.leaving_since());
}

// Guards against a process that announced its leaving while another one was current, because of a
// clock that was set back, and that is used once the other one has fallen silent.
TEST_F(LocalInstanceTest, ALateAnnouncementOfLeavingIsRemembered) {
  SendHeartbeat("i-1", 5000, 9);
  EXPECT_EQ(SendHeartbeat("i-2", 2000, 1, InstanceState::kLeaving), HeartbeatOutcome::kLate);
  for (std::uint64_t sequence = 2; sequence <= 6; ++sequence) {
    now_ += milliseconds(1500);
    instance_.ExpireIfSilent(now_);
    SendHeartbeat("i-2", 2000, sequence);
  }
  ASSERT_EQ(instance_.instance(), "i-2");
  EXPECT_TRUE(instance_.leaving_since());
}

// Guards against a memory of departures that grows with the age of the fleet, and against one that
// forgets the departures of a quiet node for those of a busy one.
TEST(DepartureRegisterTest, KeepsTheNewestOfEachNode) {
  DepartureRegister departures;
  departures.Add({"quiet", {"i-1", 1}});
  for (std::uint64_t born = 1; born <= 100; ++born) {
    departures.Add({"busy", {"i-2", born}});
    departures.Add({"busy", {"i-2", born}});
  }
  EXPECT_EQ(departures.DeparturesAt("quiet"), (std::vector<Incarnation>{{"i-1", 1}}));
  EXPECT_EQ(departures.DeparturesAt("busy"),
            (std::vector<Incarnation>{{"i-2", 97}, {"i-2", 98}, {"i-2", 99}, {"i-2", 100}}));
  DepartureRegister restored;
  restored.Add({"other", {"i-3", 1}});
  restored.Restore(departures.Snapshot());
  EXPECT_EQ(restored.Snapshot(), departures.Snapshot());
  EXPECT_FALSE(restored.Contains({"other", {"i-3", 1}}));
  EXPECT_THROW(restored.Restore("\x93"), DirectoryError);
  EXPECT_THROW(DecodeDeparture("x"), DirectoryError);
  const Departure departure{"n", {"i", 7}};
  EXPECT_EQ(DecodeDeparture(EncodeDeparture(departure)), departure);
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
  EXPECT_FALSE(view_.Forget("c2").empty());
  EXPECT_EQ(view_.records().size(), 0U);
}

/** Control hosts that exchange their records, without losses unless a link is cut. */
class ControlDirectoryTest : public ::testing::Test {
 protected:
  void Exchange(const std::string& from, const std::string& to) {
    SyncAnswer answer;
    hosts_.at(from).FillAnswer(hosts_.at(to).ExchangeRequest(from), answer);
    hosts_.at(to).Receive(from, answer, now_);
  }
  void ExchangeAll() {
    for (const auto& [from, sender] : hosts_) {
      for (const auto& [to, receiver] : hosts_) {
        if (from != to) {
          Exchange(from, to);
        }
      }
    }
  }
  void ExpireAll() {
    for (auto& [name, host] : hosts_) {
      host.Expire(now_);
    }
  }
  std::vector<std::string> Served(const std::string& name) {
    SyncAnswer answer;
    hosts_.at(name).FillAnswer({}, answer);
    std::vector<std::string> nodes;
    for (const InstanceRecord& record : answer.records) {
      nodes.push_back(record.node);
    }
    std::sort(nodes.begin(), nodes.end());
    return nodes;
  }

  base::TimePoint now_{seconds(100)};
  std::map<std::string, ControlDirectory> hosts_{
      {"c1", {1, seconds(4), now_}}, {"c2", {2, seconds(4), now_}}, {"c3", {3, seconds(4), now_}}};
};

using Nodes = std::vector<std::string>;

// Guards against a node that only the nodes of its own zone know.
TEST_F(ControlDirectoryTest, ServesTheRecordsOfOtherControlHosts) {
  hosts_.at("c1").Renew(Record("a", 1, 1), now_);
  EXPECT_EQ(Served("c2"), Nodes{});
  ExchangeAll();
  EXPECT_EQ(Served("c2"), Nodes{"a"});
  hosts_.at("c1").Renew(Record("a", 1, 2), now_);
  const SyncAnswer changes = hosts_.at("c1").TakeChanges();
  EXPECT_FALSE(hosts_.at("c1").has_changes());
  hosts_.at("c2").Receive("c1", changes, now_);
  SyncAnswer answer;
  hosts_.at("c2").FillAnswer({}, answer);
  ASSERT_EQ(answer.records.size(), 1U);
  EXPECT_EQ(answer.records.front().revision, 2U);
}

// Guards against records that are passed on without end after their node is gone.
TEST_F(ControlDirectoryTest, PassesOnOnlyWhatIsRenewedHere) {
  hosts_.at("c1").Renew(Record("a", 1, 1), now_);
  Exchange("c1", "c2");
  Exchange("c2", "c3");
  EXPECT_EQ(Served("c3"), Nodes{});
  now_ += seconds(5);
  ExpireAll();
  ExchangeAll();
  EXPECT_EQ(Served("c2"), Nodes{});
}

// Guards against nodes that vanish for a zone whose control host cannot reach theirs: each node
// renews its record at a second control host.
TEST_F(ControlDirectoryTest, KeepsANodeKnownThroughASecondControlHost) {
  hosts_.at("c1").Renew(Record("a", 1, 1), now_);
  hosts_.at("c3").Renew(Record("a", 1, 1), now_);
  ExchangeAll();
  for (int second = 0; second < 12; ++second) {
    now_ += seconds(1);
    hosts_.at("c1").Renew(Record("a", 1, 1), now_);
    hosts_.at("c3").Renew(Record("a", 1, 1), now_);
    ExpireAll();
    Exchange("c3", "c2");  // The link from c1 to c2 is cut.
  }
  EXPECT_EQ(Served("c2"), Nodes{"a"});
}

// Guards against an older view that revives an instance that has left: the node moved to another
// control host, and the first one still lists the earlier record.
TEST_F(ControlDirectoryTest, AnOlderRecordElsewhereRevivesNothing) {
  hosts_.at("c1").Renew(Record("a", 1, 1), now_);
  ExchangeAll();
  InstanceRecord gone = Record("a", 1, 2);
  gone.instance.clear();
  hosts_.at("c2").Renew(gone, now_);
  ExchangeAll();
  for (const char* host : {"c1", "c2", "c3"}) {
    EXPECT_EQ(Served(host), Nodes{}) << host;
  }
}

// Guards against a control host that restarts empty and removes what the others still know, and
// against one that is lost and leaves its records behind.
TEST_F(ControlDirectoryTest, ARestartedControlHostLearnsFromTheOthers) {
  hosts_.at("c1").Renew(Record("a", 1, 1), now_);
  hosts_.at("c2").Renew(Record("b", 1, 1), now_);
  ExchangeAll();
  hosts_.erase("c1");
  hosts_.emplace("c1", ControlDirectory(11, seconds(4), now_));
  ExchangeAll();
  EXPECT_EQ(Served("c1"), Nodes{"b"});
  EXPECT_EQ(Served("c2"), (Nodes{"a", "b"})) << "the new c1 is not complete yet";
  for (int second = 0; second < 5; ++second) {
    now_ += seconds(1);
    hosts_.at("c2").Renew(Record("b", 1, 1), now_);
    ExpireAll();
    ExchangeAll();
  }
  EXPECT_EQ(Served("c2"), Nodes{"b"});
  for (int second = 0; second < 9; ++second) {
    now_ += seconds(1);
    ExpireAll();
  }
  EXPECT_EQ(Served("c3"), Nodes{}) << "c2 was not heard for longer than its records are kept";
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
  answer.zone = "z";
  const std::string bytes = Encode(answer);
  const auto decoded = std::get<SyncAnswer>(Decode(bytes));
  EXPECT_EQ(decoded.records, answer.records);
  EXPECT_EQ(decoded.removed, answer.removed);
  EXPECT_EQ(decoded.declaration, "text");
  EXPECT_EQ(decoded.zone, "z");
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
