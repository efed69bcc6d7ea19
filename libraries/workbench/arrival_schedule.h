#ifndef BORAGELOFT_WORKBENCH_ARRIVAL_SCHEDULE_H_
#define BORAGELOFT_WORKBENCH_ARRIVAL_SCHEDULE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "libraries/base/base.h"
#include "libraries/workbench/load_options.h"

namespace borageloft::workbench {

/** One arrival of a schedule. */
struct Arrival {
  std::uint64_t number = 0;    ///< Counts from 0.
  base::Duration intended{0};  ///< Intended start, from the start of the run.
  std::size_t kind = 0;        ///< Index into LoadOptions::kinds.
};

/** Draws the arrivals of an open-loop run. The same options give the same arrivals. */
class ArrivalSchedule {
 public:
  /** @param options Checked options. */
  explicit ArrivalSchedule(const LoadOptions& options);

  /** @return The next arrival, or nothing at the end of the run or of the request limit. */
  std::optional<Arrival> Next();

 private:
  double RateAt(double seconds) const;
  std::size_t DrawKind();

  double rate_;
  double end_;
  double surge_begin_;
  double surge_end_;
  double surge_multiplier_;
  ArrivalProcess process_;
  std::uint64_t most_requests_;
  std::vector<double> weights_;
  double total_weight_ = 0;
  base::Random random_;
  double next_ = 0;  // Seconds.
  std::uint64_t number_ = 0;
};

}  // namespace borageloft::workbench

#endif  // BORAGELOFT_WORKBENCH_ARRIVAL_SCHEDULE_H_
