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

/** What the release note in force says about one class at this gate. */
struct ClassLimits {
  std::string name;
  ClassRank rank = 1;
  double reserved = 0;             ///< Share of the slots kept free for this class, 0 to 0.5.
  std::size_t queue_length = 128;  ///< Waiting requests of this class, 0 to 65,536.
};

/** Bounds of a gate. */
struct GateLimits {
  std::size_t slots = 1;  ///< Requests that the upstream announced it can run at once, at least 1.

  /** Queueing delay that the admission level is steered to, unless service takes longer. */
  base::Duration target_delay = std::chrono::milliseconds(10);

  /**
   * Time between two changes of the admission level. Twenty changes fit into the one second in
   * which service has to recover.
   */
  base::Duration control_interval = std::chrono::milliseconds(50);

  /** A class that sent nothing for this long has no reserved slots, so that none stays idle. */
  base::Duration reserve_hold = std::chrono::seconds(1);

  /** A cold upstream begins with this share of its slots and ramps up from there. */
  double cold_share = 0.25;
};

/** @throws AdmissionError naming the first value that is out of range. */
void CheckLimits(const GateLimits& limits, const std::vector<ClassLimits>& classes);

}  // namespace borageloft::admission

#endif  // BORAGELOFT_ADMISSION_GATE_LIMITS_H_
