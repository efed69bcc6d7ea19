#ifndef BORAGELOFT_TESTS_MEMBERSHIP_MEASURE_H_
#define BORAGELOFT_TESTS_MEMBERSHIP_MEASURE_H_

#include "tests/membership/world.h"

namespace borageloft::membership {

inline bool IsKnownTo(const World::Node& caller, const World::Node& node, UpstreamState state) {
  for (const RecordEntry& entry : caller.client->directory().Upstreams(node.service)) {
    if (entry.record.node == node.name) {
      return entry.record.upstream->state == state;
    }
  }
  return state == UpstreamState::kLeaving;
}

inline bool IsKnown(const World& world, const World::Node& node, UpstreamState state) {
  return std::all_of(world.nodes.begin(), world.nodes.end(), [&](const auto& item) {
    return !item.second.client->directory().is_held(node.service) ||
           IsKnownTo(item.second, node, state);
  });
}

inline bool IsLeaveKnown(const World& world, const World::Node& node) {
  return IsKnown(world, node, UpstreamState::kLeaving);
}
inline bool IsServingKnown(const World& world, const World::Node& node) {
  return IsKnown(world, node, UpstreamState::kServing);
}

/** @return The mean traffic per second of nodes and of registries, sent and received. */
inline std::pair<Traffic, Traffic> MeasureSteadyTraffic(const WorldSize& size) {
  World world(size, 1);
  // After the start each node returns to its preferred registry within 50 s.
  world.Run(seconds(60));
  world.ClearTraffic();
  world.Run(seconds(20));
  Traffic of_nodes;
  Traffic of_hosts;
  for (const auto& [name, node] : world.nodes) {
    of_nodes.messages += world.TrafficOf(name).messages;
    of_nodes.bytes += world.TrafficOf(name).bytes;
  }
  for (const auto& [name, host] : world.hosts) {
    of_hosts.messages += world.TrafficOf(name).messages;
    of_hosts.bytes += world.TrafficOf(name).bytes;
  }
  const std::uint64_t node_seconds = world.nodes.size() * 20;
  const std::uint64_t host_seconds = world.hosts.size() * 20;
  return {{of_nodes.messages / node_seconds, of_nodes.bytes / node_seconds},
          {of_hosts.messages / host_seconds, of_hosts.bytes / host_seconds}};
}

/** @return Times until all callers know that an upstream leaves, in ms and rising. */
inline std::vector<double> MeasureLeaves(double loss, int count) {
  WorldSize size;
  size.nodes = 40;
  World world(size, 7);
  world.tick = milliseconds(10);
  world.Run(seconds(20));
  world.loss = loss;
  std::vector<double> times;
  for (int leave = 0; leave < count; ++leave) {
    World::Node& node =
        std::next(world.nodes.begin(), static_cast<std::ptrdiff_t>(world.Draw(80)))->second;
    node.upstream->BeginWork();
    node.upstream->Leave(world.now);
    const base::TimePoint begun = world.now;
    while (!IsLeaveKnown(world, node) && world.now - begun < seconds(20)) {
      world.Run(milliseconds(10));
    }
    times.push_back(std::chrono::duration<double, std::milli>(world.now - begun).count());
    node.upstream->EndWork(world.now);
    world.Announce(node);
    world.Run(milliseconds(1500 + world.Draw(1000)));
    // With losses the new announcement needs time to be known everywhere, too.
    while (!IsServingKnown(world, node) && world.now - begun < std::chrono::minutes(5)) {
      world.Run(milliseconds(100));
    }
  }
  std::sort(times.begin(), times.end());
  return times;
}

}  // namespace borageloft::membership

#endif  // BORAGELOFT_TESTS_MEMBERSHIP_MEASURE_H_
