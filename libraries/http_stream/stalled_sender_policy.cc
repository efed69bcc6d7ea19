#include "libraries/http_stream/stalled_sender_policy.h"

#include <algorithm>
#include <utility>

namespace borageloft::http_stream {

namespace {

// Added to the memory of each request, so that connections without any are compared by their time.
constexpr double kConnectionBytes = 1024;

}  // namespace

std::vector<std::uint64_t> SelectStalledSenders(const std::vector<IncompleteRequest>& incomplete,
                                                base::TimePoint now, base::Duration patience) {
  std::vector<std::pair<double, std::uint64_t>> stalled;
  for (const IncompleteRequest& request : incomplete) {
    const base::Duration time = now - request.progressed_at;
    if (time >= patience) {
      const double bytes = static_cast<double>(request.bytes) + kConnectionBytes;
      stalled.emplace_back(-bytes * std::chrono::duration<double>(time).count(),
                           request.connection);
    }
  }
  std::sort(stalled.begin(), stalled.end());
  std::vector<std::uint64_t> selected;
  selected.reserve(stalled.size());
  for (const auto& [weight, connection] : stalled) {
    selected.push_back(connection);
  }
  return selected;
}

}  // namespace borageloft::http_stream
