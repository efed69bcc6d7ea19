#include <fmt/format.h>
#include <gtest/gtest.h>

#include <cstdlib>

#include "tests/membership/world.h"

namespace borageloft::membership {
namespace {

/** Prints one figure as a JSON line, in the form of meta/bench.sh. */
void Print(const std::string& name, double value, const char* unit) {
  fmt::print("{{\"name\": \"{}\", \"value\": {:.3f}, \"unit\": \"{}\"}}\n", name, value, unit);
}

class FiguresTest : public ::testing::Test {
 protected:
  void SetUp() override { base::SetLogLevel(base::LogLevel::kError); }
  void TearDown() override { base::SetLogLevel(base::LogLevel::kInfo); }

  /** @return The mean traffic per second of nodes and of registries, sent and received. */
  static std::pair<Traffic, Traffic> MeasureSteadyTraffic(const WorldSize& size) {
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

  static void PrintTraffic(const WorldSize& size) {
    const auto [node, host] = MeasureSteadyTraffic(size);
    const std::string label = fmt::format("nodes={},registries={},services={},subscriptions={}",
                                          size.nodes * size.regions, size.registries * size.regions,
                                          size.services, size.subscriptions);
    Print("node_bytes_per_s," + label, static_cast<double>(node.bytes), "B/s");
    Print("node_messages_per_s," + label, static_cast<double>(node.messages), "1/s");
    Print("registry_bytes_per_s," + label, static_cast<double>(host.bytes), "B/s");
    Print("registry_messages_per_s," + label, static_cast<double>(host.messages), "1/s");
  }

  /** @return Times until all callers know that an upstream leaves, in ms and rising. */
  static std::vector<double> MeasureLeaves(double loss, int count) {
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
      while (!IsServingKnown(world, node)) {
        world.Run(milliseconds(100));
      }
    }
    std::sort(times.begin(), times.end());
    return times;
  }

 private:
  static bool IsKnownTo(const World::Node& caller, const World::Node& node, UpstreamState state) {
    for (const RecordEntry& entry : caller.client->directory().Upstreams(node.service)) {
      if (entry.record.node == node.name) {
        return entry.record.upstream->state == state;
      }
    }
    return state == UpstreamState::kLeaving;
  }

  static bool IsKnown(const World& world, const World::Node& node, UpstreamState state) {
    return std::all_of(world.nodes.begin(), world.nodes.end(), [&](const auto& item) {
      return !item.second.client->directory().is_held(node.service) ||
             IsKnownTo(item.second, node, state);
    });
  }

  static bool IsLeaveKnown(const World& world, const World::Node& node) {
    return IsKnown(world, node, UpstreamState::kLeaving);
  }
  static bool IsServingKnown(const World& world, const World::Node& node) {
    return IsKnown(world, node, UpstreamState::kServing);
  }
};

// Guards against control traffic of a node that grows with the number of nodes. The number of
// upstreams per service is the same in both sizes, so only the size of the deployment differs.
TEST_F(FiguresTest, NodeTrafficDoesNotGrowWithNodes) {
  const Traffic small = MeasureSteadyTraffic({2, 3, 15, 5, 4}).first;
  const Traffic large = MeasureSteadyTraffic({2, 3, 150, 50, 4}).first;
  EXPECT_LE(static_cast<double>(large.bytes), 1.1 * static_cast<double>(small.bytes));
  EXPECT_LE(large.bytes, 5000U);
}

// Guards against callers that go on sending work to a leaving upstream.
TEST_F(FiguresTest, LeavingIsKnownWithinTwoSeconds) {
  const int count = std::getenv("BORAGELOFT_FIGURES") != nullptr ? 1000 : 100;
  for (const double loss : {0.0, 0.01, 0.05}) {
    const std::vector<double> times = MeasureLeaves(loss, count);
    const double p99 = times[times.size() * 99 / 100];
    const std::string label = fmt::format("leave_known_ms,loss={}", loss);
    Print(label + ",p50", times[times.size() / 2], "ms");
    Print(label + ",p99", p99, "ms");
    Print(label + ",max", times.back(), "ms");
    if (loss <= 0.01) {
      EXPECT_LE(p99, 2000);
    }
  }
}

// Prints how the steady traffic grows; only on request, since it decides nothing.
TEST_F(FiguresTest, PrintsSteadyTraffic) {
  if (std::getenv("BORAGELOFT_FIGURES") == nullptr) {
    GTEST_SKIP() << "BORAGELOFT_FIGURES is not set";
  }
  for (const int nodes : {15, 50, 150, 500, 1000}) {
    PrintTraffic({2, 3, nodes, std::max(5, nodes / 3), 4});
  }
  for (const int services : {10, 50, 150}) {
    PrintTraffic({2, 3, 150, services, 4});
  }
  for (const int subscriptions : {1, 4, 16, 32}) {
    PrintTraffic({2, 3, 150, 50, subscriptions});
  }
  for (const int registries : {3, 5, 7}) {
    PrintTraffic({2, registries, 150, 50, 4});
  }
}

}  // namespace
}  // namespace borageloft::membership
