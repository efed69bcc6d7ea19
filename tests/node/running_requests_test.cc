#include "libraries/node/running_requests.h"

#include <gtest/gtest.h>

#include <atomic>
#include <random>
#include <thread>
#include <vector>

namespace borageloft::node {
namespace {

// Guards R1: all calls of one root together never get more than its request was granted, whatever
// part of it they return or lose, and on any number of threads.
TEST(RunningRequestsTest, CallsNeverGetMoreThanTheAllowance) {
  constexpr std::uint32_t kGranted = 20;
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    RunningRequests requests;
    const auto request = requests.Begin("root", 1, kGranted);
    std::atomic<std::uint32_t> spent = 0;
    std::vector<std::jthread> calls;
    for (std::uint32_t thread = 0; thread < 4; ++thread) {
      calls.emplace_back([&, thread] {
        std::mt19937 random(seed * 100 + thread);
        for (int i = 0; i < 50; ++i) {
          const ChildLoan loan = requests.Lend("root", 1, 1 + random() % 3);
          const std::uint32_t used = loan.loan.amount == 0 ? 0 : random() % (loan.loan.amount + 1);
          spent += used;
          const bool is_lost = random() % 4 == 0;
          requests.Settle(loan, is_lost ? std::nullopt : std::optional(loan.loan.amount - used), {},
                          is_lost ? CallEnd::kFailed : CallEnd::kWhole);
        }
      });
    }
    calls.clear();
    EXPECT_LE(spent + requests.End("root", 1, request), kGranted) << "seed " << seed;
  }
}

// Guards R1: a call that names a root or depth that does not run here gets no extra attempts.
TEST(RunningRequestsTest, UnknownRootGetsNothing) {
  RunningRequests requests;
  const auto request = requests.Begin("root", 1, 5);
  for (const ChildLoan& loan : {requests.Lend("other", 1, 1), requests.Lend("root", 2, 1)}) {
    EXPECT_EQ(loan.request, nullptr);
    EXPECT_EQ(loan.loan.amount, 0U);
    requests.Settle(loan, 0, {}, CallEnd::kWhole);
  }
  EXPECT_EQ(requests.End("root", 1, request), 5U);
}

// Guards R1: what a call still holds when its request ends counts as spent and stays so.
TEST(RunningRequestsTest, LoanThatOutlivesItsRequestIsSpent) {
  RunningRequests requests;
  const auto request = requests.Begin("root", 0, 4);
  const ChildLoan loan = requests.Lend("root", 0, 2);
  EXPECT_EQ(loan.loan.amount, 2U);
  EXPECT_EQ(requests.End("root", 0, request), 2U);
  requests.Settle(loan, 2, {}, CallEnd::kWhole);
  EXPECT_EQ(request->allowance.unspent(), 0U);
}

// Guards against a loan of nothing whose time or settlement is mixed up with another request.
TEST(RunningRequestsTest, TimeCountsForTheLendingRequest) {
  RunningRequests requests;
  const auto request = requests.Begin("root", 0, 0);
  const auto other = requests.Begin("root", 1, 0);
  requests.Settle(requests.Lend("root", 0, 1), 0, std::chrono::seconds(1), CallEnd::kWhole);
  EXPECT_EQ(requests.DownstreamTime(*request), std::chrono::seconds(1));
  EXPECT_EQ(requests.DownstreamTime(*other), std::chrono::seconds(0));
}

// Guards R1: a hop above must not retry for a failure that a hop below has seen, or retries
// multiply along the chain.
TEST(RunningRequestsTest, FailedCallIsKeptWithItsRequest) {
  RunningRequests requests;
  const auto request = requests.Begin("root", 0, 0);
  const auto other = requests.Begin("root", 1, 0);
  requests.Settle(requests.Lend("root", 0, 1), 0, {}, CallEnd::kFailed);
  requests.Settle(requests.Lend("root", 0, 1), 0, {}, CallEnd::kWhole);
  EXPECT_TRUE(requests.HasFailedCall(*request));
  EXPECT_FALSE(requests.HasFailedCall(*other));
}

}  // namespace
}  // namespace borageloft::node
