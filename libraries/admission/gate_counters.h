#ifndef BORAGELOFT_ADMISSION_GATE_COUNTERS_H_
#define BORAGELOFT_ADMISSION_GATE_COUNTERS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "libraries/admission/admission_level.h"
#include "libraries/admission/ticket.h"
#include "libraries/base/base.h"

namespace borageloft::admission {

/** Counts of one class since the gate was constructed. */
struct ClassCounters {
  ClassRank rank = 1;
  std::uint64_t offered = 0;
  std::uint64_t started = 0;                            ///< Given a slot, at once or later.
  std::uint64_t queued = 0;                             ///< Queued when offered.
  std::array<std::uint64_t, kReasonCount> refused{};    ///< Refused when offered, by Reason.
  std::array<std::uint64_t, kReasonCount> dropped{};    ///< Dropped from the queue, by Reason.
  std::array<std::uint64_t, kOutcomeCount> finished{};  ///< Ended after running, by Outcome.
};

/** State of a gate at one moment. */
struct GateSnapshot {
  std::size_t slots = 0;
  std::size_t limit = 0;  ///< Current concurrency limit, 1 to slots.
  std::size_t running = 0;
  std::size_t waiting = 0;
  base::Duration reference_latency{};  ///< Latency of the unloaded upstream, without its own calls.
  base::Duration service_time{};       ///< Smoothed time from start to finish.
  base::Duration queueing_delay{};     ///< Mean of the last control interval.
  AdmissionLevel level;
  bool is_leaving = false;
  std::map<std::string, ClassCounters> classes;  ///< By class name.
};

}  // namespace borageloft::admission

#endif  // BORAGELOFT_ADMISSION_GATE_COUNTERS_H_
