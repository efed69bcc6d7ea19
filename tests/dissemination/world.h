#ifndef BORAGELOFT_TESTS_DISSEMINATION_WORLD_H_
#define BORAGELOFT_TESTS_DISSEMINATION_WORLD_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "libraries/dissemination/dissemination.h"

namespace borageloft::dissemination {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Size and shape of a simulated deployment. */
struct WorldSize {
  int nodes = 100;
  int regions = 3;
  int zones = 11;
  int hosts = 5;  // Control hosts of each region.
  std::size_t fan_out = 8;
  OrphanPolicy policy = OrphanPolicy::kNearestAncestor;
};

/** Messages and bytes that a process sent and received. */
struct Traffic {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
};

/**
 * Control hosts and nodes on a manual clock. The replicated log is a stand-in: an accepted note
 * reaches each control host after one link delay, later when packets are lost or regions are cut.
 */
class World {
 public:
  struct Process {
    std::string name;
    int region = 0;
    std::string zone;
    std::uint64_t life = 0;
    std::uint64_t state = 0;  // Hash over all notes in force.
    std::uint64_t reached = 0;
    base::TimePoint started;
    base::TimePoint down_since;
    std::unique_ptr<TreeNode> tree;
    std::unique_ptr<TreePlan> plan;  // On the first control host of each region.
  };

  World(WorldSize size, std::uint64_t seed) : size_(size), random_(base::SeededRandom(seed)) {
    for (int index = 0; index < size.regions * size.hosts; ++index) {
      Process& host = AddProcess("c", index, index % size.regions);
      host_names_.push_back(host.name);
    }
    for (const std::string& name : host_names_) {
      Start(processes.at(name), 0);
    }
    for (int index = 0; index < size.nodes; ++index) {
      const int zone = index % size.zones;
      Process& node = AddProcess("n", index, zone % size.regions);
      node.zone = "z" + std::to_string(zone);
      Start(node, 0);
    }
    UpdateExpected();
  }

  /** Accepts the next release note at the leader. */
  void Submit() {
    ReleaseNote note;
    note.number = ++submitted;
    note.payload = "note " + std::to_string(note.number) + std::string(note_bytes, 'x');
    note.digest = base::Digest(note.payload);
    states_.push_back(Next(states_.back(), note));
    notes_.push_back({note, now});
  }

  void Crash(Process& process) {
    process.tree.reset();
    process.down_since = now;
  }

  /** @param number Persisted number in force; at most what the process had reached. */
  void Start(Process& process, std::uint64_t number) {
    const bool is_host = IsHost(process.name);
    TreeNodeSettings settings;
    settings.node = process.name;
    settings.zone = process.zone;
    settings.role = is_host ? TreeRole::kControlHost : TreeRole::kNode;
    settings.orphan_policy = size_.policy;
    for (const std::string& name : host_names_) {
      if (processes.at(name).region == process.region) {
        settings.control_hosts.push_back(name);
      }
      if (is_host && name != process.name) {
        settings.report_to.push_back(name);
      }
    }
    if (is_host) {
      settings.maximum_children = 16'384;
    }
    if (is_host && process.name == settings.control_hosts.front()) {
      process.plan = std::make_unique<TreePlan>(
          TreePlanSettings{settings.control_hosts, size_.fan_out, std::chrono::minutes(10)},
          process.life + 1);
    }
    ++process.life;
    process.state = states_.at(number);
    process.started = now;
    process.tree =
        std::make_unique<TreeNode>(settings, HooksFor(process), process.life, number, now);
  }

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

  /** @return Whether each running process of the given region (-1: all) has @p number in force. */
  bool IsEverywhere(std::uint64_t number, int region = -1) const {
    return std::all_of(processes.begin(), processes.end(), [&](const auto& item) {
      const Process& process = item.second;
      return !process.tree || (region >= 0 && process.region != region) ||
             process.tree->number() >= number;
    });
  }

