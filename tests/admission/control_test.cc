#include <gtest/gtest.h>

#include <array>

#include "libraries/admission/admission.h"

namespace borageloft::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::TimePoint kStart{seconds(100)};

Ticket Make(std::uint64_t id, ClassRank rank, base::Duration remaining, std::uint32_t depth = 0) {
  Ticket ticket;
  ticket.id = TicketId{id};
  ticket.request_class = {"class", rank};
  ticket.deadline = kStart + remaining;
  ticket.depth = depth;
  return ticket;
}

// Guards against two services that shed different roots at the same level.
TEST(AdmissionLevelTest, AdmitsByRankThenKey) {
  const AdmissionLevel level(2, ShedKey::kPositions / 2);
  const ShedKey low(0);
  const ShedKey high(~0ULL);
  EXPECT_TRUE(level.Admits(1, high));
  EXPECT_TRUE(level.Admits(2, low));
  EXPECT_FALSE(level.Admits(2, high));
  EXPECT_FALSE(level.Admits(3, low));
  EXPECT_TRUE(AdmissionLevel().Admits(1000, high));
  EXPECT_LT(AdmissionLevel(1, ShedKey::kPositions), AdmissionLevel(2, 0));
  EXPECT_LT(level, AdmissionLevel());
  EXPECT_EQ(ShedKey::FromRoot("root"), ShedKey::FromRoot("root"));
}

// Guards against losing the work of earlier hops because newer roots go first.
TEST(ClassQueueTest, OrdersByRemainingTimeAndDepth) {
  ClassQueue queue;
  queue.Push(Make(1, 2, milliseconds(100)), kStart);
  queue.Push(Make(2, 2, milliseconds(100), 3), kStart);
  queue.Push(Make(3, 2, milliseconds(50)), kStart);
  EXPECT_EQ(queue.Pop(2)->ticket.id, TicketId{3});
  EXPECT_EQ(queue.Pop(2)->ticket.id, TicketId{2});
  EXPECT_EQ(queue.Pop(2)->ticket.id, TicketId{1});
  EXPECT_FALSE(queue.Pop(2));
}

// Guards against a standing queue that serves only requests about to expire.
TEST(ClassQueueTest, StandingQueueServesNewestFirst) {
  ClassQueue queue;
  queue.Push(Make(1, 2, milliseconds(50)), kStart);
  queue.Push(Make(2, 2, milliseconds(100)), kStart + milliseconds(1));
  queue.set_newest_first(true);
  EXPECT_EQ(queue.Pop(2)->ticket.id, TicketId{2});
  EXPECT_EQ(queue.oldest(), kStart);
}

// Guards against evicting a request that is more important or more urgent than the new one.
TEST(ClassQueueTest, EvictsOnlyWhatGoesAfter) {
  ClassQueue queue;
  queue.AddCapacity(2, 1);
  queue.Push(Make(1, 2, milliseconds(50)), kStart);
  EXPECT_TRUE(queue.is_full(2));
  EXPECT_FALSE(queue.EvictBelow(2));
  EXPECT_FALSE(queue.EvictAfter(Make(9, 2, milliseconds(60))));
  EXPECT_EQ(queue.EvictAfter(Make(9, 2, milliseconds(40)))->ticket.id, TicketId{1});
  queue.Push(Make(2, 2, milliseconds(50)), kStart);
  queue.Push(Make(3, 3, milliseconds(50)), kStart);
  EXPECT_EQ(queue.EvictBelow(1)->ticket.id, TicketId{3});
  EXPECT_THROW(queue.Push(Make(2, 2, milliseconds(50)), kStart), AdmissionError);
}

class ConcurrencyLimitTest : public ::testing::Test {
 protected:
  // Simulates an upstream in full use; requests beyond its cores slow all of them in proportion.
  void Run(double seconds_of_run, std::size_t cores, base::Duration own_time) {
    const base::TimePoint end =
        now_ + base::Duration(static_cast<std::int64_t>(seconds_of_run * 1e9));
    while (now_ < end) {
      const std::size_t in_flight = limit_.limit();
      const double slowdown =
          std::max(1.0, static_cast<double>(in_flight) / static_cast<double>(cores));
      const base::Duration latency(
          static_cast<std::int64_t>(static_cast<double>(own_time.count()) * slowdown));
      now_ += latency / static_cast<base::Duration::rep>(in_flight);
      limit_.Record(latency, Outcome::kSucceeded, in_flight, now_);
    }
  }

  base::TimePoint now_ = kStart;
  ConcurrencyLimit limit_{200, 0.05};
};

// Guards against a limit that stays at its initial value, or that grows to the announced slots
// although the upstream can work on fewer requests at once.
TEST_F(ConcurrencyLimitTest, FindsTheCapacity) {
  EXPECT_EQ(limit_.limit(), 10U);
  Run(30, 40, milliseconds(10));
  EXPECT_GE(limit_.limit(), 40U);
  EXPECT_LE(limit_.limit(), 80U);
}

