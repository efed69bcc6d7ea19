#ifndef BORAGELOFT_WORKBENCH_SERVICE_TIME_H_
#define BORAGELOFT_WORKBENCH_SERVICE_TIME_H_

#include <cstdint>

#include "libraries/base/base.h"

namespace borageloft::workbench {

/** Shape of a service time distribution. */
enum class ServiceTimeShape { kFixed, kExponential, kLognormal };

/** Service time distribution of a stand-in. */
struct ServiceTimeOptions {
  base::Duration mean = std::chrono::milliseconds(10);
  ServiceTimeShape shape = ServiceTimeShape::kLognormal;
  double sigma = 0.5;  ///< Standard deviation of the logarithm; used by kLognormal only.
  std::uint64_t seed = 1;
};

/** Draws service times. The same seed gives the same sequence. Not thread-safe. */
class ServiceTime {
 public:
  explicit ServiceTime(const ServiceTimeOptions& options);

  /** @return The next service time, never negative. */
  base::Duration Draw();

 private:
  double DrawFactor();

  ServiceTimeOptions options_;
  base::Random random_;
};

}  // namespace borageloft::workbench

#endif  // BORAGELOFT_WORKBENCH_SERVICE_TIME_H_
