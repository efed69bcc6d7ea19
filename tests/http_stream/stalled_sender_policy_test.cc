#include "libraries/http_stream/stalled_sender_policy.h"

#include <gtest/gtest.h>

namespace borageloft::http_stream {
namespace {

using std::chrono::seconds;

constexpr std::size_t kKibibyte = 1024;

// Guards against callers that are closed though they go on sending, and against many small requests
// that are closed in place of the few that hold the memory.
TEST(StalledSenderPolicyTest, SelectsThoseThatHoldMuchForLong) {
  const base::TimePoint now{seconds(100)};
  const std::vector<IncompleteRequest> incomplete = {
      {1, 900 * kKibibyte, now - seconds(1)},  // Goes on sending.
      {2, 1 * kKibibyte, now - seconds(9)},    // Small, and old.
      {3, 300 * kKibibyte, now - seconds(3)},  // Long, and stalled.
      {4, 0, now - seconds(8)},                // Has sent nothing.
  };
  EXPECT_EQ(SelectStalledSenders(incomplete, now, seconds(2)),
            (std::vector<std::uint64_t>{3, 2, 4}));
  EXPECT_TRUE(SelectStalledSenders(incomplete, now, seconds(10)).empty());
  EXPECT_TRUE(SelectStalledSenders({}, now, seconds(0)).empty());
}

}  // namespace
}  // namespace borageloft::http_stream