  /** @return Whether each running node is joined to a control host through running parents. */
  bool IsJoined() const {
    return std::all_of(processes.begin(), processes.end(), [&](const auto& item) {
      const Process* process = &item.second;
      if (!process->tree) {
        return true;
      }
      for (int level = 0; level < 32; ++level) {
        if (IsHost(process->name)) {
          return true;
        }
        const auto parent = processes.find(process->tree->parent());
        if (parent == processes.end() || !parent->second.tree) {
          return false;
        }
        process = &parent->second;
      }
      return false;
    });
  }

  /** Tells planners and the tracker what the registry would know: nodes long down are removed. */
  void UpdateExpected() {
    std::map<std::string, std::vector<std::string>> reachable;
    std::map<std::string, std::vector<std::string>> unreachable;
    for (const auto& [name, process] : processes) {
      if (IsHost(name)) {
        continue;
      }
      const bool is_cut = cut_regions.contains(process.region);
      const bool is_up = process.tree || now - process.down_since < removed_after;
      if (is_up) {
        (is_cut ? unreachable : reachable)[process.zone].push_back(name);
      } else {
        for (const std::string& host : host_names_) {
          Process& planner = processes.at(host);
          if (planner.plan && planner.region == process.region) {
            planner.plan->Remove(name);
          }
        }
      }
    }
    for (int zone = 0; zone < size_.zones; ++zone) {
      const std::string name = "z" + std::to_string(zone);
      tracker.SetExpected(name, reachable[name], unreachable[name]);
      expected_[name] = reachable[name];
    }
  }

  static bool IsHost(const std::string& name) { return name[0] == 'c'; }

  static void Require(bool condition, const std::string& what) {
    if (!condition) {
      throw std::runtime_error(what);
    }
  }

  std::uint64_t Draw(std::uint64_t bound) { return base::DrawBelow(random_, bound); }
  Traffic& TrafficOf(const std::string& name) { return traffic_[name]; }
  void ClearTraffic() { traffic_.clear(); }

  base::TimePoint now = base::TimePoint() + std::chrono::hours(1);
  std::map<std::string, Process> processes;
  std::set<std::pair<std::string, std::string>> cut;  // Directed links that lose everything.
  std::set<int> cut_regions;                          // Regions without contact to the others.
  InForceTracker tracker;                             // On the first control host.
  double loss = 0;
  double duplication = 0;
  milliseconds extra_delay{0};
  milliseconds tick{25};
  seconds removed_after{6};
  std::size_t note_bytes = 200;
  std::uint64_t submitted = 0;
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

  static std::uint64_t Next(std::uint64_t state, const ReleaseNote& note) {
    return base::Hash(note.payload, state);
  }

  Process& AddProcess(const char* kind, int index, int region) {
    const std::string name = kind + std::to_string(index);
    Process& process = processes[name];
    process.name = name;
    process.region = region;
    return process;
  }

  TreeNodeHooks HooksFor(Process& process) {
    TreeNodeHooks hooks;
    hooks.send = [this, from = process.name](const std::string& to, const Message& message) {
      Post(from, to, std::make_shared<const std::string>(Encode(message)));
    };
    hooks.random = random_;
    hooks.apply = [this, &process](const ReleaseNote& note) {
      process.state = Next(process.state, note);
      Require(process.state == states_.at(note.number), process.name + " skipped a note");
      return true;
    };
    hooks.install = [this, &process](const ReleaseNote& snapshot) {
      process.state = std::stoull(snapshot.payload);
      Require(process.state == states_.at(snapshot.number), process.name + " took a wrong state");
      return true;
    };
    hooks.snapshot = [this, &process] { return SnapshotAt(process.tree->number()); };
    if (process.name == "c0") {
      hooks.on_report = [this](const StatusUp& report, base::TimePoint when) {
        tracker.Report(report, when);
      };
    }
    return hooks;
  }

  ReleaseNote SnapshotAt(std::uint64_t number) const {
    const std::string digest = number == 0 ? "" : notes_.at(number - 1).first.digest;
    return {number, digest, std::to_string(states_.at(number))};
  }

  bool IsCut(const Process& from, const Process& to) const {
    return from.region != to.region &&
           (cut_regions.contains(from.region) || cut_regions.contains(to.region));
  }

