#ifndef BORAGELOFT_TESTS_MEMBERSHIP_WORLD_H_
#define BORAGELOFT_TESTS_MEMBERSHIP_WORLD_H_

#include <algorithm>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "libraries/membership/membership.h"

namespace borageloft::membership {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Size of a simulated deployment. */
struct WorldSize {
  int regions = 2;
  int registries = 3;  // Per region, one in each zone.
  int nodes = 20;      // Per region.
  int services = 6;
  int subscriptions = 3;  // Per node.
};

/** Messages and bytes that a process sent and received. */
struct Traffic {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
};

/** Registries and nodes on a manual clock, joined by links that lose, delay and repeat. */
class World {
 public:
  struct Node {
    std::string name;
    int region = 0;
    int zone = 0;
    std::string service;
    std::vector<std::string> calls;
    std::unique_ptr<Incarnation> source;  // Lost with the process: there is no disk.
    std::unique_ptr<LocalUpstream> upstream;
    std::unique_ptr<LeaseClient> client;
    std::chrono::milliseconds clock_offset{0};
    base::TimePoint announced;
  };
  struct Host {
    std::string name;
    int region = 0;
    int zone = 0;
    std::uint64_t life = 0;
    std::unique_ptr<Registry> registry;
    std::map<std::string, std::uint64_t> fences;  // Removed incarnations in this life.
  };

  World(WorldSize size, std::uint64_t seed) : size_(size), random_(base::SeededRandom(seed)) {
    for (int region = 0; region < size.regions; ++region) {
      for (int index = 0; index < size.registries; ++index) {
        const std::string name = "r" + std::to_string(region) + "-c" + std::to_string(index);
        hosts[name] = Host{name, region, index % 3, 0, nullptr, {}};
      }
    }
    for (auto& [name, host] : hosts) {
      StartHost(host);
    }
    for (int region = 0; region < size.regions; ++region) {
      for (int index = 0; index < size.nodes; ++index) {
        AddNode(region, index);
      }
    }
  }

  void StartHost(Host& host) {
    RegistrySettings settings;
    settings.id = host.name;
    settings.region = RegionName(host.region);
    for (const auto& [name, other] : hosts) {
      if (other.region != host.region) {
        settings.other_regions[RegionName(other.region)].push_back(name);
      } else if (name != host.name) {
        settings.peers.push_back(name);
      }
    }
    host.fences.clear();
    host.registry = std::make_unique<Registry>(settings, SenderFor(host.name), ++host.life, now);
  }

  void StartNode(Node& node) {
    node.source = std::make_unique<Incarnation>([this, &node] {
      return base::WallTime(std::chrono::hours(1000) + now.time_since_epoch() + node.clock_offset);
    });
    LeaseClientSettings settings;
    settings.node = node.name;
    settings.region = RegionName(node.region);
    settings.zone = settings.region + "-z" + std::to_string(node.zone);
    settings.address = "10.0.0.1:7100";
    for (const auto& [name, host] : hosts) {
      if (host.region == node.region) {
        settings.registries.push_back(name);
      }
    }
    LeaseClientHooks hooks;
    hooks.send = SenderFor(node.name);
    hooks.random = random_;
    hooks.next_incarnation = [&node](std::uint64_t above) {
      node.source->RaiseAbove(above);
      return node.source->Next();
    };
    hooks.on_view_changed = [this, &node](const std::string& service) { CheckView(node, service); };
    views_.erase(node.name);
    node.client = std::make_unique<LeaseClient>(settings, std::move(hooks), now);
    LeaseClient* client = node.client.get();
    node.upstream = std::make_unique<LocalUpstream>(
        LocalUpstreamSettings{},
        [client](const std::optional<UpstreamData>& data, base::TimePoint when) {
          client->SetUpstream(data, when);
        });
    Call(node);
    Announce(node);
  }

  void Call(Node& node) {
    for (const std::string& service : node.calls) {
      node.client->Use(service, now);
    }
  }

  void Announce(Node& node) {
    if (node.upstream->Announce({node.service, "10.0.0.1:8080", 70, 500, seconds(30)}, now) ==
        AnnounceRefusal::kNone) {
      node.upstream->ConfirmReachable(now);
    }
    node.announced = now;
  }

