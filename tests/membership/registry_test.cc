#include <gtest/gtest.h>

#include "tests/membership/world.h"

namespace borageloft::membership {
namespace {

class RegistryTest : public ::testing::Test {
 protected:
  void SetUp() override { base::SetLogLevel(base::LogLevel::kError); }
  void TearDown() override { base::SetLogLevel(base::LogLevel::kInfo); }

  /** Counts the entries of a region's first registry in the given state. */
  static std::size_t CountIn(const World& world, int region, EntryState state) {
    const Registry& registry = *world.hosts.at("r" + std::to_string(region) + "-c0").registry;
    std::size_t count = 0;
    for (const auto& [name, entry] : registry.entries()) {
      count += entry.state == state ? 1 : 0;
    }
    return count;
  }

  static std::size_t CountUnreachableSeen(const World::Node& node, const std::string& service) {
    std::size_t count = 0;
    for (const RecordEntry& entry : node.client->directory().Upstreams(service)) {
      count += entry.state == EntryState::kUnreachable ? 1 : 0;
    }
    return count;
  }
};

// Guards against removal of a live host whose packets to one control host are lost.
TEST_F(RegistryTest, KeepsWhatAnotherRegistryHears) {
  World world({}, 1);
  world.Run(seconds(8));
  world.cut.insert({"r0-n1", "r0-c0"});
  world.Run(seconds(60));
  const auto state = world.hosts.at("r0-c0").registry->StateOf("r0-n1");
  EXPECT_NE(state, EntryState::kRemoved);
  EXPECT_NE(state, EntryState::kUnreachable);
  // A change reaches the cut registry through the others.
  world.nodes.at("r0-n1").upstream->Leave(world.now);
  world.Run(seconds(1));
  EXPECT_FALSE(world.hosts.at("r0-c0").registry->entries().at("r0-n1").record.upstream);
}

// Guards against a host that stays in the views after it has died.
TEST_F(RegistryTest, RemovesASilentHost) {
  World world({}, 2);
  world.Run(seconds(8));
  world.nodes.at("r0-n1").client.reset();
  world.Run(seconds(9));
  EXPECT_EQ(world.hosts.at("r0-c0").registry->StateOf("r0-n1"), EntryState::kRemoved);
  world.StartNode(world.nodes.at("r0-n1"));
  world.Run(seconds(2));
  EXPECT_EQ(world.hosts.at("r0-c0").registry->StateOf("r0-n1"), EntryState::kAlive);
}

// Guards against removal of a zone that is only cut off.
TEST_F(RegistryTest, KeepsALostZoneAsUnreachable) {
  World world({}, 3);
  world.Run(seconds(8));
  for (const auto& [name, node] : world.nodes) {
    for (const auto& [host, registry] : world.hosts) {
      if (node.region == 0 && node.zone == 1 && registry.zone != 1) {
        world.cut.insert({name, host});
      }
    }
  }
  // The control host of the zone is cut off from the others, too.
  for (const std::string other : {"r0-c0", "r0-c2"}) {
    world.cut.insert({"r0-c1", other});
    world.cut.insert({other, "r0-c1"});
  }
  world.Run(std::chrono::minutes(10));
  EXPECT_EQ(CountIn(world, 0, EntryState::kUnreachable), 7U);
  EXPECT_EQ(CountIn(world, 0, EntryState::kRemoved), 0U);
  world.cut.clear();
  world.Run(seconds(40));
  EXPECT_EQ(CountIn(world, 0, EntryState::kUnreachable), 0U);
  EXPECT_NO_THROW(world.CheckConverged());
}

// Guards against a control host that is itself cut off and removes everybody else.
TEST_F(RegistryTest, RemovesNothingWhenItIsCutOff) {
  World world({}, 4);
  world.Run(seconds(8));
  for (const auto& [name, node] : world.nodes) {
    world.cut.insert({name, "r0-c0"});
  }
  for (const auto& [name, host] : world.hosts) {
    world.cut.insert({name, "r0-c0"});
  }
  world.Run(std::chrono::minutes(5));
  EXPECT_TRUE(world.hosts.at("r0-c0").registry->is_isolated());
  EXPECT_EQ(CountIn(world, 0, EntryState::kRemoved), 0U);
  for (const auto& [name, node] : world.nodes) {
    if (node.region == 0) {
      EXPECT_NE(node.client->source(), "r0-c0");
    }
  }
  world.cut.clear();
  world.Run(seconds(45));
  EXPECT_FALSE(world.hosts.at("r0-c0").registry->is_isolated());
  EXPECT_NO_THROW(world.CheckConverged());
}

// Guards against a region that forgets the others, or cannot catch up, after an hour alone.
TEST_F(RegistryTest, KeepsOtherRegionsThroughAnHourAlone) {
  WorldSize size;
  size.nodes = 6;
  size.services = 2;
  World world(size, 5);
  world.Run(seconds(8));
  world.cut_regions = {{0, 1}, {1, 0}};
  world.Run(seconds(15));
  const World::Node& caller = world.nodes.at("r0-n0");
  EXPECT_EQ(CountUnreachableSeen(caller, "service-0"), 3U);
  EXPECT_EQ(world.hosts.at("r0-c0").registry->cut_off_regions().size(), 1U);
  for (int minute = 0; minute < 60; ++minute) {
    world.Run(seconds(60));
    World::Node& node = world.nodes.at("r1-n" + std::to_string(minute % 6));
    node.upstream->Leave(world.now);
    world.Announce(node);
  }
  EXPECT_EQ(CountUnreachableSeen(caller, "service-0"), 3U);
  world.cut_regions.clear();
  world.Run(seconds(5));
  EXPECT_NO_THROW(world.CheckConverged());
}

// Guards against callers without any view while all control hosts are down or restart empty.
TEST_F(RegistryTest, CallersKeepTheLastViewWithoutControlHosts) {
  World world({}, 6);
  world.Run(seconds(8));
  for (auto& [name, host] : world.hosts) {
    host.registry.reset();
  }
  world.Run(seconds(30));
  const World::Node& caller = world.nodes.at("r0-n0");
  EXPECT_TRUE(caller.client->is_view_stale(world.now));
  EXPECT_GE(caller.client->view_age(world.now), seconds(28));
  EXPECT_FALSE(caller.client->directory().Upstreams(caller.calls.front()).empty());
  for (auto& [name, host] : world.hosts) {
    world.StartHost(host);
  }
  // A registry that restarted empty shows nothing before it had time to hear all nodes.
  const std::size_t count = caller.client->directory().Upstreams(caller.calls.front()).size();
  for (int step = 0; step < 200; ++step) {
    world.Run(milliseconds(50));
    ASSERT_EQ(caller.client->directory().Upstreams(caller.calls.front()).size(), count);
  }
  world.Run(seconds(40));
  EXPECT_FALSE(caller.client->is_view_stale(world.now));
  EXPECT_NO_THROW(world.CheckConverged());
}

// Guards against state and traffic for services that a node no longer calls.
TEST_F(RegistryTest, EndsUnusedSubscriptions) {
  WorldSize size;
  size.nodes = 3;
  World world(size, 7);
  World::Node& node = world.nodes.at("r0-n0");
  world.Run(seconds(8));
  ASSERT_EQ(node.client->directory().service_count(), node.calls.size());
  world.has_calls = false;
  for (int minute = 0; minute < 11; ++minute) {
    node.client->Use(node.calls.front(), world.now);
    world.Run(seconds(60));
  }
  EXPECT_EQ(node.client->directory().services(), std::vector{node.calls.front()});
}

}  // namespace
}  // namespace borageloft::membership
