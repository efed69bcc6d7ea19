#include "libraries/retry/retry.h"

#include <gtest/gtest.h>

#include <functional>

namespace borageloft::retry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::TimePoint kStart{seconds(1000)};

// Guards against retries that multiply at each hop of a deep call tree, also when answers are lost
// or report more than was lent.
TEST(RetryAllowanceTest, RandomCallTreesStayWithinTheAllowance) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    const base::Random random = base::SeededRandom(seed);
    const auto granted = static_cast<std::uint32_t>(base::DrawBelow(random, 20));
    std::uint64_t extra = 0;
    std::uint64_t calls = 0;
    // Returns what the call reports as unspent.
    std::function<std::uint32_t(std::uint32_t, int)> call = [&](std::uint32_t given, int depth) {
      RetryAllowance allowance(given);
      const auto children = static_cast<std::uint32_t>(base::DrawBelow(random, 6));
      for (std::uint32_t i = 0; depth < 25 && i < children && ++calls < 5000; ++i) {
        do {
          const AllowanceLoan loan = allowance.Lend(allowance.PartForNextOf(children - i));
          const std::uint32_t unspent = call(loan.amount, depth + 1);
          switch (base::DrawBelow(random, 4)) {
            case 0:
              allowance.SettleLost(loan.id);
              break;
            case 1:
              EXPECT_FALSE(allowance.SettleAnswered(loan.id, loan.amount + 1));
              break;
            default:
              EXPECT_TRUE(allowance.SettleAnswered(loan.id, unspent));
          }
        } while (base::DrawBelow(random, 2) == 0 && allowance.TrySpend() && ++extra > 0);
      }
      return allowance.Close();
    };
    const std::uint32_t unspent = call(granted, 0);
    ASSERT_LE(extra + unspent, granted) << "seed " << seed;
  }
}

// Guards against a loan that is settled twice and returns its extra attempts twice.
TEST(RetryAllowanceTest, LoanSettlesOnce) {
  RetryAllowance allowance(3);
  const AllowanceLoan loan = allowance.Lend(2);
  EXPECT_TRUE(allowance.SettleAnswered(loan.id, 2));
  EXPECT_THROW(allowance.SettleAnswered(loan.id, 2), RetryError);
  EXPECT_THROW(allowance.SettleLost(loan.id), RetryError);
  EXPECT_EQ(allowance.unspent(), 3U);
}

// Guards against a service that is down being retried at the rate of first attempts.
TEST(RetryBudgetTest, IsAShareOfRecentSuccesses) {
  RetryBudget budget(0.1, 1);
  EXPECT_TRUE(budget.TryTake(kStart));
  EXPECT_FALSE(budget.TryTake(kStart));
  for (int i = 0; i < 50; ++i) {
    budget.RecordSuccess(kStart + seconds(1));
  }
  int taken = 0;
  while (budget.TryTake(kStart + seconds(2))) {
    ++taken;
  }
  EXPECT_EQ(taken, 5);
  EXPECT_EQ(budget.taken(kStart + seconds(2)), 6U);
  EXPECT_TRUE(budget.TryTake(kStart + seconds(60)));
  EXPECT_FALSE(budget.TryTake(kStart + seconds(60)));
}

// Guards against a retry that cannot finish before the deadline, and against pauses without jitter.
TEST(BackoffPolicyTest, JittersWithinTheDeadline) {
  const BackoffPolicy backoff(milliseconds(10), milliseconds(80), base::SeededRandom(1));
  base::Duration shortest = seconds(1);
  base::Duration longest{};
  for (int i = 0; i < 1000; ++i) {
    const auto pause = backoff.Pause(9, milliseconds(5), milliseconds(100), milliseconds(10));
    ASSERT_TRUE(pause);
    shortest = std::min(shortest, *pause);
    longest = std::max(longest, *pause);
  }
  EXPECT_GE(shortest, milliseconds(5));
  EXPECT_LT(shortest, milliseconds(10));
  EXPECT_GT(longest, milliseconds(75));
  EXPECT_LE(longest, milliseconds(85));
  EXPECT_FALSE(backoff.Pause(1, milliseconds(95), milliseconds(100), milliseconds(10)));
}

class RetryPolicyTest : public ::testing::Test {
 protected:
  static FailedAttempt ConnectionLost() {
    FailedAttempt failed;
    failed.failure = Failure::kConnectionLost;
    failed.is_idempotent = true;
    failed.remaining = seconds(1);
    failed.needed = milliseconds(10);
    return failed;
  }

  RetryVerdict Decide(const FailedAttempt& failed) {
    return policy_.Decide(failed, allowance_, budget_, kStart).verdict;
  }

  RetryPolicy policy_{BackoffPolicy(milliseconds(10), milliseconds(80), base::SeededRandom(1))};
  RetryAllowance allowance_{2};
  RetryBudget budget_{0.1, 2};
};

// Guards against a second execution of a request that is not idempotent.
TEST_F(RetryPolicyTest, NeverRepeatsWhatMayHaveRun) {
  FailedAttempt failed = ConnectionLost();
  failed.is_idempotent = false;
  EXPECT_EQ(Decide(failed), RetryVerdict::kMayHaveReached);
  EXPECT_EQ(policy_.DecideHedge(false, false, allowance_, budget_, kStart),
            RetryVerdict::kNotIdempotent);
  failed.reach = Reach::kNotReached;
  EXPECT_EQ(Decide(failed), RetryVerdict::kRetry);
}

