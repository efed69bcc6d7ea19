#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <limits>
#include <map>

#include "tests/control_member/world.h"

namespace borageloft::control_member {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using storage::PowerLoss;

// Time after a start, or a return, at which a host no longer counts as lost.
constexpr seconds kCatchUpTime{4};
// Time between two checks of a process whether it has stopped.
constexpr milliseconds kStopCheckInterval{100};

const std::vector<std::string> kHosts = {"c1", "c2", "c3", "c4", "c5"};

void FormGroup(World& world) {
  for (const std::string& host : kHosts) {
    world.Start(host, true);
    world.Advance(milliseconds(base::DrawBelow(world.random, 60)));
  }
  ASSERT_TRUE(world.AdvanceUntil(seconds(8), [&] { return world.VoterCount() == 5; }));
}

void ReplaceUntilAcknowledged(World& world, milliseconds limit) {
  const declaration::Version before = world.acknowledged();
  ASSERT_TRUE(world.AdvanceUntil(limit, [&] {
    world.ReplaceDeclaration();
    world.Advance(milliseconds(50));
    return world.acknowledged() > before;
  }));
}

// All hosts lose power at once, two of them their disks as well, and start again one after the
// other.
void RestartAllWithTwoLostDisks(World& world) {
  std::vector<std::string> hosts = kHosts;
  for (std::size_t i = hosts.size() - 1; i > 0; --i) {
    std::swap(hosts[i], hosts[base::DrawBelow(world.random, i + 1)]);
  }
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    if (i < 2) {
      world.WipeDisk(hosts[i]);
    } else {
      world.Kill(hosts[i], PowerLoss::kLoseUnsynced);
    }
  }
  for (const std::string& host : hosts) {
    world.Start(host, false);
    world.Advance(milliseconds(base::DrawBelow(world.random, 300)));
  }
}

// Guards against a group that cannot form from its seeds alone before the first declaration
// arrives.
TEST(MemberTest, SeedsFormTheGroupAndOtherHostsJoin) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE(seed);
    World world(seed);
    FormGroup(world);
    ReplaceUntilAcknowledged(world, seconds(2));
  }
}

// Guards against acknowledging a declaration that is on fewer disks than tolerated_losses requires.
TEST(MemberTest, NothingIsAcknowledgedBeforeTheGroupIsLargeEnough) {
  World world(3);
  for (const char* host : {"c1", "c2", "c3", "c4"}) {
    world.Start(host, true);
  }
  ASSERT_TRUE(world.AdvanceUntil(seconds(8), [&] { return world.VoterCount() == 4; }));
  for (int i = 0; i < 50; ++i) {
    world.ReplaceDeclaration();
    world.Advance(milliseconds(50));
  }
  EXPECT_EQ(world.acknowledged(), 0U);
  world.Start("c5", true);
  ReplaceUntilAcknowledged(world, seconds(5));
}

// Guards against losing an acknowledged declaration when two disks are lost right after the
// acknowledgement while all other hosts lose power.
TEST(MemberTest, AcknowledgedDeclarationSurvivesTheLossOfTwoDisks) {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    SCOPED_TRACE(seed);
    World world(seed);
    FormGroup(world);
    for (int replacement = 0; replacement < 3; ++replacement) {
      ReplaceUntilAcknowledged(world, seconds(3));
    }
    RestartAllWithTwoLostDisks(world);
    ASSERT_TRUE(world.AdvanceUntil(seconds(10), [&] { return world.HasAllVoters(); }));
    world.CheckReads();
    world.Advance(seconds(1));
    ReplaceUntilAcknowledged(world, seconds(5));
  }
}

