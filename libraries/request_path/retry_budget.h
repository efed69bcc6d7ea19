#ifndef BORAGELOFT_REQUEST_PATH_RETRY_BUDGET_H_
#define BORAGELOFT_REQUEST_PATH_RETRY_BUDGET_H_

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "libraries/base/base.h"
#include "libraries/request_path/root_position.h"

namespace borageloft::request_path {

/** Load that a retry adds. */
enum class RetryKind {
  kOneArrival,    // One arrival: the upstream rejected the last attempt, or makes no calls.
  kRepeatsCalls,  // The request may have run; a retry makes its calls again at all services below.
};

/** Limits on the retries to one service, over all nodes. */
struct RetryBudgetOptions {
  /** Retries allowed per request, over all nodes. */
  double ratio = 0.2;
  /** Retries allowed in a window in addition to the ratio, over all nodes. */
  double minimum = 50;
  /** Length of the sliding window. */
  base::Duration window = std::chrono::seconds(10);
};

/**
 * This node's part of a retry budget that all nodes share. The part is the ratio of the node's own
 * requests plus an equal part of the minimum. The sum over all nodes thus stays within the budget
 * while nodes join and leave, without messages between them.
 *
 * A root request whose calls are rejected at several services needs several retries; if one of them
 * is denied, the others are wasted. When more retries are requested than the budget allows, they
 * therefore go to the most important roots, and within a priority to those with the lowest keys,
 * which are the same roots at every node. Not thread-safe.
 */
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options) : options_(options) {}

  /** Sets the number of nodes that share the minimum; 0 counts as 1. */
  void set_nodes(std::size_t nodes) { nodes_ = nodes == 0 ? 1 : nodes; }

  /** Counts a request for @p service that does not belong to a retry; it adds to the budget. */
  void RecordRequest(const std::string& service, base::TimePoint now);

  /** @return Whether a request for @p service may be retried; if so, the retry is counted. */
  bool TakeRetry(const std::string& service, RetryKind kind, const RootPosition& root,
                 base::TimePoint now);

 private:
  static constexpr std::size_t kBuckets = 10;
  // The budget also counts the requests of the window that ended half a window ago: when calls to a
  // service drop because it fails early, the budget does not shrink at once.
  static constexpr std::size_t kEarlierBuckets = kBuckets / 2;

  // Number of distinct priorities; less important ones count as the last of these.
  static constexpr std::uint32_t kPriorities = 8;
  static constexpr std::uint32_t kOpenLevel = kPriorities * admission::ShedKey::kPositions;

  struct Window {
    std::array<std::uint32_t, kBuckets + kEarlierBuckets> requests{};
    // One bucket more than the window has, so that a retry counts until it has left every window
    // that ends now.
    std::array<std::uint32_t, kBuckets + 1> rejected{};
    std::array<std::uint32_t, kBuckets + 1> may_have_run{};
    std::int64_t bucket = 0;
    std::uint32_t level = kOpenLevel;  // Roots at positions below it may retry after a rejection.
    base::TimePoint level_updated_at{};
    std::uint32_t taken_in_interval = 0;    // Retries after a rejection since `level_updated_at`.
    std::uint32_t highest_in_interval = 0;  // Highest position of those retries.
    double mean_taken = 0;                  // Moving average of those retries per interval.
  };

  // Shares of the budget. A retried run makes its calls again, and each of them counts as a retry
  // at the called service; the share left unassigned is for those. Part of the budget is reserved
  // for the most important roots, since the level takes some time to close.
  static constexpr double kRejectedShare = 0.4;
  static constexpr double kImportantRejectedShare = 0.65;
  static constexpr double kMayHaveRunShare = 0.12;

  static std::uint32_t PositionOf(const RootPosition& root);
  void Advance(Window& window, base::TimePoint now) const;
  double Budget(const Window& window) const;
  void AdjustLevel(Window& window, double limit, base::TimePoint now) const;

  RetryBudgetOptions options_;
  std::size_t nodes_ = 1;
  std::unordered_map<std::string, Window> windows_;
};

}  // namespace borageloft::request_path

#endif  // BORAGELOFT_REQUEST_PATH_RETRY_BUDGET_H_
