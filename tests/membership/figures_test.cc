#include <gtest/gtest.h>

#include "tests/membership/measure.h"

namespace borageloft::membership {
namespace {

// Guards against control traffic of a node that grows with the number of nodes. The number of
// upstreams per service is the same in both sizes, so only the size of the deployment differs.
TEST(FiguresTest, NodeTrafficDoesNotGrowWithNodes) {
  const Traffic small = MeasureSteadyTraffic({2, 3, 15, 5, 4}).first;
  const Traffic large = MeasureSteadyTraffic({2, 3, 150, 50, 4}).first;
  EXPECT_LE(static_cast<double>(large.bytes), 1.1 * static_cast<double>(small.bytes));
  EXPECT_LE(large.bytes, 5000U);
}

// Guards against callers that go on sending work to a leaving upstream.
TEST(FiguresTest, LeavingIsKnownWithinTwoSeconds) {
  for (const double loss : {0.0, 0.01}) {
    const std::vector<double> times = MeasureLeaves(loss, 100);
    EXPECT_LE(times[times.size() * 99 / 100], 2000) << "loss " << loss;
  }
}

}  // namespace
}  // namespace borageloft::membership
