#ifndef BORAGELOFT_WORKBENCH_GOODPUT_SERIES_H_
#define BORAGELOFT_WORKBENCH_GOODPUT_SERIES_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "libraries/base/base.h"
#include "libraries/workbench/load_options.h"

namespace borageloft::workbench {

/**
 * Goodput over time, in bins of 10 ms by intended start. Goodput in a window is the share of
 * offered requests that got a whole answer in time, so that the randomness of the arrivals, which
 * alone moves a count of 250 ms by more than 5%, does not hide or delay a recovery.
 * Not thread-safe.
 */
class GoodputSeries {
 public:
  /** Width of a bin. */
  static constexpr base::Duration kBin = std::chrono::milliseconds(10);

  /** Adds one request. @param is_good Whether it got a whole answer within its timeout. */
  void Add(base::Duration intended, bool is_good);

  /** Adds all requests of another series. */
  void Merge(const GoodputSeries& other);

  /**
   * @param trigger Time window of the disturbance.
   * @param window Width of the sliding window.
   * @param level Share of the earlier goodput that has to be reached.
   * @return Time from the trigger's end to the start of the first window from which on goodput
   *         stays at the level in every window to the end of the run. Nothing if it does not, if
   *         nothing was offered before the trigger, or if the run ends before the first window.
   */
  std::optional<base::Duration> RecoveryTime(const TriggerWindow& trigger, base::Duration window,
                                             double level) const;

 private:
  struct Bin {
    std::uint64_t offered = 0;
    std::uint64_t good = 0;
  };

  Bin Sum(std::size_t begin, std::size_t end) const;

  std::vector<Bin> bins_;
};

}  // namespace borageloft::workbench

#endif  // BORAGELOFT_WORKBENCH_GOODPUT_SERIES_H_
