#include <gtest/gtest.h>

#include <map>
#include <random>

#include "libraries/admission/admission.h"

namespace borageloft::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Served {
  std::size_t asked = 0;
  std::size_t admitted = 0;
  double Share() const { return static_cast<double>(admitted) / static_cast<double>(asked); }
};

/** Plays accounts with the given requests per second at one node, of which a level admits a share.
 */
std::map<std::string, Served> Play(const std::map<std::string, int>& rates, double share) {
  FairShare fair_share;
  std::mt19937_64 random(4);
  base::TimePoint now{seconds(10)};
  std::map<std::string, Served> served;
  const AdmissionLevel level(1, static_cast<std::uint32_t>(share * ShedKey::kPositions));
  for (int step = 0; step < 3000; ++step) {
    now += milliseconds(10);
    for (const auto& [name, rate] : rates) {
      if (static_cast<int>(random() % 100) < rate) {
        fair_share.RecordArrival(name, now);
        const std::uint64_t key = fair_share.KeyOf(name, random(), now);
        if (step >= 1000) {
          ++served[name].asked;
          served[name].admitted += level.Admits(1, ShedKey(key)) ? 1 : 0;
        }
      }
    }
  }
  return served;
}

// Load: one account asks for ten times as much as each of five others, and half of the requests
// must be shed. Guards against shedding all accounts alike: the small ones would lose half of
// theirs to the large one.
TEST(FairShareTest, AnAccountThatAsksForLittleIsServedFirst) {
  const auto served = Play({{"hot", 50}, {"a", 5}, {"b", 5}, {"c", 5}, {"d", 5}, {"e", 5}}, 0.5);
  std::size_t asked = 0;
  std::size_t admitted = 0;
  for (const auto& [name, account] : served) {
    asked += account.asked;
    admitted += account.admitted;
    if (name != "hot") {
      EXPECT_GE(account.Share(), 0.95) << name;
    }
  }
  EXPECT_NEAR(static_cast<double>(admitted) / static_cast<double>(asked), 0.5, 0.05);
}

// Guards against a division that gives a large account less than a small one.
TEST(FairShareTest, NoAccountGetsLessThanOneThatAsksForLess) {
  const auto served = Play({{"hot", 80}, {"a", 20}, {"b", 10}}, 0.3);
  EXPECT_GE(served.at("hot").admitted + 20, served.at("a").admitted);
  EXPECT_GE(served.at("a").admitted + 20, served.at("b").admitted);
}

// Guards against a node that sees a few requests of an account that is large at other nodes.
TEST(FairShareTest, ReportedDemandReplacesWhatTheNodeSees) {
  FairShare fair_share;
  const base::TimePoint now{seconds(10)};
  fair_share.RecordArrival("hot", now);
  fair_share.RecordArrival("a", now);
  fair_share.ReportDemand("hot", 900, now);
  fair_share.ReportDemand("a", 100, now);
  constexpr std::uint64_t kHalf = std::uint64_t{1} << 63U;
  // "hot" stands at 450, above all of "a": (450 + 100) of 1000.
  EXPECT_NEAR(static_cast<double>(fair_share.KeyOf("hot", kHalf, now)) / 18446744073709551616.0,
              0.55, 0.01);
  EXPECT_NEAR(static_cast<double>(fair_share.KeyOf("a", kHalf, now)) / 18446744073709551616.0, 0.1,
              0.01);
}

}  // namespace
}  // namespace borageloft::admission
