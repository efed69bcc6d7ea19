#ifndef BORAGELOFT_REQUEST_PATH_RECOVERY_PACE_H_
#define BORAGELOFT_REQUEST_PATH_RECOVERY_PACE_H_

#include <cstddef>
#include <optional>

#include "libraries/base/base.h"

namespace borageloft::request_path {

/**
 * Limits how many requests run at once at an upstream that has just started or recovered (slow
 * start).
 *
 * The load that this answers: an upstream that was away comes back while the others are overloaded,
 * and all nodes send to the one that has free slots. With cold caches it is slower the more it
 * runs, so that all its requests end late and it takes long to warm up. A fixed pause would leave
 * it idle instead. The limit begins at a part of the slots. Each window of answers is compared with
 * the fastest window of this start: while it is about as fast, the limit grows; if it has become
 * much slower, or requests were rejected, the limit is cut, since it is the load that slows the
 * upstream. An upstream that is slow at any load is thus not held back. After kMaxTime there is no
 * limit, whatever the answers say. Not thread-safe.
 */
class RecoveryPace {
 public:
  /** The upstream has started or recovered. */
  void Begin(base::TimePoint now);

  /** Records an answer. @param took Time for which the upstream worked on the request. */
  void RecordAnswer(base::Duration took, base::TimePoint now);

  /** Records that the upstream rejected a request. */
  void RecordRejection(base::TimePoint now);

  /**
   * @param full Requests that may run at once without a limit.
   * @return Requests that may run at once now, from 1 to @p full.
   */
  std::size_t Limit(std::size_t full, base::TimePoint now) const;

  /** @return Whether the limit is below the slots. */
  bool is_limiting() const { return began_at_.has_value(); }

  /** Time after which the limit ends in any case. Upstreams warm up within some seconds. */
  static constexpr std::chrono::seconds kMaxTime{5};

 private:
  struct Window {
    base::TimePoint began_at{};
    std::size_t answers = 0;
    std::size_t rejections = 0;
    double sum_ms = 0;
  };

  void CloseWindow(base::TimePoint now);

  std::optional<base::TimePoint> began_at_;
  double share_ = 1;       // Of the slots.
  double fastest_ms_ = 0;  // Mean of the fastest window; zero before the first.
  Window window_;
};

}  // namespace borageloft::request_path

#endif  // BORAGELOFT_REQUEST_PATH_RECOVERY_PACE_H_
