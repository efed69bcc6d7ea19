#ifndef BORAGELOFT_ROUTING_ROUTING_H_
#define BORAGELOFT_ROUTING_ROUTING_H_

/** @file Public header of the routing library, which selects the upstream for a request. */

#include "libraries/routing/error.h"
#include "libraries/routing/load_estimate.h"
#include "libraries/routing/load_report.h"
#include "libraries/routing/outlier_detector.h"
#include "libraries/routing/router.h"
#include "libraries/routing/routing_options.h"
#include "libraries/routing/stable_subset.h"
#include "libraries/routing/upstream_view.h"
#include "libraries/routing/zone_spill.h"

#endif  // BORAGELOFT_ROUTING_ROUTING_H_