// Guards against retries that add to an overload, multiply at each hop or cannot succeed.
TEST_F(RetryPolicyTest, NamesEachReasonNotToRetry) {
  FailedAttempt failed = ConnectionLost();
  failed.is_next_to_failure = false;
  EXPECT_EQ(Decide(failed), RetryVerdict::kNotNextHop);
  failed = ConnectionLost();
  failed.failure = Failure::kOverload;
  EXPECT_EQ(Decide(failed), RetryVerdict::kServiceSheds);
  failed = ConnectionLost();
  failed.is_service_shedding = true;
  EXPECT_EQ(Decide(failed), RetryVerdict::kServiceSheds);
  EXPECT_EQ(policy_.DecideHedge(true, true, allowance_, budget_, kStart),
            RetryVerdict::kServiceSheds);
  failed = ConnectionLost();
  failed.remaining = milliseconds(9);
  EXPECT_EQ(Decide(failed), RetryVerdict::kDeadline);
  failed = ConnectionLost();
  failed.failure = Failure::kRejected;
  EXPECT_EQ(Decide(failed), RetryVerdict::kRejected);
  EXPECT_EQ(allowance_.unspent(), 2U);
  EXPECT_EQ(budget_.taken(kStart), 0U);
}

// Guards against an allowance or a budget that is spent without the other.
TEST_F(RetryPolicyTest, TakesFromAllowanceAndBudgetTogether) {
  RetryBudget empty(0.1, 0);
  EXPECT_EQ(policy_.Decide(ConnectionLost(), allowance_, empty, kStart).verdict,
            RetryVerdict::kBudget);
  EXPECT_EQ(allowance_.unspent(), 2U);
  RetryAllowance none(0);
  EXPECT_EQ(policy_.Decide(ConnectionLost(), none, budget_, kStart).verdict,
            RetryVerdict::kAllowance);
  EXPECT_EQ(budget_.taken(kStart), 0U);
  FailedAttempt failed = ConnectionLost();
  failed.has_zone_failed = true;
  EXPECT_EQ(policy_.Decide(failed, allowance_, budget_, kStart).placement, Placement::kOtherZone);
  EXPECT_EQ(allowance_.unspent(), 1U);
  EXPECT_EQ(budget_.taken(kStart), 1U);
}

// Guards against a request that gets the answer to a request with other content, and against
// waiters that are lost.
TEST(JoinTableTest, JoinsOnlyTheSameRequest) {
  JoinTable table(2, 1);
  const JoinKey key{"archivo", "root", "a"};
  EXPECT_EQ(table.Join(key, WaiterId{1}), JoinVerdict::kLead);
  EXPECT_EQ(table.Join(key, WaiterId{2}), JoinVerdict::kJoined);
  EXPECT_EQ(table.Join(key, WaiterId{3}), JoinVerdict::kAlone);
  EXPECT_EQ(table.Join({"archivo", "root", "b"}, WaiterId{4}), JoinVerdict::kLead);
  EXPECT_EQ(table.Join({"archivo", "other", "a"}, WaiterId{5}), JoinVerdict::kAlone);
  EXPECT_THROW(table.Complete(key, WaiterId{2}), RetryError);
  EXPECT_EQ(table.Complete(key, WaiterId{1}), std::vector<WaiterId>{WaiterId{2}});
  EXPECT_EQ(table.Join(key, WaiterId{6}), JoinVerdict::kLead);
  EXPECT_EQ(table.Join(key, WaiterId{7}), JoinVerdict::kJoined);
  EXPECT_TRUE(table.Leave(key, WaiterId{7}));
  EXPECT_FALSE(table.Leave(key, WaiterId{6}));
  EXPECT_TRUE(table.Complete(key, WaiterId{6}).empty());
}

// Guards against a caller whose repeats displace first attempts, its own included.
TEST(AttemptLimiterTest, RefusesRepeatsButNeverFirstAttempts) {
  AttemptLimiter limiter(AttemptLimits{});
  int repeats = 0;
  for (std::uint64_t request = 0; request < 100; ++request) {
    EXPECT_EQ(limiter.Offer(1, request, kStart).verdict, AttemptVerdict::kFirst);
    for (int i = 0; i < 10; ++i) {
      repeats += limiter.Offer(1, request, kStart).verdict == AttemptVerdict::kRepeatAdmitted;
    }
  }
  EXPECT_LE(repeats, 13);
  EXPECT_EQ(limiter.Offer(2, 99, kStart).verdict, AttemptVerdict::kFirst);
  limiter.RecordSuccess(1, 99);
  EXPECT_EQ(limiter.Offer(1, 99, kStart).verdict, AttemptVerdict::kFirst);
  EXPECT_EQ(limiter.Offer(1, 98, kStart + seconds(11)).verdict, AttemptVerdict::kFirst);
}

// Guards against memory use that grows with the number of callers.
TEST(AttemptLimiterTest, ForgetsTheLeastRecentCaller) {
  AttemptLimits limits;
  limits.max_callers = 2;
  AttemptLimiter limiter(limits);
  limiter.Offer(1, 1, kStart);
  limiter.Offer(2, 1, kStart);
  limiter.Offer(1, 1, kStart);
  limiter.Offer(3, 1, kStart);
  EXPECT_EQ(limiter.size(), 2U);
  EXPECT_EQ(limiter.Offer(2, 1, kStart).verdict, AttemptVerdict::kFirst);
}

}  // namespace
}  // namespace borageloft::retry
