#include "libraries/node/dissemination_table.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <deque>
#include <map>
#include <set>
#include <thread>

namespace borageloft::node {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

note_log::Note MakeNote(std::uint64_t number) {
  const std::string text = fmt::format(
      "[note]\nnumber = {}\nauthor = ana\n[added service s{}]\ntimeout = 1s\n", number, number);
  const auto parsed = notes::ReleaseNote::Parse(text, "note");
  return {number, parsed.author(), parsed.digest(), text};
}

/** One node with all that its dissemination table needs. */
struct Process {
  Process(settings::NodeSettings node_settings, const base::Clock& clock, std::string& disk,
          std::uint64_t incarnation, DisseminationHooks hooks)
      : settings(std::move(node_settings)),
        spans(settings.node, tracing::WriteLinesTo(""), 1),
        timers(clock),
        services{settings,
                 clock,
                 base::SystemWallClock(),
                 base::SeededRandom(incarnation),
                 policies,
                 metrics,
                 spans,
                 timers},
        notes({[&disk] { return disk.empty() ? std::nullopt : std::optional(disk); },
               [&disk](const std::string& bytes) { disk = bytes; }},
              policies),
        table(services, incarnation, settings.peers, notes, std::move(hooks)) {}

  settings::NodeSettings settings;
  PolicyTable policies;
  metrics::NodeMetrics metrics;
  tracing::SpanExporter spans;
  timer::TimerService timers;
  NodeServices services;
  NoteTable notes;
  DisseminationTable table;
};

/**
 * Two regions with one control host and one zone each, on a manual clock. A message arrives after
 * 5 ms, and only where the sender has learned the address.
 */
class Cluster {
 public:
  Cluster(int north, int south) {
    Start("c0", "north");
    Start("c1", "south");
    for (int index = 0; index < north + south; ++index) {
      Start(fmt::format("n{:02}", index), index < north ? "north" : "south");
    }
  }

  Process& at(const std::string& node) { return *processes_.at(node); }

  void Start(const std::string& node, const std::string& region) {
    settings::NodeSettings settings;
    settings.node = node;
    settings.region = region;
    settings.zone = region + "-a";
    settings.peers = {"127.0.0.1", static_cast<std::uint16_t>(1000 + ++lives_)};
    settings.control_peers = {{"c0", "north", {"127.0.0.1", 1}}, {"c1", "south", {"127.0.0.1", 2}}};
    settings.data_folder = node[0] == 'c' ? "data" : "";
    known_[node] = {"c0", "c1"};
    DisseminationHooks hooks;
    hooks.send = [this, node](const std::string& to, std::string payload) {
      if (known_.at(node).contains(to)) {
        queue_.push_back({now + milliseconds(5), node, to, std::move(payload)});
      }
    };
    hooks.learn = [this, node](const std::string& peer, const settings::Endpoint&) {
      known_.at(node).insert(peer);
    };
    hooks.view_region = [this, region] { return View(region); };
    registered_[node] = region;
    processes_[node] = std::make_unique<Process>(
        std::move(settings), [this] { return now; }, disks_[node], lives_, std::move(hooks));
    // Leases tell a control host where the nodes of its region are.
    known_.at(region == "north" ? "c0" : "c1").insert(node);
  }

  void Crash(const std::string& node) { processes_.erase(node); }
  void EraseDisk(const std::string& node) { disks_[node].clear(); }
  /** The registry removes the node; as the real one does, it remembers it. */
  void Unregister(const std::string& node) { removed_.insert(node); }

  /** Stands in for the replicated log. */
  void Accept(std::uint64_t number) {
    at("c0").table.Accept(MakeNote(number));
    if (!is_cut) {
      at("c1").table.Accept(MakeNote(number));
    }
  }

  void Run(base::Duration duration) {
    for (const base::TimePoint end = now + duration; now < end; now += milliseconds(5)) {
      while (!queue_.empty() && queue_.front().due <= now) {
        const Packet packet = std::move(queue_.front());
        queue_.pop_front();
        const auto to = processes_.find(packet.to);
        if (to != processes_.end() && !(is_cut && IsAcross(packet.from, packet.to))) {
          to->second->table.Receive(packet.from, packet.payload);
        }
      }
      for (const auto& [node, process] : processes_) {
        process->table.Tick();
      }
    }
  }

  bool IsEverywhere(std::uint64_t number) const {
    return std::all_of(processes_.begin(), processes_.end(), [number](const auto& item) {
      return item.second->notes.number() == number;
    });
  }

  std::map<std::string, ZoneInForce> ZonesAt(const std::string& host) {
    std::map<std::string, ZoneInForce> zones;
    for (ZoneInForce& zone : at(host).table.status().zones) {
      zones[zone.zone] = zone;
    }
    return zones;
  }

