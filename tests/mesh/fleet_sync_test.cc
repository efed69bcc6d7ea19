#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "libraries/mesh/directory_sync.h"

namespace borageloft::mesh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kZones = 5;
constexpr milliseconds kTick{20};
constexpr milliseconds kLinkDelay{20};
// Within this time the directory must show a change to every node; the time within which a
// declaration must be in force.
constexpr milliseconds kKnownWithin{2000};

std::string ZoneOf(std::size_t index) { return "z" + std::to_string(index % kZones); }

/**
 * Nodes and control hosts on a manual clock, one control host in each zone. Messages are delayed
 * and, with a share drawn from the seed, lost.
 */
class Fleet {
 public:
  struct Control {
    std::string zone;
    std::unique_ptr<directory::ControlDirectory> directory;
    bool is_up = true;
    bool is_current = true;
    std::uint64_t version = 1;
  };

  struct Node {
    std::string zone;
    std::unique_ptr<DirectorySync> sync;
    directory::InstanceRecord record;
    base::TimePoint next_poll;
    bool is_up = true;
    std::vector<std::uint64_t> versions;  // Declarations in the order in which they were received.
  };

  Fleet(std::size_t nodes, std::uint64_t seed) : random_(base::SeededRandom(seed)) {
    base::ReplaceLogSink([](std::string_view) {});
    for (std::size_t i = 0; i < kZones; ++i) {
      StartControl("c" + std::to_string(i), ZoneOf(i));
    }
    for (std::size_t i = 0; i < nodes; ++i) {
      StartNode("n" + std::to_string(i), ZoneOf(i), 1);
    }
  }
  ~Fleet() { base::ReplaceLogSink({}); }

  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  void StartControl(const std::string& name, const std::string& zone) {
    Control& control = controls_[name];
    zones_[name] = zone;
    control.zone = zone;
    control.is_up = true;
    control.directory =
        std::make_unique<directory::ControlDirectory>(random_() | 1U, milliseconds(4500), now_);
  }

  void StartNode(const std::string& name, const std::string& zone, std::uint64_t epoch) {
    Node& node = nodes_[name];
    node = {};
    zones_[name] = zone;
    node.zone = zone;
    DirectorySyncHooks hooks;
    hooks.clock = [this] { return now_; };
    hooks.send = [this, name](const std::string& to, std::string bytes) {
      Send(name, to, std::move(bytes));
    };
    hooks.on_records = [](const directory::NodeSet&) {};
    hooks.on_declaration = [&node](std::uint64_t version, const std::string&) {
      node.versions.push_back(version);
    };
    node.sync = std::make_unique<DirectorySync>(zone, std::vector<std::string>{"c0", "c1", "c2"},
                                                std::move(hooks));
    node.record.node = name;
    node.record.zone = zone;
    node.record.epoch = epoch;
    node.record.service = "parts";
    node.record.instance = "i-" + name;
    node.record.slots = 8;
    ChangeRecord(name, [](directory::InstanceRecord&) {});
    node.next_poll = now_ + milliseconds(base::DrawBelow(random_, 300));
  }

  void ChangeRecord(const std::string& name,
                    const std::function<void(directory::InstanceRecord&)>& change) {
    Node& node = nodes_.at(name);
    change(node.record);
    ++node.record.revision;
    node.sync->SetRecord(node.record);
  }

  void Play(base::Duration duration) {
    for (const base::TimePoint end = now_ + duration; now_ < end; now_ += kTick) {
      Deliver();
      PollNodes();
      RunControls();
    }
  }

  /** @return Nodes for which @p holds is false. */
  std::vector<std::string> NodesWithout(const std::function<bool(const Node&)>& holds) const {
    std::vector<std::string> without;
    for (const auto& [name, node] : nodes_) {
      if (node.is_up && !holds(node)) {
        without.push_back(name);
      }
    }
    return without;
  }

  std::map<std::string, Control>& controls() { return controls_; }
  std::map<std::string, Node>& nodes() { return nodes_; }

  /** Tells whether messages from one participant to another are lost. */
  std::function<bool(const std::string& from, const std::string& to)> is_cut;
  double loss = 0;
  std::uint64_t bytes_across_zones = 0;

 private:
  struct Message {
    std::string from;
    std::string to;
    std::string bytes;
  };

  void Send(const std::string& from, const std::string& to, std::string bytes) {
    if (zones_.at(from) != zones_.at(to)) {
      bytes_across_zones += bytes.size();
    }
    if ((is_cut && is_cut(from, to)) || base::DrawFraction(random_) < loss) {
      return;
    }
    messages_.emplace(now_ + kLinkDelay, Message{from, to, std::move(bytes)});
  }

  void Deliver() {
    while (!messages_.empty() && messages_.begin()->first <= now_) {
      const Message message = std::move(messages_.begin()->second);
      messages_.erase(messages_.begin());
      if (const auto control = controls_.find(message.to); control != controls_.end()) {
        if (control->second.is_up) {
          ReceiveAtControl(control->first, control->second, message);
        }
      } else if (const auto node = nodes_.find(message.to);
                 node != nodes_.end() && node->second.is_up) {
        node->second.sync->Receive(
            message.from, std::get<directory::SyncAnswer>(directory::Decode(message.bytes)));
      }
    }
  }