// Guards against a group that, after a power loss of all hosts, stays unavailable for more than
// half a second without a split vote, or for more than the 2 s of a failover with one; and against
// a host that reports itself as current before it has applied everything acknowledged.
TEST(MemberTest, RestartedGroupRecoversSoonAndOnlyWithTheNewestDeclaration) {
  constexpr int kSeeds = 30;
  int fast_recoveries = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SCOPED_TRACE(seed);
    World world(seed);
    FormGroup(world);
    for (int replacement = 0; replacement < 3; ++replacement) {
      ReplaceUntilAcknowledged(world, seconds(3));
    }
    for (const std::string& host : kHosts) {
      world.Kill(host, PowerLoss::kLoseUnsynced);
    }
    for (const std::string& host : kHosts) {
      world.Start(host, false);
    }
    const auto is_served = [&] {
      bool is_any_current = false;
      for (const std::string& host : kHosts) {
        if (world.member(host).IsCurrent()) {
          EXPECT_EQ(world.member(host).applied().version(), world.acknowledged()) << host;
          is_any_current = true;
        }
      }
      return is_any_current;
    };
    fast_recoveries += world.AdvanceUntil(milliseconds(500), is_served) ? 1 : 0;
    ASSERT_TRUE(world.AdvanceUntil(milliseconds(1500), is_served));
  }
  // Split votes delay the election in a few runs.
  EXPECT_GE(fast_recoveries, kSeeds * 9 / 10);
}

// Guards against a group that stays smaller after a host was replaced by one at another address,
// and against a removed replica that does not rejoin when its host comes back.
TEST(MemberTest, ReplacementHostJoinsInsteadOfASilentHost) {
  World world(5);
  FormGroup(world);
  ReplaceUntilAcknowledged(world, seconds(3));
  world.Kill("c2");
  world.Start("c6", false);
  ASSERT_TRUE(world.AdvanceUntil(seconds(8), [&] {
    return world.VoterCount() == 5 &&
           world.member(world.Leader()).status().replica_host.membership.members().size() == 5;
  }));
  world.Start("c2", false);
  ASSERT_TRUE(world.AdvanceUntil(seconds(8), [&] {
    const Member& leader = world.member(world.Leader());
    const std::vector<std::string> hosts = leader.ControlHosts();
    return std::find(hosts.begin(), hosts.end(), "c2") != hosts.end();
  }));
  world.Advance(seconds(1));
  world.Kill("c3");
  EXPECT_TRUE(world.AdvanceUntil(seconds(8), [&] { return world.VoterCount() == 5; }));
  ReplaceUntilAcknowledged(world, seconds(5));
}

// Guards against a group that never grows again, and nodes that find no member of it, because of
// the seeds one was replaced and the others lost their disks.
TEST(MemberTest, HostsThatLostTheirDisksJoinWithoutAnySeedInTheGroup) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE(seed);
    World world(seed);
    FormGroup(world);
    ReplaceUntilAcknowledged(world, seconds(3));
    world.Kill("c1");
    world.Start("c6", false);
    ASSERT_TRUE(world.AdvanceUntil(seconds(8), [&] { return world.HasAllVoters(); }));
    ReplaceUntilAcknowledged(world, seconds(3));
    world.WipeDisk("c2");
    world.WipeDisk("c3");
    for (const char* host : {"c4", "c5", "c6"}) {
      world.Kill(host, PowerLoss::kLoseUnsynced);
    }
    for (const char* host : {"c2", "c3", "c4", "c5", "c6"}) {
      world.Start(host, false);
    }
    ASSERT_TRUE(world.AdvanceUntil(seconds(10), [&] { return world.HasAllVoters(); }));
    for (const char* host : {"c2", "c3"}) {
      EXPECT_TRUE(world.AdvanceUntil(seconds(1), [&] { return world.member(host).IsCurrent(); }));
      EXPECT_EQ(world.member(host).applied().version(), world.acknowledged());
    }
  }
}

