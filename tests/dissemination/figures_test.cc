#include <fmt/format.h>
#include <gtest/gtest.h>

#include <cstdlib>

#include "tests/dissemination/world.h"

namespace borageloft::dissemination {
namespace {

/** Prints one figure as a JSON line, in the form of meta/bench.sh. */
void Print(const std::string& name, double value, const char* unit) {
  fmt::print("{{\"name\": \"{}\", \"value\": {:.3f}, \"unit\": \"{}\"}}\n", name, value, unit);
  std::fflush(stdout);
}

double MillisecondsOf(base::Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

bool IsFullRun() { return std::getenv("BORAGELOFT_FIGURES") != nullptr; }

/** Times of one note after its acceptance. */
struct NoteTimes {
  double in_region = 0;   // In force on each node of the leader's region.
  double everywhere = 0;  // In force on each node.
  double confirmed = 0;   // Known to be in force everywhere on the leader.
};

double Percentile(std::vector<double> values, double share) {
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(static_cast<double>(values.size() - 1) * share)];
}

NoteTimes MeasureNote(World& world) {
  NoteTimes times;
  world.Submit();
  const base::TimePoint begun = world.now;
  while (times.confirmed == 0 && world.now - begun < seconds(30)) {
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
Load TakeLoad(World& world, double duration_s) {
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

void PrintNoteTimes(int nodes, int notes, std::size_t fan_out) {
  WorldSize size;
  size.nodes = nodes;
  size.fan_out = fan_out;
  World world(size, 1);
  world.tick = milliseconds(5);
  world.Run(seconds(30));
  world.loss = 0.01;
  std::vector<double> in_region;
  std::vector<double> everywhere;
  std::vector<double> confirmed;
  for (int note = 0; note < notes; ++note) {
    const NoteTimes times = MeasureNote(world);
    in_region.push_back(times.in_region);
    everywhere.push_back(times.everywhere);
    confirmed.push_back(times.confirmed);
  }
  const std::string label = fmt::format(",nodes={},{}", nodes, fan_out == 8 ? "tree" : "direct");
  for (const auto& [name, values] :
       {std::pair("note_in_region_ms", &in_region), std::pair("note_everywhere_ms", &everywhere),
        std::pair("note_confirmed_ms", &confirmed)}) {
    Print(name + label + ",p50", Percentile(*values, 0.5), "ms");
    Print(name + label + ",p99", Percentile(*values, 0.99), "ms");
  }
  // 17,000 release notes a day are one every 5 s.
  world.ClearTraffic();
  for (int note = 0; note < 4; ++note) {
    world.Submit();
    world.Run(seconds(5));
  }
  const Load load = TakeLoad(world, 20);
  Print("node_bytes_per_s" + label, load.node_bytes, "B/s");
  Print("busiest_node_bytes_per_s" + label, load.busiest_node_bytes, "B/s");
  Print("host_bytes_per_s" + label, load.host_bytes, "B/s");
  Print("busiest_host_bytes_per_s" + label, load.busiest_host_bytes, "B/s");
  Print("host_messages_per_s" + label, load.host_messages, "1/s");
}

struct Repair {
  double time = 0;              // Until each running node is joined to a control host.
  double host_messages = 0;     // Per control host and second, in the 5 s after the failure.
  double busiest_children = 0;  // Most children of one control host after the repair.
};

/** Crashes @p count inner nodes of the first zone at once. */
Repair MeasureRepair(int nodes, int count, OrphanPolicy policy, std::uint64_t seed) {
  WorldSize size;
  size.nodes = nodes;
  size.policy = policy;
  World world(size, seed);
  world.Run(seconds(30));
  world.loss = 0.01;
  world.Run(milliseconds(1000 + world.Draw(1000)));
  std::vector<World::Process*> inner;
  for (auto& [name, process] : world.processes) {
    // Nodes of the second level, which have a node as parent and children.
    if (process.zone == "z0" && !World::IsHost(process.tree->parent()) &&
        process.tree->child_count() > 0) {
      inner.push_back(&process);
    }
  }
  Repair repair;
  if (inner.size() < static_cast<std::size_t>(count)) {
    return repair;
  }
  for (int index = 0; index < count; ++index) {
    world.Crash(*inner[static_cast<std::size_t>(index)]);
  }
  const base::TimePoint begun = world.now;
  world.ClearTraffic();
  while (world.now - begun < seconds(5)) {
    world.Run(world.tick);
    if (repair.time == 0 && world.IsJoined()) {
      repair.time = MillisecondsOf(world.now - begun);
    }
  }
  repair.host_messages = TakeLoad(world, 5).host_messages;
  for (const auto& [name, process] : world.processes) {
    if (World::IsHost(name)) {
      repair.busiest_children =
          std::max(repair.busiest_children, static_cast<double>(process.tree->child_count()));
    }
  }
  return repair;
}

// Guards against a tree that puts a note in force too late: 1 s in a region, 5 s everywhere.
TEST(FiguresTest, NotesAreInForceInTime) {
  for (const int nodes : {10, 30, 100, 300}) {
    WorldSize size;
    size.nodes = nodes;
    World world(size, 2);
    world.tick = milliseconds(5);
    world.Run(seconds(30));
    world.loss = 0.01;
    std::vector<double> in_region;
    std::vector<double> confirmed;
    for (int note = 0; note < 30; ++note) {
      const NoteTimes times = MeasureNote(world);
      in_region.push_back(times.in_region);
      confirmed.push_back(times.confirmed);
    }
    EXPECT_LE(Percentile(in_region, 0.99), 1000) << nodes << " nodes";
    EXPECT_LE(Percentile(confirmed, 0.99), 5000) << nodes << " nodes";
  }
}

// Guards against control hosts whose children grow with the number of nodes, as with direct push,
// and against a node that needs more than its share of 5 KB/s.
TEST(FiguresTest, TreeSparesControlHosts) {
  for (const int nodes : {400, 1600}) {
    WorldSize size;
    size.nodes = nodes;
    World world(size, 3);
    world.Run(seconds(30));
    world.ClearTraffic();
    world.Submit();
    world.Run(seconds(5));
    EXPECT_LE(TakeLoad(world, 5).busiest_node_bytes, 5000);
    for (const auto& [name, process] : world.processes) {
      // Four zones of a region with eight first slots each, spread over five control hosts.
      EXPECT_LE(process.tree->child_count(), 8U) << name << " of " << nodes;
    }
  }
}

// Prints the figures of docs/decisions/003-dissemination.md; only on request.
TEST(FiguresTest, PrintsNoteTimes) {
  if (!IsFullRun()) {
    GTEST_SKIP() << "BORAGELOFT_FIGURES is not set";
  }
  for (const int nodes : {10, 30, 100, 300, 1000, 6400}) {
    PrintNoteTimes(nodes, nodes > 1000 ? 30 : 200, 8);
    PrintNoteTimes(nodes, nodes > 1000 ? 30 : 200, 100'000);
  }
}

// Prints the load with notes of 10 kB and 100 kB; only on request.
TEST(FiguresTest, PrintsLoadOfLongNotes) {
  if (!IsFullRun()) {
    GTEST_SKIP() << "BORAGELOFT_FIGURES is not set";
  }
  for (const std::size_t bytes : {std::size_t{10'000}, std::size_t{100'000}}) {
    for (const std::size_t fan_out : {std::size_t{8}, std::size_t{100'000}}) {
      WorldSize size;
      size.nodes = 1000;
      size.fan_out = fan_out;
      World world(size, 1);
      world.note_bytes = bytes;
      world.Run(seconds(30));
      world.ClearTraffic();
      for (int note = 0; note < 4; ++note) {
        world.Submit();
        world.Run(seconds(5));
      }
      const Load load = TakeLoad(world, 20);
      const std::string label =
          fmt::format(",nodes=1000,note={},{}", bytes, fan_out == 8 ? "tree" : "direct");
      Print("node_bytes_per_s" + label, load.node_bytes, "B/s");
      Print("busiest_node_bytes_per_s" + label, load.busiest_node_bytes, "B/s");
      Print("host_bytes_per_s" + label, load.host_bytes, "B/s");
    }
  }
}

// Prints the comparison of both policies for orphans; only on request.
TEST(FiguresTest, PrintsRepairTimes) {
  if (!IsFullRun()) {
    GTEST_SKIP() << "BORAGELOFT_FIGURES is not set";
  }
  for (const auto& [policy, name] : {std::pair(OrphanPolicy::kNearestAncestor, "nearest-ancestor"),
                                     std::pair(OrphanPolicy::kControlHost, "control-host")}) {
    for (const auto& [nodes, count] :
         {std::pair(1000, 1), std::pair(6400, 1), std::pair(6400, 8), std::pair(6400, 32)}) {
      std::vector<double> times;
      double messages = 0;
      double children = 0;
      const int runs = nodes > 1000 ? 5 : 20;
      for (int run = 0; run < runs; ++run) {
        const Repair repair =
            MeasureRepair(nodes, count, policy, static_cast<std::uint64_t>(run + 1));
        times.push_back(repair.time);
        messages += repair.host_messages / runs;
        children = std::max(children, repair.busiest_children);
      }
      const std::string label = fmt::format(",nodes={},failed={},{}", nodes, count, name);
      Print("repair_ms" + label + ",p50", Percentile(times, 0.5), "ms");
      Print("repair_ms" + label + ",max", Percentile(times, 1), "ms");
      Print("host_messages_per_s" + label, messages, "1/s");
      Print("busiest_host_children" + label, children, "1");
    }
  }
}

}  // namespace
}  // namespace borageloft::dissemination
