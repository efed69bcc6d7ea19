#ifndef BORAGELOFT_ROUTING_LOAD_REPORT_H_
#define BORAGELOFT_ROUTING_LOAD_REPORT_H_

#include <cstdint>

#include "libraries/base/base.h"

namespace borageloft::routing {

/** Load of an upstream, as reported with a response. It may be stale or wrong. */
struct LoadReport {
  std::uint32_t in_flight = 0;     ///< Running and queued requests of all callers.
  std::uint32_t limit = 0;         ///< Concurrency limit; 0 if unknown.
  base::Duration service_time{0};  ///< Excluding queueing; 0 if unknown.
  double admitted_share = 1.0;     ///< Fraction of requests that admission control accepts.
  bool is_leaving = false;         ///< The upstream accepts no new requests.
};

}  // namespace borageloft::routing

#endif  // BORAGELOFT_ROUTING_LOAD_REPORT_H_
