#ifndef BORAGELOFT_REQUEST_PATH_RETRY_BUDGET_H_
#define BORAGELOFT_REQUEST_PATH_RETRY_BUDGET_H_

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "libraries/admission/admission.h"
#include "libraries/base/base.h"

namespace borageloft::request_path {

/** What a repeat adds to the arrivals at all services. */
enum class RepeatKind {
  kOneArrival,  // One more: the upstream rejected the attempt before, or makes no calls.
  kRunsAgain,   // It may have run, and a repeat makes its calls again, at every service below.
};

/** The root request that a repeat is for. */
struct RepeatRoot {
  /** 0 is the most important. */
  std::uint32_t priority = 0;
  /** Position of the root within its priority, the same at every node. */
  admission::ShedKey key;
};

/** Bounds on repeated sends to one service, over all nodes. */
struct RetryBudgetOptions {
  /** Repeats allowed for each request, over all nodes. */
  double ratio = 0.2;
  /** Repeats allowed in a window beside the ratio, over all nodes. */
  double minimum = 50;
  /** Length of the sliding window. */
  base::Duration window = std::chrono::seconds(10);
};

/**
 * This node's share of a retry budget that all nodes share. Each node earns by its own requests and
 * takes an equal part of the minimum, so the sum of all shares stays within the budget while nodes
 * come and go, without a message between them.
 *
 * A root whose calls are rejected at several places needs several repeats, and all but the last of
 * them are wasted if one is missing. When more repeats are wanted than the budget allows, they
 * therefore go to the most important roots, and within a priority to those with the lowest keys,
 * which are the same roots at every node. Not thread-safe.
 */
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options) : options_(options) {}

  /** Sets the number of nodes that share the minimum, at least 1. */
  void set_nodes(std::size_t nodes) { nodes_ = nodes == 0 ? 1 : nodes; }

  /** Counts a request of a caller for @p service. */
  void RecordRequest(const std::string& service, base::TimePoint now);

  /** @return Whether a request for @p service may be sent once more; counts it if so. */
  bool TakeRepeat(const std::string& service, RepeatKind kind, const RepeatRoot& root,
                  base::TimePoint now);

 private:
  static constexpr std::size_t kBuckets = 10;
  // Requests of the window that ended half a window ago count as well: a service that fails early
  // gets fewer calls, but not a smaller budget at once.
  static constexpr std::size_t kEarlierBuckets = kBuckets / 2;

  // Priorities that are told apart; lesser ones count as the last of these.
  static constexpr std::uint32_t kPriorities = 8;
  static constexpr std::uint32_t kOpenLevel = kPriorities * admission::ShedKey::kPositions;

  struct Window {
    std::array<std::uint32_t, kBuckets + kEarlierBuckets> requests{};
    // One bucket more than the window holds, so that repeats leave the count no earlier than they
    // leave any window that ends now.
    std::array<std::uint32_t, kBuckets + 1> rejected{};
    std::array<std::uint32_t, kBuckets + 1> may_have_run{};
    std::int64_t bucket = 0;
    std::uint32_t level = kOpenLevel;  // Roots at positions below it get repeats.
    base::TimePoint level_since{};
    std::uint32_t taken_since = 0;    // Repeats after a rejection since `level_since`.
    std::uint32_t highest_since = 0;  // Highest position of those.
    double taken_rate = 0;            // Moving count of those in one interval.
  };

  // Shares of the budget. A repeated run makes its calls again, and those count as repeats at the
  // services called, several for each run; the share kept back is for them. The most important
  // roots have some to themselves, since the level needs a moment to close.
  static constexpr double kRejectedShare = 0.4;
  static constexpr double kImportantRejectedShare = 0.65;
  static constexpr double kMayHaveRunShare = 0.12;

  static std::uint32_t PositionOf(const RepeatRoot& root);
  void Advance(Window& window, base::TimePoint now) const;
  double Budget(const Window& window) const;
  void AdjustLevel(Window& window, double limit, base::TimePoint now) const;

  RetryBudgetOptions options_;
  std::size_t nodes_ = 1;
  std::unordered_map<std::string, Window> windows_;
};

}  // namespace borageloft::request_path

#endif  // BORAGELOFT_REQUEST_PATH_RETRY_BUDGET_H_