// Guards against a group that keeps a voter which has stopped, although a spare has caught up, and
// so loses its majority with two disks that are lost soon after.
TEST(MemberTest, ASpareReplacesAStoppedHostBeforeTwoDisksAreLost) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE(seed);
    World world(seed);
    FormGroup(world);
    ReplaceUntilAcknowledged(world, seconds(3));
    world.Start("c6", false);
    world.Advance(kCatchUpTime);
    ASSERT_TRUE(world.member("c6").IsCurrent());
    std::vector<std::string> others = kHosts;
    const auto stopped = seed % 2 == 0
                             ? std::find(others.begin(), others.end(), world.Leader())
                             : others.begin() + static_cast<std::ptrdiff_t>(
                                                    base::DrawBelow(world.random, others.size()));
    const std::string stopped_host = *stopped;
    others.erase(stopped);
    world.Stop(stopped_host);
    world.Advance(kStopCheckInterval);
    ReplaceUntilAcknowledged(world, seconds(3));
    world.WipeDisk(others[0]);
    world.WipeDisk(others[1]);
    world.Start(others[0], false);
    world.Start(others[1], false);
    ASSERT_TRUE(world.AdvanceUntil(seconds(10), [&] { return world.HasAllVoters(); }));
    world.CheckReads();
    world.Advance(seconds(1));
    ReplaceUntilAcknowledged(world, seconds(5));
  }
}

// Guards against a leader that waits anew, from its election on, before it replaces a host that was
// removed before: two of five voters are then left once another disk may be lost.
TEST(MemberTest, ARemovedHostIsReplacedInTimeAlthoughTheLeaderIsLost) {
  constexpr milliseconds kDown{3000};
  constexpr milliseconds kStep{100};
  std::uint64_t seed = 0;
  for (int round = 0; round < 4; ++round) {
    for (milliseconds loss{0}; loss < kCatchUpTime; loss += kStep) {
      SCOPED_TRACE(++seed);
      World world(seed);
      FormGroup(world);
      ReplaceUntilAcknowledged(world, seconds(3));
      std::vector<std::string> others = kHosts;
      const auto lose = [&](const std::string& host) {
        others.erase(std::find(others.begin(), others.end(), host));
        world.WipeDisk(host);
        return host;
      };
      const auto pick = [&](bool prefers_leader) {
        const std::string leader = world.Leader();
        const bool is_found = std::find(others.begin(), others.end(), leader) != others.end();
        return prefers_leader && is_found ? leader
                                          : others[base::DrawBelow(world.random, others.size())];
      };
      lose(pick(round == 0));
      world.Start("c6", false);
      world.Advance(loss);
      const std::string first = lose(pick(true));
      world.Advance(kCatchUpTime - loss);
      // The removed host no longer counts as lost, as its successor has had the time to catch up.
      others.push_back("c6");
      const std::string second = lose(pick(round % 2 == 0));
      world.Advance(loss + kDown > kCatchUpTime ? loss + kDown - kCatchUpTime : milliseconds(0));
      world.Start(first, false);
      world.Advance(kDown);
      world.Start(second, false);
      EXPECT_TRUE(world.AdvanceUntil(seconds(15), [&] { return world.HasAllVoters(); }))
          << loss.count() << " ms after the removal, " << first << ", then " << second;
      world.CheckReads();
      ReplaceUntilAcknowledged(world, seconds(5));
    }
  }
}

// Guards against a host that is still not a voter when the time in which a returned or replaced one
// must catch up is over, after which two more disks may be lost.
TEST(MemberTest, AReturnedHostVotesWithinTheCatchUpTime) {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    SCOPED_TRACE(seed);
    World world(seed);
    FormGroup(world);
    ReplaceUntilAcknowledged(world, seconds(3));
    world.Advance(milliseconds(base::DrawBelow(world.random, 1000)));
    std::string lost = kHosts[base::DrawBelow(world.random, kHosts.size())];
    if (seed % 4 == 0) {
      lost = world.Leader();
    }
    std::string returned = lost;
    if (seed % 2 == 0) {
      world.Kill(lost);
      returned = "c6";
    } else {
      world.WipeDisk(lost);
    }
    world.Advance(milliseconds(base::DrawBelow(world.random, 2000)));
    world.Start(returned, false);
    EXPECT_TRUE(world.AdvanceUntil(kCatchUpTime, [&] { return world.HasAllVoters(); }));
  }
}

