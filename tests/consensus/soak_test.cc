#include <fmt/format.h>
#include <gtest/gtest.h>

#include <cstdlib>

#include "tests/consensus/simulation.h"

namespace borageloft::consensus {
namespace {

std::uint64_t FromEnvironment(const char* name, std::uint64_t fallback) {
  const char* value = std::getenv(name);
  return value == nullptr ? fallback : std::strtoull(value, nullptr, 10);
}

// Guards against violations of agreement, durability or recovery under any order of message loss,
// duplication, delay, partitions, restarts, lost disks, membership changes and snapshots.
// BORAGELOFT_SOAK_SEED, _SEEDS and _STEPS set the first seed, the number of seeds and the steps per
// seed.
TEST(ConsensusSoakTest, KeepsInvariantsUnderFaults) {
  base::ReplaceVerifyHandler([](const char* expression, const char* file, int line) {
    throw InvariantFailure(fmt::format("VERIFY({}) at {}:{}", expression, file, line));
  });
  const std::uint64_t first = FromEnvironment("BORAGELOFT_SOAK_SEED", 1);
  const std::uint64_t seeds = FromEnvironment("BORAGELOFT_SOAK_SEEDS", 24);
  const std::uint64_t steps = FromEnvironment("BORAGELOFT_SOAK_STEPS", 50'000);
  SimulationCounts total;
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    Simulation simulation(seed);
    std::uint64_t step = 0;
    try {
      for (; step < steps; ++step) {
        simulation.Step();
      }
      simulation.HealAndConverge();
    } catch (const std::exception& error) {
      ADD_FAILURE() << error.what() << " (seed " << seed << ", step " << step << ")";
    }
    const SimulationCounts& counts = simulation.counts();
    total.commits += counts.commits;
    total.leaders += counts.leaders;
    total.reads += counts.reads;
    total.restarts += counts.restarts;
    total.lost_disks += counts.lost_disks;
    total.promotions += counts.promotions;
    total.snapshots_installed += counts.snapshots_installed;
    total.transfers += counts.transfers;
  }
  base::ReplaceVerifyHandler({});
  fmt::print(
      "{} steps: {} commits, {} leaders, {} reads, {} restarts, {} lost disks, {} promotions, "
      "{} snapshots installed, {} transfers\n",
      seeds * steps, total.commits, total.leaders, total.reads, total.restarts, total.lost_disks,
      total.promotions, total.snapshots_installed, total.transfers);
  // A run without a kind of fault does not test it.
  EXPECT_GT(total.lost_disks, 0U);
  EXPECT_GT(total.promotions, 0U);
  EXPECT_GT(total.snapshots_installed, 0U);
  EXPECT_GT(total.reads, 0U);
  EXPECT_GT(total.transfers, 0U);
}

}  // namespace
}  // namespace borageloft::consensus