  void ReceiveAtControl(const std::string& name, Control& control, const Message& message) {
    const directory::Message decoded = directory::Decode(message.bytes);
    if (const auto* answer = std::get_if<directory::SyncAnswer>(&decoded)) {
      control.directory->Receive(message.from, *answer, now_);
      return;
    }
    const auto& request = std::get<directory::SyncRequest>(decoded);
    if (request.kind != directory::SyncKind::kExchange && request.record.node == message.from) {
      control.directory->Renew(request.record, now_);
    }
    directory::SyncAnswer answer;
    control.directory->FillAnswer(request, answer);
    answer.zone = control.zone;
    answer.is_current = control.is_current;
    answer.version = control.version;
    answer.declaration = control.version > request.known_version ? "text" : "";
    for (const auto& [host, state] : controls_) {
      answer.control_hosts.push_back(host);
    }
    Send(name, message.from, directory::Encode(answer));
  }

  void PollNodes() {
    for (auto& [name, node] : nodes_) {
      if (node.is_up && node.next_poll <= now_) {
        node.sync->Poll();
        node.next_poll = now_ + node.sync->poll_interval();
      }
    }
  }

  void RunControls() {
    ++ticks_;
    for (auto& [name, control] : controls_) {
      if (!control.is_up) {
        continue;
      }
      if (ticks_ % 5 == 0) {
        control.directory->Expire(now_);
      }
      const bool exchanges = ticks_ % 50 == 0;
      const std::string changes = ticks_ % 5 == 0 && control.directory->has_changes()
                                      ? directory::Encode(control.directory->TakeChanges())
                                      : "";
      for (const auto& [other, state] : controls_) {
        if (other != name && exchanges) {
          Send(name, other, directory::Encode(control.directory->ExchangeRequest(other)));
        }
        if (other != name && !changes.empty()) {
          Send(name, other, changes);
        }
      }
    }
  }

  base::TimePoint now_{seconds(1000)};
  base::Random random_;
  std::map<std::string, Control> controls_;
  std::map<std::string, Node> nodes_;
  std::map<std::string, std::string> zones_;  // Also of participants that are gone.
  std::multimap<base::TimePoint, Message> messages_;
  std::uint64_t ticks_ = 0;
};

bool Knows(const Fleet::Node& node, const std::string& name) {
  return node.sync->view().records().contains(name);
}

using Names = std::vector<std::string>;

class FleetSyncTest : public ::testing::TestWithParam<std::uint64_t> {
 protected:
  void SetUp() override {
    fleet_.loss = 0.02;
    fleet_.Play(seconds(8));
    ASSERT_EQ(fleet_.NodesWithout([](const Fleet::Node& node) {
      return node.sync->view().records().size() == 200;
    }),
              Names{});
  }

  void ExpectLeaveIsKnown(const std::string& name, const char* while_) {
    fleet_.ChangeRecord(name, [](directory::InstanceRecord& record) {
      record.state = directory::InstanceState::kLeaving;
    });
    fleet_.Play(kKnownWithin);
    EXPECT_EQ(fleet_.NodesWithout([&](const Fleet::Node& node) {
      const auto record = node.sync->view().records().find(name);
      return record == node.sync->view().records().end() ||
             record->second.state == directory::InstanceState::kLeaving;
    }),
              Names{})
        << while_;
  }

  void ExpectDeclarationInForce(std::uint64_t version, const char* while_) {
    fleet_.Play(kKnownWithin);
    EXPECT_EQ(fleet_.NodesWithout(
                  [&](const Fleet::Node& node) { return node.sync->version() == version; }),
              Names{})
        << while_;
  }

  void Declare(std::uint64_t version) {
    for (auto& [name, control] : fleet_.controls()) {
      control.version = control.is_current ? version : control.version;
    }
  }

  Fleet fleet_{200, GetParam()};
};

INSTANTIATE_TEST_SUITE_P(Seeds, FleetSyncTest, ::testing::Values(1U, 2U, 3U));

// Guards against a zone whose nodes learn nothing while its control host is down, or comes back
// empty.
TEST_P(FleetSyncTest, BearsTheLossAndEmptyReturnOfAControlHost) {
  fleet_.controls().at("c1").is_up = false;
  Declare(2);
  ExpectLeaveIsKnown("n1", "c1 is down");
  ExpectDeclarationInForce(2, "c1 is down");
  fleet_.Play(seconds(10));
  EXPECT_EQ(fleet_.NodesWithout(
                [](const Fleet::Node& node) { return node.sync->view().records().size() == 200; }),
            Names{});
  fleet_.StartControl("c1", ZoneOf(1));
  fleet_.controls().at("c1").version = 2;
  for (int i = 0; i < 10; ++i) {
    fleet_.Play(seconds(1));
    EXPECT_EQ(fleet_.NodesWithout([](const Fleet::Node& node) {
      return node.sync->view().records().size() == 200;
    }),
              Names{})
        << "second " << i << " after the return";
  }
  // Two messages lost in a row make a node leave its control host for a moment.
  fleet_.loss = 0;
  fleet_.Play(seconds(3));
  EXPECT_EQ(fleet_.NodesWithout([](const Fleet::Node& node) {
    return node.zone != ZoneOf(1) || node.sync->preferred_host() == "c1";
  }),
            Names{});
}