// Guards against a joiner that starts under a replica id whose membership change is never committed
// and stays out of the group for good, so that two lost disks later no majority is left.
TEST(MemberTest, JoinerWhoseAdditionIsNotCommittedStillJoins) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    SCOPED_TRACE(seed);
    World world(seed);
    FormGroup(world);
    ReplaceUntilAcknowledged(world, seconds(3));
    const std::string leader = world.Leader();
    std::vector<std::string> others = kHosts;
    std::erase(others, leader);
    const std::string joiner = others.back();
    others.pop_back();
    world.WipeDisk(joiner);
    world.Advance(seconds(1));
    const auto interrupt = [&] {
      for (const std::string& host : others) {
        world.Kill(host);
      }
      world.Start(joiner, false);
      world.Advance(milliseconds(100 + base::DrawBelow(world.random, 800)));
      for (const std::string& host : others) {
        world.Start(host, false);
      }
    };
    interrupt();
    // Some joiners are killed once more, with and without the disk that they began to fill.
    if (seed % 2 == 0) {
      world.Advance(milliseconds(base::DrawBelow(world.random, 1500)));
      if (seed % 4 == 0) {
        world.WipeDisk(joiner);
      } else {
        world.Kill(joiner, PowerLoss::kLoseUnsynced);
      }
      interrupt();
    }
    ASSERT_TRUE(world.AdvanceUntil(seconds(15), [&] { return world.HasAllVoters(); }));
    ReplaceUntilAcknowledged(world, seconds(5));
  }
}

// Guards against a voter that discards its disk because the leader has proposed its removal, while
// the removal is not committed and the group still counts that disk.
TEST(MemberTest, VoterKeepsItsDiskUntilItsRemovalIsCommitted) {
  for (int offset = 2000; offset < 2900; offset += 20) {
    SCOPED_TRACE(offset);
    World world(static_cast<std::uint64_t>(offset) + 1);
    FormGroup(world);
    ReplaceUntilAcknowledged(world, seconds(3));
    const std::string leader = world.Leader();
    std::vector<std::string> others = kHosts;
    std::erase(others, leader);
    const std::string silent = others.back();
    others.pop_back();
    const consensus::ReplicaId replica = world.member(silent).status().replica_host.replica;
    world.Kill(silent);
    world.Start("c6", false);
    world.Advance(milliseconds(offset));
    for (const std::string& host : others) {
      world.Kill(host);
    }
    world.Start(silent, false);
    world.Advance(milliseconds(700));
    for (const std::string& host : others) {
      world.Start(host, false);
    }
    ASSERT_TRUE(world.AdvanceUntil(seconds(5), [&] {
      return !world.Leader().empty() &&
             world.member(world.Leader()).status().replica_host.applied_term ==
                 world.member(world.Leader()).status().replica_host.soft_state.term;
    }));
    const consensus::Membership membership =
        world.member(world.Leader()).status().replica_host.membership;
    if (membership.IsVoter(replica)) {
      EXPECT_EQ(world.member(silent).status().replica_host.replica, replica);
    }
  }
}

