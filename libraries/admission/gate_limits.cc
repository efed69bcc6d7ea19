#include "libraries/admission/gate_limits.h"

#include <fmt/format.h>

#include "libraries/admission/admission_error.h"

namespace borageloft::admission {

namespace {

constexpr double kMaxReserved = 0.5;

void CheckClass(const ClassLimits& limits) {
  if (limits.rank == 0) {
    throw AdmissionError(fmt::format("class {}: importance must be at least 1", limits.name));
  }
  if (!(limits.reserved >= 0 && limits.reserved <= kMaxReserved)) {
    throw AdmissionError(fmt::format("class {}: reserved must be between 0 and 0.5", limits.name));
  }
  if (limits.queue_length > kMaxQueueLength) {
    throw AdmissionError(
        fmt::format("class {}: queue length must be at most {}", limits.name, kMaxQueueLength));
  }
}

}  // namespace

void CheckLimits(const GateLimits& limits, const std::vector<ClassLimits>& classes) {
  if (limits.slots == 0) {
    throw AdmissionError("slots must be at least 1");
  }
  if (limits.target_delay <= base::Duration::zero() ||
      limits.control_interval <= base::Duration::zero() ||
      limits.reserve_hold < base::Duration::zero()) {
    throw AdmissionError(
        "target delay and control interval must be positive and reserve hold not negative");
  }
  if (!(limits.cold_share > 0 && limits.cold_share <= 1)) {
    throw AdmissionError("cold share must be above 0 and at most 1");
  }
  double reserved = 0;
  for (const ClassLimits& class_limits : classes) {
    CheckClass(class_limits);
    reserved += class_limits.reserved;
  }
  if (reserved > kMaxReserved) {
    throw AdmissionError("the classes together may reserve at most 0.5 of the slots");
  }
}

}  // namespace borageloft::admission
