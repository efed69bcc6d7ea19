#ifndef BORAGELOFT_NODE_NODE_SERVICES_H_
#define BORAGELOFT_NODE_NODE_SERVICES_H_

#include "libraries/base/base.h"
#include "libraries/metrics/metrics.h"
#include "libraries/node/policy_table.h"
#include "libraries/settings/settings.h"
#include "libraries/timer/timer.h"
#include "libraries/tracing/tracing.h"

namespace borageloft::node {

/** What the parts of one node share. Every member is thread-safe and outlives the parts. */
struct NodeServices {
  const settings::NodeSettings& settings;
  base::Clock clock;
  base::WallClock wall_clock;
  base::Random random;
  PolicyTable& policies;
  metrics::NodeMetrics& metrics;
  tracing::SpanExporter& spans;
  timer::TimerService& timers;
};

}  // namespace borageloft::node

#endif  // BORAGELOFT_NODE_NODE_SERVICES_H_