// Guards against a learner that was removed while nobody could reach it and never asks again,
// because only voters campaign.
TEST(MemberTest, RemovedLearnerJoinsAgain) {
  World world(7);
  FormGroup(world);
  ReplaceUntilAcknowledged(world, seconds(3));
  const std::string host = world.Leader() == "c5" ? "c4" : "c5";
  world.WipeDisk(host);
  world.Advance(seconds(1));
  world.Start(host, false);
  const auto find_learner = [&] {
    const consensus::Membership membership =
        world.member(world.Leader()).status().replica_host.membership;
    for (const auto& [replica, member] : membership.members()) {
      if (!member.is_voter && world.member(host).status().replica_host.replica == replica) {
        return replica;
      }
    }
    return consensus::kNoReplica;
  };
  ASSERT_TRUE(
      world.AdvanceUntil(seconds(5), [&] { return find_learner() != consensus::kNoReplica; }));
  const consensus::ReplicaId learner = find_learner();
  world.SetPartitioned(host, true);
  // A join request of an earlier disk of the host arrives late. The learner that the group adds for
  // it is the newest at this address, so the learner of the current disk is removed.
  ASSERT_TRUE(world.AdvanceUntil(seconds(5), [&] {
    Member& leader = world.member(world.Leader());
    leader.Receive(host, EncodeFormationMessage(JoinRequest{host + "#earlier", false}));
    return !leader.status().replica_host.membership.Contains(learner);
  }));
  world.Advance(seconds(2));
  world.SetPartitioned(host, false);
  EXPECT_TRUE(world.AdvanceUntil(seconds(15), [&] { return world.HasAllVoters(); }));
}

// Guards against a departure that was acknowledged and is forgotten when all control hosts are
// killed and two of them lose their disks, or when the log is replaced by a snapshot.
TEST(MemberTest, RecordedDeparturesSurviveTheLossOfTwoDisks) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SCOPED_TRACE(seed);
    World world(seed);
    FormGroup(world);
    ReplaceUntilAcknowledged(world, seconds(3));
    const directory::Departure departure{"n1", {"i-1", seed}};
    bool is_recorded = false;
    ASSERT_TRUE(world.AdvanceUntil(seconds(5), [&] {
      world.member(world.Leader()).RecordDeparture(departure, [&](bool recorded) {
        is_recorded |= recorded;
      });
      world.Advance(milliseconds(100));
      return is_recorded;
    }));
    RestartAllWithTwoLostDisks(world);
    ASSERT_TRUE(world.AdvanceUntil(seconds(10), [&] { return world.HasAllVoters(); }));
    std::optional<std::vector<directory::Incarnation>> read;
    world.member(world.Leader()).ReadDepartures([&](const directory::DepartureRegister* newest) {
      if (newest != nullptr) {
        read = newest->DeparturesAt("n1");
      }
    });
    world.Advance(milliseconds(300));
    ASSERT_TRUE(read);
    EXPECT_EQ(*read, std::vector<directory::Incarnation>{departure.incarnation});
    // The hosts that lost their disks have received it as well, in a snapshot or in the log.
    for (const std::string& host : kHosts) {
      EXPECT_TRUE(world.member(host).departures().Contains(departure)) << host;
    }
    ReplaceUntilAcknowledged(world, seconds(5));
  }
}

// Guards against a declaration whose base makes it look like a departure in the log, which would
// end every control host each time it is applied.
TEST(MemberTest, ADeclarationOnTheHighestVersionIsRefused) {
  World world(11);
  FormGroup(world);
  ReplaceUntilAcknowledged(world, seconds(3));
  std::optional<ReplaceStatus> status;
  constexpr auto kHighest = std::numeric_limits<declaration::Version>::max();
  world.member(world.Leader()).Replace({kHighest, kHighest, "text"}, [&](ReplaceStatus result) {
    status = result;
  });
  world.Advance(seconds(1));
  EXPECT_EQ(status, ReplaceStatus::kWrongBase);
  ReplaceUntilAcknowledged(world, seconds(3));
}

