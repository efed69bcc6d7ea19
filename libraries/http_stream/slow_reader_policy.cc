#include "libraries/http_stream/slow_reader_policy.h"

#include <algorithm>

namespace borageloft::http_stream {

namespace {

// Added to the time without progress, so that among callers that all read the one with the most
// bytes is chosen. Several round trips: a caller that reads makes progress within it.
constexpr double kReadingSeconds = 0.05;

double CostOf(const UnreadResponses& unread, base::TimePoint now) {
  const double stalled = std::chrono::duration<double>(now - unread.progressed_at).count();
  return static_cast<double>(unread.bytes) * (std::max(0.0, stalled) + kReadingSeconds);
}

}  // namespace

std::optional<std::uint64_t> ChooseSlowReader(const std::vector<UnreadResponses>& unread,
                                              base::TimePoint now) {
  const auto worst = std::max_element(
      unread.begin(), unread.end(), [&](const UnreadResponses& left, const UnreadResponses& right) {
        return CostOf(left, now) < CostOf(right, now);
      });
  if (worst == unread.end() || worst->bytes == 0) {
    return std::nullopt;
  }
  return worst->connection;
}

}  // namespace borageloft::http_stream
