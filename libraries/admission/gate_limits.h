#ifndef BORAGELOFT_ADMISSION_GATE_LIMITS_H_
#define BORAGELOFT_ADMISSION_GATE_LIMITS_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "libraries/admission/admission_level.h"
#include "libraries/base/base.h"

namespace borageloft::admission {

/** Largest queue length of a class. */
inline constexpr std::size_t kMaxQueueLength = 65'536;

/** Limits of one class at a gate, as the release note in force sets them. */
struct ClassLimits {
  std::string name;
  ClassRank rank = 1;
  double reserved = 0;             ///< Share of the slots kept free for this class, 0 to 0.5.
  std::size_t queue_length = 128;  ///< Waiting requests of this class, 0 to 65,536.
};

/** Limits of a gate. */
struct GateLimits {
  std::size_t slots = 1;  ///< Requests that the upstream announced it can run at once, at least 1.

  /** Queueing delay that the admission level aims at; more for an upstream with long service. */
  base::Duration target_delay = std::chrono::milliseconds(10);

  /**
   * Time between two changes of the admission level. Twenty changes fit into the one second in
   * which service has to recover from an overload.
   */
  base::Duration control_interval = std::chrono::milliseconds(50);

  /** Time without a request after which a class loses its reserved slots, so that none is idle. */
  base::Duration reserve_hold = std::chrono::seconds(1);

  /** Initial concurrency limit of a cold upstream, as a share of its slots. */
  double cold_share = 0.25;
};

/** @throws AdmissionError for the first value that is out of range. */
void CheckLimits(const GateLimits& limits, const std::vector<ClassLimits>& classes);

}  // namespace borageloft::admission

#endif  // BORAGELOFT_ADMISSION_GATE_LIMITS_H_