  /** @return A node that is the parent of others. */
  std::string InnerNode() const {
    for (const auto& [node, process] : processes_) {
      std::string parent = process->table.status().parent;
      if (parent.starts_with("n")) {
        return parent;
      }
    }
    return {};
  }

  /** @return How many nodes have another node, and no control host, as parent. */
  std::ptrdiff_t CountBelowNodes() const {
    return std::count_if(processes_.begin(), processes_.end(), [](const auto& item) {
      return item.second->table.status().parent.starts_with("n");
    });
  }

  base::TimePoint now = base::TimePoint() + std::chrono::hours(1);
  bool is_cut = false;

 private:
  struct Packet {
    base::TimePoint due;
    std::string from;
    std::string to;
    std::string payload;
  };

  bool IsAcross(const std::string& from, const std::string& to) const {
    return registered_.at(from) != registered_.at(to);
  }

  RegionView View(const std::string& region) const {
    RegionView view{{}, true};
    for (const auto& [node, its_region] : registered_) {
      if (its_region == region) {
        membership::NodeRecord record;
        record.node = node;
        record.zone = region + "-a";
        record.address = "127.0.0.1:1234";
        view.nodes.push_back({record, removed_.contains(node) ? membership::EntryState::kRemoved
                                                              : membership::EntryState::kAlive});
      }
    }
    return view;
  }