// Guards against an old declaration that stays in force where the control host of the zone is cut
// off from the leader, and against one that comes back after a newer one.
TEST_P(FleetSyncTest, LeavesAControlHostThatLags) {
  fleet_.controls().at("c2").is_current = false;
  Declare(2);
  ExpectDeclarationInForce(2, "c2 has no contact to the leader");
  Declare(3);
  ExpectDeclarationInForce(3, "c2 still has none");
  for (const auto& [name, node] : fleet_.nodes()) {
    EXPECT_TRUE(std::is_sorted(node.versions.begin(), node.versions.end())) << name;
  }
}

// Guards against nodes that vanish where two control hosts cannot reach each other, in one
// direction or both, while both of them answer their nodes.
TEST_P(FleetSyncTest, BearsACutLinkBetweenControlHosts) {
  for (const bool is_one_way : {true, false}) {
    fleet_.is_cut = [is_one_way](const std::string& from, const std::string& to) {
      return (from == "c1" && to == "c3") || (!is_one_way && from == "c3" && to == "c1");
    };
    for (int i = 0; i < 12; ++i) {
      fleet_.Play(seconds(1));
      EXPECT_EQ(fleet_.NodesWithout([](const Fleet::Node& node) {
        return node.sync->view().records().size() == 200;
      }),
                Names{})
          << "second " << i << " of the cut";
    }
    ExpectLeaveIsKnown(is_one_way ? "n1" : "n6", "the link from c1 to c3 is cut");
    fleet_.is_cut = nullptr;
    fleet_.Play(seconds(3));
  }
}

// Guards against a node that knows an instance again after it has left, because it was cut off
// itself or asks a control host that lags.
TEST_P(FleetSyncTest, RevivesNoInstanceThatHasLeft) {
  fleet_.is_cut = [](const std::string& from, const std::string& to) {
    return from == "n7" || to == "n7";
  };
  fleet_.Play(seconds(3));
  fleet_.ChangeRecord("n3", [](directory::InstanceRecord& record) { record.instance.clear(); });
  fleet_.Play(kKnownWithin);
  fleet_.is_cut = nullptr;
  fleet_.controls().at("c3").is_up = false;
  for (int i = 0; i < 12; ++i) {
    fleet_.Play(seconds(1));
    if (i == 5) {
      fleet_.StartControl("c3", ZoneOf(3));
    }
    EXPECT_EQ(fleet_.NodesWithout([](const Fleet::Node& node) { return !Knows(node, "n3"); }),
              Names{})
        << "second " << i;
  }
}

// Guards against nodes that follow the control hosts of a first list only: all of them are
// exchanged one after the other, and the addresses of the old ones do not answer any more.
TEST_P(FleetSyncTest, FollowsExchangedControlHosts) {
  for (std::size_t i = 0; i < kZones; ++i) {
    fleet_.StartControl("d" + std::to_string(i), ZoneOf(i));
    fleet_.controls().at("d" + std::to_string(i)).version = 1 + i;
    fleet_.Play(seconds(3));
    fleet_.controls().erase("c" + std::to_string(i));
    fleet_.is_cut = [i](const std::string&, const std::string& to) {
      return to.front() == 'c' && to.back() <= static_cast<char>('0' + i);
    };
    Declare(2 + i);
    ExpectDeclarationInForce(2 + i, "a control host was exchanged");
    EXPECT_EQ(fleet_.NodesWithout([](const Fleet::Node& node) {
      return node.sync->view().records().size() == 200;
    }),
              Names{});
  }
  ExpectLeaveIsKnown("n4", "all control hosts were exchanged");
}

// Guards against traffic between zones for each node that grows with the fleet.
TEST(FleetSyncTrafficTest, BytesAcrossZonesDoNotGrowWithTheFleet) {
  const auto bytes_per_node = [](std::size_t nodes) {
    Fleet fleet(nodes, 5);
    fleet.Play(seconds(6));
    const std::uint64_t before = fleet.bytes_across_zones;
    for (std::size_t i = 0; i < nodes; ++i) {
      if (i % (nodes / 10) == 0) {
        fleet.Play(milliseconds(200));
      }
      fleet.ChangeRecord("n" + std::to_string(i % nodes),
                         [](directory::InstanceRecord& record) { record.slowdown_steps ^= 1U; });
    }
    return static_cast<double>(fleet.bytes_across_zones - before) / static_cast<double>(nodes);
  };
  const double small = bytes_per_node(50);
  EXPECT_LT(bytes_per_node(200), 1.2 * small);
  EXPECT_LT(bytes_per_node(1000), 1.2 * small);
}

}  // namespace
}  // namespace borageloft::mesh