  /** Advances the clock tick by tick and delivers what arrives meanwhile. */
  void Run(base::Duration duration) {
    const base::TimePoint end = now + duration;
    while (now < end) {
      const base::TimePoint next = now + tick;
      while (!queue_.empty() && queue_.top().due <= next) {
        const Packet packet = queue_.top();
        queue_.pop();
        now = std::max(now, packet.due);
        Deliver(packet);
        ++steps;
      }
      now = next;
      Tick();
    }
  }

  bool IsUp(const std::string& name) const {
    const auto host = hosts.find(name);
    return host != hosts.end() ? host->second.registry != nullptr
                               : nodes.at(name).client != nullptr;
  }

  Traffic& TrafficOf(const std::string& name) { return traffic_[name]; }
  void ClearTraffic() { traffic_.clear(); }

  /** Checks that registries and directories agree with what is running. Throws when not. */
  void CheckConverged() const {
    for (const auto& [name, host] : hosts) {
      for (const auto& [node_name, node] : nodes) {
        if (node.region != host.region) {
          continue;
        }
        const auto entry = host.registry->entries().find(node_name);
        const bool is_known = entry != host.registry->entries().end();
        Require(is_known, name + " does not know " + node_name);
        Require(entry != host.registry->entries().end() &&
                    entry->second.state != EntryState::kRemoved &&
                    entry->second.state != EntryState::kUnreachable &&
                    entry->second.record == node.client->record(),
                name + " holds " + Describe(entry->second.record) + " in state " +
                    std::to_string(static_cast<int>(entry->second.state)) + " instead of " +
                    Describe(node.client->record()));
      }
    }
    for (const auto& [name, node] : nodes) {
      for (const std::string& service : node.calls) {
        const View seen = SeenBy(node, service);
        const View truth = TruthOf(service);
        Require(seen == truth, name + " sees " + Describe(seen) + " of " + service +
                                   " instead of " + Describe(truth));
      }
    }
  }

  static void Require(bool condition, const std::string& what) {
    if (!condition) {
      throw std::runtime_error(what);
    }
  }

  std::uint64_t Draw(std::uint64_t bound) { return base::DrawBelow(random_, bound); }
  static std::string RegionName(int region) { return "region-" + std::to_string(region); }

  base::TimePoint now = base::TimePoint() + std::chrono::hours(1);
  std::map<std::string, Node> nodes;
  std::map<std::string, Host> hosts;
  std::set<std::pair<std::string, std::string>> cut;  // Directed links that lose everything.
  std::set<std::pair<int, int>> cut_regions;
  bool has_calls = true;  // Whether nodes go on calling their services.
  milliseconds tick{50};
  double loss = 0;
  double duplication = 0;
  milliseconds extra_delay{0};  // Upper bound of random extra delay; it reorders messages.
  std::uint64_t steps = 0;

 private:
  struct Packet {
    base::TimePoint due;
    std::uint64_t order = 0;
    std::string from;
    std::string to;
    std::shared_ptr<const std::string> bytes;

    bool operator<(const Packet& other) const {
      return std::pair(due, order) > std::pair(other.due, other.order);
    }
  };
  struct Seen {
    Stamp stamp;
    NodeRecord record;
    bool is_fenced = false;
  };

  void AddNode(int region, int index) {
    const std::string name = "r" + std::to_string(region) + "-n" + std::to_string(index);
    Node& node = nodes[name];
    node.name = name;
    node.region = region;
    node.zone = index % 3;
    node.service = "service-" + std::to_string((index / 3 + region) % size_.services);
    for (int call = 0; call < size_.subscriptions; ++call) {
      node.calls.push_back("service-" + std::to_string((index + call * 7 + call) % size_.services));
    }
    std::sort(node.calls.begin(), node.calls.end());
    node.calls.erase(std::unique(node.calls.begin(), node.calls.end()), node.calls.end());
    StartNode(node);
  }

  Send SenderFor(const std::string& from) {
    return [this, from](const std::string& to, const Message& message) {
      Post(from, to, std::make_shared<const std::string>(Encode(message)));
    };
  }

  int RegionOf(const std::string& name) const { return name[1] - '0'; }

  void Post(const std::string& from, const std::string& to,
            std::shared_ptr<const std::string> bytes) {
    traffic_[from].messages += 1;
    traffic_[from].bytes += bytes->size();
    const int copies = base::DrawFraction(random_) < duplication ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      if (base::DrawFraction(random_) < loss) {
        continue;
      }
      const milliseconds base_delay(RegionOf(from) == RegionOf(to) ? 5 : 40);
      const milliseconds extra(Draw(static_cast<std::uint64_t>(extra_delay.count()) + 1));
      queue_.push(Packet{now + base_delay + extra, ++order_, from, to, bytes});
    }
  }

