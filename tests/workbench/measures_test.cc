#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>

#include "libraries/workbench/workbench.h"

namespace borageloft::workbench {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against percentiles that are below the true value or more than a bucket above it.
TEST(LatencyHistogramTest, PercentilesStayWithinBucketWidth) {
  LatencyHistogram histogram;
  for (int i = 1; i <= 100'000; ++i) {
    histogram.Add(microseconds(i));
  }
  for (const double share : {0.01, 0.5, 0.9, 0.99, 0.999}) {
    const double exact = share * 100'000;
    const double measured = static_cast<double>(histogram.Percentile(share) / microseconds(1));
    EXPECT_GE(measured, exact) << share;
    EXPECT_LE(measured, exact * 1.032 + 1) << share;
  }
  EXPECT_EQ(histogram.Percentile(1.0), microseconds(100'000));
  EXPECT_EQ(LatencyHistogram().Percentile(0.99), base::Duration::zero());
}

// Guards against an index outside the table for extreme latencies.
TEST(LatencyHistogramTest, TakesExtremesAndMerges) {
  LatencyHistogram low;
  LatencyHistogram high;
  low.Add(milliseconds(-5));
  high.Add(base::Duration::max());
  low.Merge(high);
  EXPECT_EQ(low.count(), 2U);
  EXPECT_EQ(low.Percentile(0.5), base::Duration::zero());
  EXPECT_EQ(low.Percentile(1.0), low.maximum());
}

GoodputSeries MakeSeries(int length_ms, const std::function<bool(int ms)>& is_good) {
  GoodputSeries series;
  for (int ms = 0; ms < length_ms; ++ms) {
    series.Add(milliseconds(ms), is_good(ms));
  }
  return series;
}

constexpr TriggerWindow kTrigger{milliseconds(1000), milliseconds(2000)};

// Guards against a recovery time that is measured from the wrong moment.
TEST(GoodputSeriesTest, RecoversWhenGoodputReturns) {
  const auto series = MakeSeries(4000, [](int ms) { return ms < 1000 || ms >= 2400; });
  const auto recovery = series.RecoveryTime(kTrigger, milliseconds(250), 0.95);
  ASSERT_TRUE(recovery.has_value());
  // A window may hold up to 5% of the bad time, 12 requests, so one bin of 10.
  EXPECT_EQ(*recovery, milliseconds(390));
}

// Guards against a short good spell that is taken for recovery.
TEST(GoodputSeriesTest, RelapseDelaysRecovery) {
  const auto series =
      MakeSeries(4000, [](int ms) { return ms < 1000 || (ms >= 2100 && ms < 3000) || ms >= 3100; });
  EXPECT_EQ(series.RecoveryTime(kTrigger, milliseconds(250), 0.95), milliseconds(1090));
}

// Guards against a run that never recovers being reported as recovered, and the reverse.
TEST(GoodputSeriesTest, TellsNeverFromAtOnce) {
  const auto never = MakeSeries(4000, [](int ms) { return ms < 1000; });
  const auto at_once = MakeSeries(4000, [](int ms) { return ms < 1000 || ms >= 2000; });
  const auto cut = MakeSeries(2100, [](int) { return true; });
  EXPECT_FALSE(never.RecoveryTime(kTrigger, milliseconds(250), 0.95).has_value());
  EXPECT_EQ(at_once.RecoveryTime(kTrigger, milliseconds(250), 0.95), base::Duration::zero());
  EXPECT_FALSE(cut.RecoveryTime(kTrigger, milliseconds(250), 0.95).has_value());
}

// Guards against randomness of the arrivals that counts as lost goodput.
TEST(GoodputSeriesTest, ThinArrivalsAreNotALoss) {
  GoodputSeries series;
  for (int ms = 0; ms < 4000; ms += ms < 2000 ? 1 : 2) {
    series.Add(milliseconds(ms), ms < 1000 || ms >= 2000);
  }
  EXPECT_EQ(series.RecoveryTime(kTrigger, milliseconds(250), 0.95), base::Duration::zero());
}

LoadOptions MakeOptions() {
  LoadOptions options;
  options.targets = {Address{}};
  options.kinds = {{.label = "browse", .weight = 3}, {.label = "claim", .weight = 1}};
  options.rate_per_second = 1000;
  options.duration = seconds(4);
  return options;
}

std::vector<Arrival> DrawAll(const LoadOptions& options) {
  ArrivalSchedule schedule(options);
  std::vector<Arrival> arrivals;
  while (const auto arrival = schedule.Next()) {
    arrivals.push_back(*arrival);
  }
  return arrivals;
}

// Guards against runs that cannot be repeated from their seed.
TEST(ArrivalScheduleTest, SeedDecidesArrivals) {
  LoadOptions options = MakeOptions();
  const auto first = DrawAll(options);
  const auto again = DrawAll(options);
  options.seed = 2;
  const auto other = DrawAll(options);
  ASSERT_EQ(first.size(), again.size());
  EXPECT_TRUE(std::equal(
      first.begin(), first.end(), again.begin(),
      [](const auto& a, const auto& b) { return a.intended == b.intended && a.kind == b.kind; }));
  EXPECT_NE(first.front().intended, other.front().intended);
}

// Guards against a wrong rate or mix: five standard deviations of 4,000 Poisson arrivals.
TEST(ArrivalScheduleTest, PoissonKeepsRateAndMix) {
  const auto arrivals = DrawAll(MakeOptions());
  EXPECT_NEAR(static_cast<double>(arrivals.size()), 4000, 5 * 63.2);
  const auto claims = std::count_if(arrivals.begin(), arrivals.end(),
                                    [](const Arrival& arrival) { return arrival.kind == 1; });
  EXPECT_NEAR(static_cast<double>(claims) / static_cast<double>(arrivals.size()), 0.25, 0.035);
}

// Guards against a surge that begins or ends at the wrong time.
TEST(ArrivalScheduleTest, SurgeMultipliesRateInsideTrigger) {
  LoadOptions options = MakeOptions();
  options.arrivals = ArrivalProcess::kUniform;
  options.trigger = TriggerWindow{seconds(1), seconds(2)};
  options.surge_multiplier = 5;
  const auto arrivals = DrawAll(options);
  const auto during = std::count_if(arrivals.begin(), arrivals.end(), [](const Arrival& arrival) {
    return arrival.intended >= seconds(1) && arrival.intended < seconds(2);
  });
  EXPECT_NEAR(static_cast<double>(during), 5000, 1);
  EXPECT_NEAR(static_cast<double>(arrivals.size()), 8000, 2);
}

// Guards against a rate that changes only at the next arrival, which delays the start of a surge.
TEST(ArrivalScheduleTest, SurgeShortensGapInProgress) {
  LoadOptions options = MakeOptions();
  options.arrivals = ArrivalProcess::kUniform;
  options.rate_per_second = 10;
  options.trigger = TriggerWindow{milliseconds(250), milliseconds(500)};
  options.surge_multiplier = 4;
  const auto arrivals = DrawAll(options);
  // Half of the gap after 0.2 s passes at 10/s, the other half at 40/s.
  EXPECT_NEAR(std::chrono::duration<double>(arrivals.at(2).intended).count(), 0.2625, 1e-6);
}

// Guards against a run that exceeds its request limit.
TEST(ArrivalScheduleTest, EndsAtRequestLimit) {
  LoadOptions options = MakeOptions();
  options.most_requests = 7;
  EXPECT_EQ(DrawAll(options).size(), 7U);
}

// Guards against an answer that is cut, altered or swapped and still counted as whole.
TEST(AnswerTest, OnlyOwnCompleteAnswerIsWhole) {
  const std::string answer = BuildAnswer("parts", "run-1", 64);
  EXPECT_EQ(CheckAnswer(answer, "parts", "run-1"), AnswerCheck::kWhole);
  EXPECT_EQ(CheckAnswer(answer, "", "run-1"), AnswerCheck::kWhole);
  EXPECT_EQ(CheckAnswer(answer, "parts", "run-2"), AnswerCheck::kForeign);
  EXPECT_EQ(CheckAnswer(answer, "other", "run-1"), AnswerCheck::kForeign);
  for (std::size_t length = 0; length < answer.size(); ++length) {
    EXPECT_EQ(CheckAnswer(answer.substr(0, length), "parts", "run-1"), AnswerCheck::kDamaged);
  }
  std::string swapped = answer;
  swapped.replace(swapped.find("run-1"), 5, "run-2");
  EXPECT_EQ(CheckAnswer(swapped, "parts", "run-2"), AnswerCheck::kDamaged);
  EXPECT_EQ(CheckAnswer("[]", "", ""), AnswerCheck::kDamaged);
}

// Guards against keys that a checking entry refuses.
TEST(IdempotencyKeySourceTest, MakesUuidVersion7) {
  const base::WallTime time{milliseconds(0x0123'4567'89ab)};
  IdempotencyKeySource keys([time] { return time; }, base::SeededRandom(1));
  const std::string key = keys.Next();
  EXPECT_THAT(key,
              ::testing::MatchesRegex("01234567-89ab-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}"));
  EXPECT_NE(keys.Next(), key);
}

// Guards against addresses that are silently misread.
TEST(AddressTest, ParsesAndRefuses) {
  EXPECT_EQ(Address::Parse("127.0.0.1:80").port, 80);
  for (const char* text : {"", "host", ":1", "h:", "h:x", "h:70000", "h:-1", "h:1 "}) {
    EXPECT_THROW(Address::Parse(text), Error) << text;
  }
}

// Guards against a report that puts requests into the wrong phase or loses an outcome.
TEST(LoadReportTest, SortsRequestsIntoPhases) {
  LoadOptions options = MakeOptions();
  options.trigger = TriggerWindow{seconds(1), seconds(2)};
  LoadReport report(options);
  report.Add(0, {.intended = milliseconds(500),
                 .latency = milliseconds(3),
                 .is_whole = true,
                 .status = 200,
                 .outcome = RequestOutcome::kRan,
                 .attempts = 1});
  report.Add(0,
             {.intended = milliseconds(1500), .status = 503, .outcome = RequestOutcome::kNotRun});
  report.Add(1, {.intended = milliseconds(2500), .is_whole = true, .is_late = true, .status = 200});
  LoadReport total(options);
  total.Merge(report);
  EXPECT_EQ(total.counts(0, Phase::kBefore).good, 1U);
  EXPECT_EQ(total.counts(0, Phase::kDuring).not_run, 1U);
  EXPECT_EQ(total.counts(1, Phase::kAfter).late, 1U);
  EXPECT_EQ(total.Total().offered, 3U);
  const Json::Value json = total.ToJson();
  EXPECT_EQ(json["kinds"][0]["during"]["statuses"]["503"].asInt(), 1);
  EXPECT_EQ(json["kinds"][0]["before"]["goodput_per_second"], 1.0);
  EXPECT_TRUE(json["recovery_ms"].isNull());
  EXPECT_NE(total.ToTable().find("claim"), std::string::npos);
  EXPECT_EQ(total.ToJsonLine().find('\n'), std::string::npos);
}

}  // namespace
}  // namespace borageloft::workbench
