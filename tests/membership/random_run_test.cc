#include <gtest/gtest.h>

#include <cstdlib>

#include "tests/membership/world.h"

namespace borageloft::membership {
namespace {

std::uint64_t NumberFrom(const char* variable, std::uint64_t otherwise) {
  const char* text = std::getenv(variable);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

template <typename Map>
auto& Pick(World& world, Map& map) {
  return std::next(map.begin(), static_cast<std::ptrdiff_t>(world.Draw(map.size())))->second;
}

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
    switch (world_.Draw(14)) {
      case 0:
        CutPair();
        break;
      case 1:
        RestartNode(Pick(world_, world_.nodes));
        break;
      case 2:
        world_.loss = static_cast<double>(world_.Draw(30)) / 100;
        world_.duplication = static_cast<double>(world_.Draw(20)) / 100;
        world_.extra_delay = milliseconds(world_.Draw(400));
        break;
      case 3:
      case 4:
        ChangeUpstream(Pick(world_, world_.nodes));
        break;
      case 5:
        RarelyDrawWideFault();
        break;
      default:
        break;
    }
  }

  void HealAll() {
    for (auto& repair : repairs_) {
      repair.second();
    }
    repairs_.clear();
    world_.cut.clear();
    world_.cut_regions.clear();
    world_.loss = 0;
    world_.duplication = 0;
    world_.extra_delay = milliseconds(0);
    for (auto& [name, node] : world_.nodes) {
      if (node.upstream->state() == UpstreamState::kGone) {
        world_.Announce(node);
      }
    }
  }

 private:
  base::TimePoint RepairTime() { return world_.now + milliseconds(200 + world_.Draw(25'000)); }

  void CutPair() {
    const std::string node = Pick(world_, world_.nodes).name;
    const std::string host = Pick(world_, world_.hosts).name;
    const auto link = world_.Draw(2) == 0 ? std::pair(node, host) : std::pair(host, node);
    world_.cut.insert(link);
    repairs_.emplace_back(RepairTime(), [this, link] { world_.cut.erase(link); });
  }

  void RestartNode(World::Node& node) {
    if (!node.client) {
      return;
    }
    node.client.reset();
    repairs_.emplace_back(RepairTime(), [this, &node] {
      // Without a disk the clock decides the incarnation; at times it was set back.
      node.clock_offset = milliseconds(world_.Draw(4) == 0 ? -60'000 : 0);
      world_.StartNode(node);
    });
  }

  void ChangeUpstream(World::Node& node) {
    if (!node.client) {
      return;
    }
    if (node.upstream->state() == UpstreamState::kGone) {
      world_.Announce(node);
    } else if (node.upstream->is_accepting()) {
      node.upstream->BeginWork();
      node.upstream->Leave(world_.now);
    } else if (node.upstream->in_flight() > 0) {
      node.upstream->EndWork(world_.now);
    }
  }

  void RestartHost(World::Host& host) {
    if (!host.registry) {
      return;
    }
    host.registry.reset();
    repairs_.emplace_back(RepairTime(), [this, &host] { world_.StartHost(host); });
  }

  void RarelyDrawWideFault() {
    const int region = static_cast<int>(world_.Draw(2));
    const int zone = static_cast<int>(world_.Draw(3));
    switch (world_.Draw(6)) {
      case 0:
        world_.cut_regions.insert({region, 1 - region});
        if (world_.Draw(2) == 0) {
          world_.cut_regions.insert({1 - region, region});
        }
        repairs_.emplace_back(RepairTime(), [this] { world_.cut_regions.clear(); });
        break;
      case 1:
        for (auto& [name, node] : world_.nodes) {
          if (node.region == region && node.zone == zone) {
            RestartNode(node);
          }
        }
        break;
      case 2: {
        // A control host that hears nobody for a while, in one direction or both.
        const std::string host = Pick(world_, world_.hosts).name;
        for (auto& [name, node] : world_.nodes) {
          world_.cut.insert({name, host});
        }
        repairs_.emplace_back(RepairTime(), [this] { world_.cut.clear(); });
        break;
      }
      default:
        RestartHost(Pick(world_, world_.hosts));
        break;
    }
  }

  World& world_;
  std::vector<std::pair<base::TimePoint, std::function<void()>>> repairs_;
};

class VerifyFailure : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Guards against any order of loss, delay, repetition, partitions and restarts that brings back an
// older or removed incarnation, or after which registries and directories do not agree again.
TEST(RandomRun, KeepsInvariantsAndConverges) {
  base::ReplaceVerifyHandler([](const char* expression, const char* file, int line) {
    throw VerifyFailure(std::string(expression) + " at " + file + ":" + std::to_string(line));
  });
  base::SetLogLevel(base::LogLevel::kError);
  const std::uint64_t first = NumberFrom("BORAGELOFT_SEED", 1);
  const std::uint64_t wanted = NumberFrom("BORAGELOFT_STEPS", 1'000'000);
  std::uint64_t steps = 0;
  for (std::uint64_t seed = first; steps < wanted; ++seed) {
    WorldSize size;
    size.nodes = 12 + static_cast<int>(seed % 5) * 8;
    World world(size, seed);
    Faults faults(world);
    try {
      world.Run(seconds(8));
      for (int round = 0; round < 240; ++round) {
        faults.Step();
        world.Run(milliseconds(250));
      }
      faults.HealAll();
      // Return of the subscriptions to the preferred registry takes up to 30 s.
      world.Run(seconds(45));
      world.CheckConverged();
    } catch (const std::exception& error) {
      FAIL() << "seed " << seed << " after " << world.steps << " steps: " << error.what();
    }
    steps += world.steps;
  }
  base::ReplaceVerifyHandler({});
  base::SetLogLevel(base::LogLevel::kInfo);
  RecordProperty("steps", std::to_string(steps));
}

}  // namespace
}  // namespace borageloft::membership