// Guards against a voter that discards what it has stored because its disk refused a write, so that
// the group has no majority when two other disks are lost.
TEST(MemberTest, AVoterWhoseDiskRefusesAWriteKeepsItsReplica) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE(seed);
    World world(seed);
    FormGroup(world);
    ReplaceUntilAcknowledged(world, seconds(3));
    std::map<std::string, consensus::ReplicaId> replicas;
    for (const std::string& host : kHosts) {
      if (host != world.Leader() && replicas.size() < 2) {
        replicas[host] = world.member(host).status().replica_host.replica;
        world.FailDisk(host, 1);
      }
    }
    for (int i = 0; i < 40; ++i) {
      world.ReplaceDeclaration();
      world.Advance(milliseconds(100));
    }
    for (const auto& [host, replica] : replicas) {
      EXPECT_GT(world.member(host).status().replica_host.storage_failures, 0U) << host;
      EXPECT_EQ(world.member(host).status().replica_host.replica, replica) << host;
    }
    for (const std::string& host : kHosts) {
      if (!replicas.contains(host) && host != world.Leader()) {
        world.WipeDisk(host);
      }
    }
    for (const std::string& host : kHosts) {
      world.Kill(host, PowerLoss::kLoseUnsynced);
    }
    for (const std::string& host : kHosts) {
      world.Start(host, false);
    }
    ASSERT_TRUE(world.AdvanceUntil(seconds(10), [&] { return world.HasAllVoters(); }));
    ReplaceUntilAcknowledged(world, seconds(5));
  }
}

// Guards against a joiner that never takes part because its disk refused a write when it was
// admitted.
TEST(MemberTest, AJoinerWhoseDiskRefusesAWriteJoinsLater) {
  for (std::uint64_t operation = 1; operation <= 24; ++operation) {
    SCOPED_TRACE(operation);
    World world(operation);
    FormGroup(world);
    ReplaceUntilAcknowledged(world, seconds(3));
    world.WipeDisk("c4");
    world.Advance(seconds(1));
    world.Start("c4", false);
    world.FailDisk("c4", operation);
    EXPECT_TRUE(world.AdvanceUntil(seconds(10), [&] { return world.HasAllVoters(); }));
  }
}

// Guards against a group whose places are all taken by spares that are gone for good, and which
// then admits no host that lost its disk.
TEST(MemberTest, SparesThatAreGoneLeaveRoomForHostsThatLostTheirDisks) {
  World world(13);
  FormGroup(world);
  ReplaceUntilAcknowledged(world, seconds(3));
  const auto member_count = [&] {
    return world.Leader().empty()
               ? 0
               : world.member(world.Leader()).status().replica_host.membership.members().size();
  };
  for (std::size_t number = 6; number < 6 + consensus::kMaxMembers; ++number) {
    const std::string spare = "c" + std::to_string(number);
    world.Start(spare, false);
    world.Advance(seconds(1));
    world.Kill(spare);
  }
  world.WipeDisk("c4");
  world.Start("c4", false);
  EXPECT_TRUE(world.AdvanceUntil(seconds(15), [&] { return world.HasAllVoters(); }))
      << member_count() << " members";
  // A spare that was forgotten and returns is admitted again.
  world.Start("c6", false);
  EXPECT_TRUE(world.AdvanceUntil(seconds(4), [&] { return member_count() == 6; }));
}

// Guards against a declaration of many routes that is answered as unavailable for good, because its
// text does not fit an entry of the log.
TEST(MemberTest, ADeclarationOfManyRoutesIsAccepted) {
  World world(12);
  FormGroup(world);
  ReplaceUntilAcknowledged(world, seconds(3));
  std::string text;
  while (text.size() < (std::size_t{3} << 20U)) {
    text += "route of host " + std::to_string(world.random() % 100'000) + " to the service parts\n";
  }
  const auto replace = [&](const std::string& next_text) {
    const declaration::Version base = world.member(world.Leader()).applied().version();
    std::optional<ReplaceStatus> status;
    world.member(world.Leader()).Replace({base, base + 1, next_text}, [&](ReplaceStatus result) {
      status = result;
    });
    world.Advance(seconds(2));
    return status;
  };
  ASSERT_EQ(replace(text), ReplaceStatus::kAccepted);
  for (const std::string& host : kHosts) {
    EXPECT_EQ(world.member(host).applied().text(), text) << host;
  }
  RestartAllWithTwoLostDisks(world);
  ASSERT_TRUE(world.AdvanceUntil(seconds(10), [&] { return world.HasAllVoters(); }));
  for (const std::string& host : kHosts) {
    EXPECT_EQ(world.member(host).applied().text(), text) << host;
  }
  std::string incompressible;
  while (incompressible.size() < (std::size_t{1} << 20U)) {
    incompressible += static_cast<char>(world.random());
  }
  EXPECT_EQ(replace(incompressible), ReplaceStatus::kTooLarge);
}

// Guards against reading a stale declaration from the old leader during a network partition.
TEST(MemberTest, PartitionedLeaderServesNoStaleRead) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    World world(seed);
    FormGroup(world);
    ReplaceUntilAcknowledged(world, seconds(3));
    const std::string old_leader = world.Leader();
    world.SetPartitioned(old_leader, true);
    ASSERT_TRUE(world.AdvanceUntil(seconds(5), [&] {
      world.CheckReads();
      return world.Leader() != old_leader;
    }));
    ReplaceUntilAcknowledged(world, seconds(5));
    world.CheckReads();
    world.SetPartitioned(old_leader, false);
    for (int i = 0; i < 100; ++i) {
      world.Advance(milliseconds(20));
      world.CheckReads();
    }
  }
}