// Guards against a limit that falls too slowly after the upstream has lost capacity.
TEST_F(ConcurrencyLimitTest, FollowsLostCapacity) {
  Run(30, 40, milliseconds(10));
  Run(3, 5, milliseconds(10));
  EXPECT_LE(limit_.limit(), 20U);
}

// Guards against a limit that falls to 1 when requests slow down for a reason other than load.
TEST_F(ConcurrencyLimitTest, KeepsLimitWhenFewerRequestsDoNotHelp) {
  Run(30, 40, milliseconds(10));
  Run(20, 1000, milliseconds(100));
  EXPECT_GE(limit_.limit(), 40U);
}

// Guards against ignoring overload refusals because they are answered fast.
TEST_F(ConcurrencyLimitTest, LowersOnRefusals) {
  for (int i = 0; i < 400; ++i) {
    now_ += milliseconds(1);
    limit_.Record(milliseconds(1), i % 4 == 0 ? Outcome::kOverloaded : Outcome::kSucceeded, 10,
                  now_);
  }
  EXPECT_LT(limit_.limit(), 5U);
  EXPECT_GE(limit_.limit(), 1U);
}

class LevelControllerTest : public ::testing::Test {
 protected:
  // Runs one interval with 20 arrivals of each class; the given number of requests finish.
  void RunInterval(int finished, base::Duration wait) {
    std::array<ClassRank, 3> ranks = {1, 2, 3};
    for (const ClassRank rank : ranks) {
      for (std::uint64_t i = 0; i < 20; ++i) {
        controller_.RecordArrival(rank, ShedKey((i * ShedKey::kPositions / 20) << 48U));
      }
    }
    for (int i = 0; i < finished; ++i) {
      controller_.RecordFinish(wait > base::Duration::zero() ? 1 : 0.1);
      controller_.RecordWait(wait);
    }
    now_ += milliseconds(50);
    controller_.Update(base::Duration::zero(), 0, now_);
  }

  base::TimePoint now_ = kStart;
  LevelController controller_{milliseconds(10), milliseconds(50)};
};

// Guards against shedding a class before the less important ones, and against a level that does not
// open again.
TEST_F(LevelControllerTest, ClosesFromBelowAndOpensWithinASecond) {
  RunInterval(30, base::Duration::zero());
  EXPECT_TRUE(controller_.level().is_open());
  for (int i = 0; i < 60; ++i) {
    RunInterval(30, milliseconds(40));
  }
  EXPECT_EQ(controller_.level().rank(), 2U);
  for (int i = 0; i < 20; ++i) {
    RunInterval(30, base::Duration::zero());
  }
  EXPECT_TRUE(controller_.level().is_open());
}

// Guards against a level that closes completely: without requests a gate cannot detect recovery.
TEST_F(LevelControllerTest, NeverClosesWholly) {
  for (int i = 0; i < 400; ++i) {
    RunInterval(1, seconds(1));
  }
  EXPECT_EQ(controller_.level().rank(), 1U);
  EXPECT_GT(controller_.level().share(), 0U);
}

// Guards against one upstream with a wrong report that closes a service, and against a stale level
// that keeps it closed.
TEST(LoadLevelMapTest, MedianHoldsAndDecays) {
  LoadLevelMap levels(milliseconds(300), milliseconds(500));
  const std::vector<std::string> path = {"front", "deep"};
  const ShedKey high(~0ULL);
  EXPECT_TRUE(levels.Admit(path, 3, high, kStart).is_admitted);
  const AdmissionLevel closed(1, 0);
  levels.Report("deep", 1, closed, kStart);
  levels.Report("deep", 2, AdmissionLevel(), kStart);
  levels.Report("deep", 3, AdmissionLevel(), kStart);
  EXPECT_TRUE(levels.Admit(path, 3, high, kStart).is_admitted);
  levels.Report("deep", 2, closed, kStart);
  const PathVerdict verdict = levels.Admit(path, 3, high, kStart + milliseconds(300));
  EXPECT_FALSE(verdict.is_admitted);
  EXPECT_EQ(verdict.service, "deep");
  EXPECT_GT(verdict.retry_after, base::Duration::zero());
  EXPECT_EQ(levels.WorstAlong(path, kStart), closed);
  EXPECT_TRUE(levels.Admit(path, 1, ShedKey(0), kStart + milliseconds(550)).is_admitted);
  EXPECT_TRUE(levels.Admit(path, 3, high, kStart + milliseconds(800)).is_admitted);
  levels.Expire(kStart + milliseconds(800));
  EXPECT_EQ(levels.size(), 0U);
}

}  // namespace
}  // namespace borageloft::admission