  std::uint64_t lives_ = 0;
  std::map<std::string, std::string> registered_;
  std::set<std::string> removed_;
  std::map<std::string, std::string> disks_;
  std::map<std::string, std::set<std::string>> known_;
  std::deque<Packet> queue_;
  std::map<std::string, std::unique_ptr<Process>> processes_;
};

// Guards against parents and children that do not know each other's address, and against a control
// host that knows the numbers in force of its own region only.
TEST(DisseminationTableTest, ANoteReachesAllNodesAndIsReportedFromAllZones) {
  Cluster cluster(30, 12);
  cluster.Run(seconds(15));
  EXPECT_NE(cluster.InnerNode(), "");
  cluster.Accept(1);
  cluster.Run(seconds(1));
  EXPECT_TRUE(cluster.IsEverywhere(1));
  for (const char* host : {"c0", "c1"}) {
    auto zones = cluster.ZonesAt(host);
    EXPECT_EQ(zones["north-a"].nodes, 31U) << host;
    EXPECT_EQ(zones["north-a"].lowest_number, 1U) << host;
    EXPECT_EQ(zones["south-a"].nodes, 13U) << host;
    EXPECT_EQ(zones["south-a"].lowest_number, 1U) << host;
  }
  EXPECT_EQ(cluster.ZonesAt("n00")["north-a"].lowest_number, 1U);
  EXPECT_FALSE(cluster.at("n00").table.status().is_cut_off);
}

// Guards against a restart that takes a node back, and against one that stays behind for good.
TEST(DisseminationTableTest, ARestartedNodeMovesForwardOnly) {
  Cluster cluster(12, 1);
  cluster.Accept(1);
  cluster.Run(seconds(3));
  cluster.Crash("n03");
  cluster.Accept(2);
  cluster.Accept(3);
  cluster.Run(seconds(1));
  cluster.Start("n03", "north");
  EXPECT_EQ(cluster.at("n03").notes.number(), 1U);
  EXPECT_LT(cluster.ZonesAt("c0")["north-a"].lowest_number, 3U);
  cluster.Run(seconds(2));
  EXPECT_EQ(cluster.at("n03").notes.number(), 3U);
  EXPECT_EQ(cluster.at("n03").policies.current()->number(), 3U);
  // A control host that comes back with an older number takes no node back with it.
  cluster.Crash("c0");
  cluster.EraseDisk("c0");
  cluster.Start("c0", "north");
  cluster.at("c0").table.Accept(MakeNote(1));
  cluster.at("c0").table.Accept(MakeNote(2));
  cluster.Run(seconds(2));
  EXPECT_EQ(cluster.at("n03").notes.number(), 3U);
}

// Guards against children that keep waiting for a parent that has stopped.
TEST(DisseminationTableTest, AnInnerNodeThatStopsIsReplaced) {
  Cluster cluster(30, 1);
  cluster.Run(seconds(15));
  const std::string inner = cluster.InnerNode();
  ASSERT_NE(inner, "");
  EXPECT_EQ(cluster.CountBelowNodes(), 22);
  cluster.Crash(inner);
  cluster.Run(seconds(2));
  cluster.Accept(1);
  cluster.Run(seconds(1));
  EXPECT_TRUE(cluster.IsEverywhere(1));
  cluster.Unregister(inner);
  cluster.Run(seconds(15));
  EXPECT_EQ(cluster.ZonesAt("c0")["north-a"].nodes, 30U);
  EXPECT_EQ(cluster.ZonesAt("c0")["north-a"].lowest_number, 1U);
  // Of 29 nodes 8 are below the control host, as the fan-out says, and all others below nodes.
  EXPECT_EQ(cluster.CountBelowNodes(), 21);
}

// Guards against a region that is cut off and shows old state as current, and against a status
// elsewhere that waits for it.
TEST(DisseminationTableTest, ARegionThatIsCutOffSaysSoAndCatchesUp) {
  Cluster cluster(10, 10);
  cluster.Run(seconds(3));
  cluster.Accept(1);
  cluster.Run(seconds(2));
  cluster.is_cut = true;
  cluster.Run(seconds(15));
  cluster.at("c0").table.Accept(MakeNote(2));
  cluster.Run(seconds(2));
  EXPECT_TRUE(cluster.at("c1").table.status().is_cut_off);
  EXPECT_TRUE(cluster.at("n15").table.status().is_cut_off);
  EXPECT_EQ(cluster.at("n15").notes.number(), 1U);
  EXPECT_EQ(cluster.ZonesAt("c0")["south-a"].nodes, 0U);
  EXPECT_EQ(cluster.ZonesAt("c0")["south-a"].unreachable, 11U);
  EXPECT_EQ(cluster.ZonesAt("c0")["north-a"].lowest_number, 2U);
  cluster.is_cut = false;
  cluster.at("c1").table.AcceptSnapshot(cluster.at("c0").notes.chain());
  cluster.Run(seconds(5));
  EXPECT_TRUE(cluster.IsEverywhere(2));
  EXPECT_FALSE(cluster.at("n15").table.status().is_cut_off);
  EXPECT_EQ(cluster.ZonesAt("c0")["south-a"].lowest_number, 2U);
}

// Guards against locks that are taken out of order, which the mutexes verify, or in a circle: the
// table takes the locks of notes, policy, its listeners, the registry and the transport.
TEST(DisseminationTableTest, TakesLocksInOrderFromAllThreads) {
  constexpr int kNotes = 100;
  base::RankedMutex members{base::LockRank::kMembership};
  base::RankedMutex gate{base::LockRank::kAdmission};
  base::RankedMutex transport{base::LockRank::kTransport};
  std::deque<std::pair<std::string, std::string>> sent;  // Receiver and payload.
  settings::NodeSettings settings;
  settings.region = "north";
  settings.zone = "north-a";
  settings.control_peers = {{"c0", "north", {"127.0.0.1", 1}}};
  DisseminationHooks hooks;
  hooks.send = [&](const std::string& to, std::string payload) {
    const std::scoped_lock lock(transport);
    sent.emplace_back(to, std::move(payload));
  };
  hooks.learn = [&](const std::string&, const settings::Endpoint&) {
    const std::scoped_lock lock(transport);
  };
  hooks.view_region = [&] {
    const std::scoped_lock lock(members);
    return RegionView{{}, true};
  };
  std::map<std::string, std::string> disks{{"c0", ""}, {"n0", ""}};
  settings.node = "c0";
  settings.data_folder = "data";
  Process host(settings, base::SystemClock(), disks["c0"], 1, hooks);
  settings.node = "n0";
  settings.data_folder = "";
  Process node(settings, base::SystemClock(), disks["n0"], 2, hooks);
  node.policies.AddListener([&](const notes::Policy&) { const std::scoped_lock lock(gate); });

  std::atomic<bool> is_done{false};
  const auto repeat = [&](const std::function<void()>& task) {
    return std::thread([&is_done, task] {
      while (!is_done) {
        task();
        std::this_thread::yield();
      }
    });
  };
  const auto deliver = [&] {
    std::pair<std::string, std::string> message;
    {
      const std::scoped_lock lock(transport);
      if (sent.empty()) {
        return;
      }
      message = std::move(sent.front());
      sent.pop_front();
    }
    const bool is_for_host = message.first == "c0";
    (is_for_host ? host : node).table.Receive(is_for_host ? "n0" : "c0", message.second);
  };
  std::vector<std::thread> threads;
  threads.push_back(repeat(deliver));
  threads.push_back(repeat(deliver));
  threads.push_back(repeat([&] { host.table.Tick(), node.table.Tick(); }));
  threads.push_back(repeat([&] { host.table.status(), node.table.status(); }));
  for (int number = 1; number <= kNotes; ++number) {
    host.table.Accept(MakeNote(static_cast<std::uint64_t>(number)));
  }
  const auto limit = std::chrono::steady_clock::now() + seconds(60);
  while (node.notes.number() < kNotes && std::chrono::steady_clock::now() < limit) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  is_done = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  EXPECT_EQ(node.notes.number(), static_cast<std::uint64_t>(kNotes));
}

}  // namespace
}  // namespace borageloft::node
