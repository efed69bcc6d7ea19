#include <fmt/format.h>

#include "tests/dissemination/measure.h"

namespace borageloft::dissemination {
namespace {

/** Prints one figure as a JSON line, in the form of meta/bench.sh. */
void Print(const std::string& name, double value, const char* unit) {
  fmt::print("{{\"name\": \"{}\", \"value\": {:.3f}, \"unit\": \"{}\"}}\n", name, value, unit);
  std::fflush(stdout);
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
  if (repair.time == 0) {
    repair.time = MillisecondsOf(world.now - begun);
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

// Prints the figures of docs/decisions/003-dissemination.md.
void PrintAllNoteTimes() {
  for (const int nodes : {10, 30, 100, 300, 1000, 6400}) {
    PrintNoteTimes(nodes, nodes > 1000 ? 30 : 200, 8);
    PrintNoteTimes(nodes, nodes > 1000 ? 30 : 200, 100'000);
  }
}

// Prints the load with notes of 10 kB and 100 kB.
void PrintLoadOfLongNotes() {
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

// Prints the comparison of both policies for orphans.
void PrintRepairTimes() {
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

/** Prints the figures of docs/decisions/003-dissemination.md; takes about four minutes. */
int main() {
  borageloft::dissemination::PrintRepairTimes();
  borageloft::dissemination::PrintLoadOfLongNotes();
  borageloft::dissemination::PrintAllNoteTimes();
  return 0;
}