// Guards against losing an acknowledged declaration, or reading a stale one, under any mix of
// killed processes, power losses, partitions and wiped disks that tolerated_losses allows.
TEST(MemberTest, RandomFaultsLoseNothingAcknowledged) {
  const char* seeds = std::getenv("CONTROL_MEMBER_SEEDS");
  const std::uint64_t count = seeds == nullptr ? 25 : std::strtoull(seeds, nullptr, 10);
  for (std::uint64_t seed = 1; seed <= count; ++seed) {
    SCOPED_TRACE(seed);
    World world(seed);
    FormGroup(world);
    for (int round = 0; round < 25; ++round) {
      world.ReplaceDeclaration();
      world.CheckReads();
      const std::string& host = kHosts[base::DrawBelow(world.random, kHosts.size())];
      const std::uint64_t fault = base::DrawBelow(world.random, 8);
      const auto pause = milliseconds(base::DrawBelow(world.random, 1500));
      if (fault < 2) {
        world.Kill(host, fault == 0 ? std::optional(PowerLoss::kTearUnsynced) : std::nullopt);
        world.Advance(pause);
        world.Start(host, false);
      } else if (fault == 2) {
        world.SetPartitioned(host, true);
        world.ReplaceDeclaration();
        world.Advance(pause);
        world.CheckReads();
        world.SetPartitioned(host, false);
      } else if (fault == 3) {
        for (const std::string& each : kHosts) {
          world.Kill(each, PowerLoss::kTearUnsynced);
        }
        for (const std::string& each : kHosts) {
          world.Start(each, false);
          world.Advance(milliseconds(base::DrawBelow(world.random, 100)));
        }
      } else if (fault == 4) {
        // Wipes two disks at once, after the group has replaced its lost voters.
        ASSERT_TRUE(world.AdvanceUntil(seconds(15), [&] { return world.HasAllVoters(); }));
        world.ReplaceDeclaration();
        world.Advance(milliseconds(base::DrawBelow(world.random, 60)));
        const std::string& other = kHosts[base::DrawBelow(world.random, kHosts.size())];
        world.WipeDisk(host);
        world.WipeDisk(other);
        world.Advance(pause);
        world.Start(host, false);
        if (other != host) {
          world.Start(other, false);
        }
        ASSERT_TRUE(world.AdvanceUntil(seconds(15), [&] { return world.HasAllVoters(); }));
      }
      for (int i = 0; i < 20; ++i) {
        world.Advance(milliseconds(20));
        world.CheckReads();
        if (i % 5 == 0) {
          world.ReplaceDeclaration();
        }
      }
    }
    ASSERT_TRUE(world.AdvanceUntil(seconds(15), [&] { return world.HasAllVoters(); }));
    ReplaceUntilAcknowledged(world, seconds(5));
    world.CheckReads();
    world.Advance(seconds(1));
  }
}

}  // namespace
}  // namespace borageloft::control_member
