#ifndef BORAGELOFT_ROUTING_LOAD_REPORT_H_
#define BORAGELOFT_ROUTING_LOAD_REPORT_H_

#include <cstdint>

#include "libraries/base/base.h"

namespace borageloft::routing {

/** Load of an upstream as an answer carries it. It may be old or false. */
struct LoadReport {
  std::uint32_t in_flight = 0;     ///< Running and queued at the gate, of all callers.
  std::uint32_t limit = 0;         ///< Concurrency limit; 0 if unknown.
  base::Duration service_time{0};  ///< Without queueing; 0 if unknown.
  double admitted_share = 1.0;     ///< Share of requests that the admission level lets in.
  bool is_leaving = false;         ///< The gate takes no new work.
};

}  // namespace borageloft::routing

#endif  // BORAGELOFT_ROUTING_LOAD_REPORT_H_