  void Deliver(const Packet& packet) {
    const auto regions = std::pair(RegionOf(packet.from), RegionOf(packet.to));
    if (cut.contains({packet.from, packet.to}) || cut_regions.contains(regions) ||
        !IsUp(packet.to)) {
      return;
    }
    traffic_[packet.to].messages += 1;
    traffic_[packet.to].bytes += packet.bytes->size();
    const Message message = Decode(*packet.bytes);
    const auto host = hosts.find(packet.to);
    if (host != hosts.end()) {
      host->second.registry->Receive(message, now);
      CheckFences(host->second);
    } else {
      nodes.at(packet.to).client->Receive(message, now);
    }
  }

  void Tick() {
    for (auto& [name, node] : nodes) {
      if (node.client) {
        if (node.upstream->is_accepting() && now - node.announced >= seconds(5)) {
          Announce(node);
        }
        if (has_calls) {
          Call(node);
        }
        node.upstream->Tick(now);
        node.client->Tick(now);
        ++steps;
      }
    }
    for (auto& [name, host] : hosts) {
      if (host.registry) {
        host.registry->Tick(now);
        for (const auto& [node, entry] : host.registry->entries()) {
          if (entry.state == EntryState::kRemoved) {
            std::uint64_t& fence = host.fences[node];
            fence = std::max(fence, entry.record.stamp.incarnation);
          }
        }
        CheckFences(host);
        ++steps;
      }
    }
  }

  /** A removed incarnation never comes back on the registry that removed it. */
  static void CheckFences(const Host& host) {
    for (const auto& [node, fence] : host.fences) {
      const LeaseEntry& entry = host.registry->entries().at(node);
      Require(entry.state == EntryState::kRemoved ? entry.record.stamp.incarnation >= fence
                                                  : entry.record.stamp.incarnation > fence,
              host.name + " shows a removed incarnation of " + node);
    }
  }

  /** Records only move forward, and a directory holds only the services that its node calls. */
  void CheckView(const Node& node, const std::string& service) {
    Require(std::find(node.calls.begin(), node.calls.end(), service) != node.calls.end(),
            node.name + " holds a service that it does not call");
    for (const RecordEntry& entry : node.client->directory().Upstreams(service)) {
      Seen& seen = views_[node.name][service + '/' + entry.record.node];
      Require(entry.record.stamp >= seen.stamp, node.name + " went back to an older record");
      Require(seen.record.node.empty() || entry.record.stamp == seen.stamp ||
                  IsAllowedTransition(seen.record, entry.record),
              node.name + " took back a leaving upstream");
      seen.stamp = entry.record.stamp;
      seen.record = entry.record;
    }
  }

  using View = std::map<std::string, std::pair<Stamp, UpstreamState>>;

  static View SeenBy(const Node& node, const std::string& service) {
    View view;
    for (const RecordEntry& entry : node.client->directory().Upstreams(service)) {
      if (entry.state != EntryState::kUnreachable) {
        view[entry.record.node] = {entry.record.stamp, entry.record.upstream->state};
      }
    }
    return view;
  }

  static std::string Describe(const NodeRecord& record) {
    return record.node + "@" + std::to_string(record.stamp.incarnation) + "." +
           std::to_string(record.stamp.revision);
  }

  static std::string Describe(const View& view) {
    std::string text;
    for (const auto& [node, item] : view) {
      text += node + "@" + std::to_string(item.first.incarnation) + "." +
              std::to_string(item.first.revision) + ":" +
              std::to_string(static_cast<int>(item.second)) + " ";
    }
    return text;
  }

  View TruthOf(const std::string& service) const {
    View view;
    for (const auto& [name, node] : nodes) {
      const auto data = node.upstream->data();
      if (data.has_value() && data->service == service) {
        view[name] = {node.client->record().stamp, data->state};
      }
    }
    return view;
  }

  WorldSize size_;
  base::Random random_;
  std::uint64_t order_ = 0;
  std::priority_queue<Packet> queue_;
  std::map<std::string, Traffic> traffic_;
  std::map<std::string, std::map<std::string, Seen>> views_;
};

}  // namespace borageloft::membership

#endif  // BORAGELOFT_TESTS_MEMBERSHIP_WORLD_H_
