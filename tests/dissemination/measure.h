#ifndef BORAGELOFT_TESTS_DISSEMINATION_MEASURE_H_
#define BORAGELOFT_TESTS_DISSEMINATION_MEASURE_H_

#include <algorithm>
#include <vector>

#include "tests/dissemination/world.h"

namespace borageloft::dissemination {

inline double MillisecondsOf(base::Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

bool IsFullRun() { return std::getenv("BORAGELOFT_FIGURES") != nullptr; }

/** Times of one note after its acceptance. */
struct NoteTimes {
  double in_region = 0;   // In force on each node of the leader's region.
  double everywhere = 0;  // In force on each node.
  double confirmed = 0;   // Known to be in force everywhere on the leader.
};

inline double Percentile(std::vector<double> values, double share) {
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(static_cast<double>(values.size() - 1) * share)];
}

inline NoteTimes MeasureNote(World& world) {
  NoteTimes times;
  world.Submit();
  const base::TimePoint begun = world.now;
  while ((times.confirmed == 0 || times.everywhere == 0) && world.now - begun < seconds(30)) {
    world.Run(world.tick);
    const double elapsed = MillisecondsOf(world.now - begun);
    if (times.in_region == 0 && world.IsEverywhere(world.submitted, 0)) {
      times.in_region = elapsed;
    }
    if (times.everywhere == 0 && world.IsEverywhere(world.submitted)) {
      times.everywhere = elapsed;
    }
    if (world.tracker.IsInForceEverywhere(world.submitted, world.now)) {
      times.confirmed = elapsed;
    }
  }
  // What was not reached counts as the whole time, so that it breaks each bound.
  const double elapsed = MillisecondsOf(world.now - begun);
  for (double* time : {&times.in_region, &times.everywhere, &times.confirmed}) {
    *time = *time == 0 ? elapsed : *time;
  }
  world.Run(milliseconds(100 + world.Draw(900)));
  return times;
}

struct Load {
  double node_bytes = 0;
  double busiest_node_bytes = 0;
  double host_bytes = 0;
  double busiest_host_bytes = 0;
  double host_messages = 0;
};

/** Takes the traffic since it was cleared, per second. */
inline Load TakeLoad(World& world, double duration_s) {
  Load load;
  double nodes = 0;
  double hosts = 0;
  for (const auto& [name, process] : world.processes) {
    const Traffic traffic = world.TrafficOf(name);
    const double bytes = static_cast<double>(traffic.bytes) / duration_s;
    if (World::IsHost(name)) {
      ++hosts;
      load.host_bytes += bytes;
      load.host_messages += static_cast<double>(traffic.messages) / duration_s;
      load.busiest_host_bytes = std::max(load.busiest_host_bytes, bytes);
    } else {
      ++nodes;
      load.node_bytes += bytes;
      load.busiest_node_bytes = std::max(load.busiest_node_bytes, bytes);
    }
  }
  load.node_bytes /= nodes;
  load.host_bytes /= hosts;
  load.host_messages /= hosts;
  return load;
}

}  // namespace borageloft::dissemination

#endif  // BORAGELOFT_TESTS_DISSEMINATION_MEASURE_H_
