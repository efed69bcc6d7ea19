#include <gtest/gtest.h>

#include <cstdlib>

#include "tests/dissemination/world.h"

namespace borageloft::dissemination {
namespace {

std::uint64_t NumberFrom(const char* variable, std::uint64_t otherwise) {
  const char* text = std::getenv(variable);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

class VerifyFailure : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/** Draws faults and repairs; each ends at a drawn time. */
class Faults {
 public:
  explicit Faults(World& world) : world_(world) {}

  void Step() {
    std::erase_if(repairs_, [this](auto& repair) {
      if (repair.first > world_.now) {
        return false;
      }
      repair.second();
      return true;
    });
    switch (world_.Draw(10)) {
      case 0:
        CrashWithAncestors(static_cast<int>(1 + world_.Draw(2)));
        break;
      case 1:
        CrashWithAncestors(1);
        CrashWithAncestors(1);
        break;
      case 2:
        world_.loss = static_cast<double>(world_.Draw(20)) / 100;
        world_.duplication = static_cast<double>(world_.Draw(20)) / 100;
        world_.extra_delay = milliseconds(world_.Draw(300));
        break;
      case 3:
        CutRegion();
        break;
      case 4:
        CutLink();
        break;
      default:
        world_.Submit();
        break;
    }
  }

  void HealAll() {
    for (auto& repair : repairs_) {
      repair.second();
    }
    repairs_.clear();
    world_.loss = 0;
    world_.duplication = 0;
    world_.extra_delay = milliseconds(0);
  }

 private:
  base::TimePoint RepairTime() { return world_.now + milliseconds(200 + world_.Draw(20'000)); }

  World::Process& PickNode() {
    for (;;) {
      auto picked = std::next(world_.processes.begin(),
                              static_cast<std::ptrdiff_t>(world_.Draw(world_.processes.size())));
      // The stand-in of the replicated log has no failover of its leader, which also holds the
      // tracker. The planners of the other regions restart with empty plans.
      if (picked->first != "c0") {
        return picked->second;
      }
    }
  }

  /** Crashes a process and, with two levels, its parent at the same moment. */
  void CrashWithAncestors(int levels) {
    World::Process* process = &PickNode();
    for (int level = 0; level < levels && process->tree; ++level) {
      const std::string parent = process->tree->parent();
      Crash(*process);
      const auto found = world_.processes.find(parent);
      if (found == world_.processes.end() || found->first == "c0") {
        return;
      }
      process = &found->second;
    }
  }

  void Crash(World::Process& process) {
    const std::uint64_t number = process.tree->number();
    world_.Crash(process);
    repairs_.emplace_back(RepairTime(), [this, &process, number] {
      world_.Start(process, number - world_.Draw(std::min<std::uint64_t>(number, 100) + 1));
    });
  }

  void CutRegion() {
    // Region 0 holds the leader: a cut region loses it, and keeps its notes in force.
    const int region = 1 + static_cast<int>(world_.Draw(2));
    world_.cut_regions.insert(region);
    repairs_.emplace_back(RepairTime(), [this, region] { world_.cut_regions.erase(region); });
  }

  void CutLink() {
    const auto link = std::pair(PickNode().name, PickNode().name);
    world_.cut.insert(link);
    repairs_.emplace_back(RepairTime(), [this, link] { world_.cut.erase(link); });
  }

  World& world_;
  std::vector<std::pair<base::TimePoint, std::function<void()>>> repairs_;
};

// Guards against any order of loss, crashes, restarts with older numbers and partitions that makes
// a node skip or take back a note, calls a note in force too early, or leaves a node behind.
TEST(RandomRun, KeepsInvariantsAndCatchesUp) {
  base::ReplaceVerifyHandler([](const char* expression, const char* file, int line) {
    throw VerifyFailure(std::string(expression) + " at " + file + ":" + std::to_string(line));
  });
  const std::uint64_t first = NumberFrom("BORAGELOFT_SEED", 1);
  const std::uint64_t wanted = NumberFrom("BORAGELOFT_STEPS", 2'000'000);
  std::uint64_t steps = 0;
  for (std::uint64_t seed = first; steps < wanted; ++seed) {
    WorldSize size;
    size.nodes = 30 + static_cast<int>(seed % 4) * 60;
    size.hosts = 3;
    size.zones = 3;
    World world(size, seed);
    Faults faults(world);
    try {
      world.Run(seconds(5));
      for (int round = 0; round < 120; ++round) {
        faults.Step();
        world.UpdateExpected();
        world.Run(milliseconds(500));
      }
      faults.HealAll();
      world.UpdateExpected();
      world.Run(seconds(10));
      World::Require(world.IsEverywhere(world.submitted), "a process was left behind");
      world.Submit();
      world.Run(seconds(15));
      World::Require(world.IsJoined(), "a node is not joined to a control host");
      World::Require(world.IsEverywhere(world.submitted), "a process misses the last note");
      World::Require(world.tracker.IsInForceEverywhere(world.submitted, world.now),
                     "the tracker does not see the last note in force");
      for (const auto& [name, process] : world.processes) {
        World::Require(process.tree->counts().conflicts == 0, name + " reports a conflict");
      }
    } catch (const std::exception& error) {
      FAIL() << "seed " << seed << " after " << world.steps << " steps: " << error.what();
    }
    steps += world.steps;
  }
  base::ReplaceVerifyHandler({});
  RecordProperty("steps", std::to_string(steps));
}

}  // namespace
}  // namespace borageloft::dissemination
