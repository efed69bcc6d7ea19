#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "libraries/metrics/metrics.h"

namespace borageloft::metrics {
namespace {

using ::testing::HasSubstr;

// Guards the metric names and labels that alerts of operators refer to.
TEST(NodeMetricsTest, CollectsCountsAndGauges) {
  NodeMetrics metrics;
  metrics.CountEntry("claims", "ran", std::chrono::milliseconds(3));
  metrics.CountAdmitted("claims", std::chrono::milliseconds(1));
  metrics.CountShed("browse", "queue_full");
  metrics.CountRetry("parts-bin");
  metrics.CountRefusedRetry("parts-bin", "budget");
  NodeGauges gauges;
  gauges.note_number = 7;
  const std::string text = metrics.Collect(gauges);
  EXPECT_THAT(text, HasSubstr("borageloft_requests_total{class=\"claims\",outcome=\"ran\"} 1"));
  EXPECT_THAT(text, HasSubstr("borageloft_request_seconds_count{class=\"claims\"} 1"));
  EXPECT_THAT(text, HasSubstr("borageloft_admitted_total{class=\"claims\"} 1"));
  EXPECT_THAT(text, HasSubstr("borageloft_shed_total{class=\"browse\",reason=\"queue_full\"} 1"));
  EXPECT_THAT(text, HasSubstr("borageloft_retries_total{service=\"parts-bin\"} 1"));
  EXPECT_THAT(text, HasSubstr("reason=\"budget\""));
  EXPECT_THAT(text, HasSubstr("borageloft_node{value=\"note_number\"} 7"));
}

}  // namespace
}  // namespace borageloft::metrics
