#include <gtest/gtest.h>

#include "tests/dissemination/measure.h"

namespace borageloft::dissemination {
namespace {

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

}  // namespace
}  // namespace borageloft::dissemination
