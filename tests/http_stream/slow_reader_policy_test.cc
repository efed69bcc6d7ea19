#include <gtest/gtest.h>

#include "libraries/http_stream/http_stream.h"

namespace borageloft::http_stream {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Load: callers that read slowly hold the memory for responses. Guards against closing a caller
// that reads a long response as fast as it can.
TEST(SlowReaderPolicyTest, ClosesWhoHoldsMostForLongest) {
  const base::TimePoint now{seconds(100)};
  const std::vector<UnreadResponses> unread = {{1, 8'000'000, now - milliseconds(5)},
                                               {2, 1'000'000, now - seconds(3)},
                                               {3, 900'000, now - seconds(4)}};
  EXPECT_EQ(ChooseSlowReader(unread, now), 3U);
  EXPECT_EQ(ChooseSlowReader({unread[0], unread[1]}, now), 2U);
}

TEST(SlowReaderPolicyTest, ClosesNobodyWhoHoldsNothing) {
  const base::TimePoint now{seconds(100)};
  EXPECT_EQ(ChooseSlowReader({{1, 0, now - seconds(9)}}, now), std::nullopt);
  EXPECT_EQ(ChooseSlowReader({}, now), std::nullopt);
}

}  // namespace
}  // namespace borageloft::http_stream
