#include "libraries/workbench/service_time.h"

#include <cmath>
#include <numbers>

#include "libraries/workbench/error.h"

namespace borageloft::workbench {

ServiceTime::ServiceTime(const ServiceTimeOptions& options)
    : options_(options), random_(base::SeededRandom(base::Hash("service time", options.seed))) {
  if (options.mean < base::Duration::zero()) {
    throw Error("the mean service time must not be negative");
  }
  if (options.sigma < 0) {
    throw Error("sigma of the service time must not be negative");
  }
}

base::Duration ServiceTime::Draw() {
  return base::Duration(
      static_cast<base::Duration::rep>(static_cast<double>(options_.mean.count()) * DrawFactor()));
}

double ServiceTime::DrawFactor() {
  switch (options_.shape) {
    case ServiceTimeShape::kFixed:
      return 1.0;
    case ServiceTimeShape::kExponential:
      return -std::log(1.0 - base::DrawFraction(random_));
    case ServiceTimeShape::kLognormal: {
      // Box-Muller, because the sequence of std::lognormal_distribution differs between libraries.
      const double radius = std::sqrt(-2.0 * std::log(1.0 - base::DrawFraction(random_)));
      const double normal = radius * std::cos(2.0 * std::numbers::pi * base::DrawFraction(random_));
      // The shift by half the variance keeps the mean at 1.
      return std::exp(options_.sigma * normal - options_.sigma * options_.sigma / 2);
    }
  }
  return 1.0;
}

}  // namespace borageloft::workbench