  void Post(const std::string& from, const std::string& to,
            std::shared_ptr<const std::string> bytes) {
    Traffic& traffic = traffic_[from];
    traffic.messages += 1;
    traffic.bytes += bytes->size();
    const int copies = duplication > 0 && base::DrawFraction(random_) < duplication ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      if (loss > 0 && base::DrawFraction(random_) < loss) {
        continue;
      }
      const bool is_near = processes.at(from).region == processes.at(to).region;
      const milliseconds extra(Draw(static_cast<std::uint64_t>(extra_delay.count()) + 1));
      queue_.push(Packet{now + milliseconds(is_near ? 5 : 40) + extra, ++order_, from, to, bytes});
    }
  }

  void Deliver(const Packet& packet) {
    Process& process = processes.at(packet.to);
    if (!process.tree || cut.contains({packet.from, packet.to}) ||
        IsCut(processes.at(packet.from), process)) {
      return;
    }
    Traffic& traffic = traffic_[packet.to];
    traffic.messages += 1;
    traffic.bytes += packet.bytes->size();
    const Message message = Decode(*packet.bytes);
    const auto* request = std::get_if<PositionRequest>(&message);
    if (request != nullptr && process.plan) {
      Post(process.name, packet.from,
           std::make_shared<const std::string>(Encode(process.plan->Handle(*request, now))));
      return;
    }
    const std::uint64_t before = process.tree->number();
    process.tree->Receive(packet.from, message, now);
    Require(process.tree->number() >= before, process.name + " went backwards");
    process.reached = std::max(process.reached, process.tree->number());
  }

  void Tick() {
    for (auto& [name, process] : processes) {
      if (!process.tree) {
        continue;
      }
      if (IsHost(name)) {
        LearnNotes(process);
      }
      process.tree->Tick(now);
      if (process.plan) {
        for (const std::string& node : process.plan->TakeChanged()) {
          Post(name, node,
               std::make_shared<const std::string>(Encode(*process.plan->PositionOf(node))));
        }
      }
      ++steps;
    }
    CheckTracker();
  }

  /** Stand-in for the replicated log; the leader is c0. */
  void LearnNotes(Process& host) {
    const Process& leader = processes.at("c0");
    if (host.tree->number() == submitted || IsCut(leader, host)) {
      return;
    }
    const milliseconds delay(host.name == "c0" ? 0 : host.region == leader.region ? 5 : 40);
    if (submitted - host.tree->number() > 64 && now - notes_.back().second >= delay) {
      host.tree->AcceptSnapshot(SnapshotAt(submitted), now);
    }
    while (host.tree->number() < submitted) {
      const auto& [note, accepted] = notes_.at(host.tree->number());
      // A lost packet of the log is repeated by its next heartbeat, here after 100 ms.
      const bool is_lost = loss > 0 && base::DrawFraction(random_) < loss;
      if (now - accepted < delay || (is_lost && now - accepted < delay + milliseconds(100))) {
        return;
      }
      host.tree->Accept(note, now);
    }
  }

  /** A number that the tracker calls in force was reached by each expected node. */
  void CheckTracker() {
    for (const ZoneStatus& status : tracker.Status(now)) {
      std::uint64_t& checked = checked_[status.zone];
      if (status.in_force <= checked) {
        continue;
      }
      checked = status.in_force;
      for (const std::string& name : expected_[status.zone]) {
        Require(processes.at(name).reached >= status.in_force,
                name + " lacks the note that is called in force");
      }
    }
  }

  WorldSize size_;
  base::Random random_;
  std::uint64_t order_ = 0;
  std::priority_queue<Packet> queue_;
  std::vector<std::string> host_names_;
  std::vector<std::pair<ReleaseNote, base::TimePoint>> notes_;
  std::vector<std::uint64_t> states_{0};  // By number in force.
  std::map<std::string, Traffic> traffic_;
  std::map<std::string, std::vector<std::string>> expected_;
  std::map<std::string, std::uint64_t> checked_;
};

}  // namespace borageloft::dissemination

#endif  // BORAGELOFT_TESTS_DISSEMINATION_WORLD_H_
