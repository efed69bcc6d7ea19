#ifndef BORAGELOFT_METRICS_METRICS_H_
#define BORAGELOFT_METRICS_METRICS_H_

/** @file Public header of the metrics library. */

#include "libraries/metrics/node_metrics.h"

#endif  // BORAGELOFT_METRICS_METRICS_H_
