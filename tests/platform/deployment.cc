#include "tests/platform/deployment.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>

#include "platform/platform_dialect.h"

namespace borageloft::platform {

namespace {

constexpr std::chrono::milliseconds kStep{10};
constexpr std::chrono::milliseconds kHeartbeatInterval{1500};
constexpr std::chrono::milliseconds kGrace{6000};
constexpr std::chrono::milliseconds kCallTimeout{1000};
// Time by which the operator's list of control hosts lags.
constexpr std::chrono::milliseconds kListLag{3000};
constexpr std::size_t kControlHosts = 5;
constexpr std::size_t kZones = 3;
constexpr std::size_t kSeeds = 3;
constexpr int kCallPort = 8306;
constexpr int kPeerPort = 7620;
constexpr const char* kService = "parts";

std::string AddressOf(const std::string& host) { return host.substr(0, host.find(':')); }

std::string ControlName(std::size_t number) {
  return fmt::format("10.0.0.{}:{}", number, kPeerPort);
}

}  // namespace

Deployment::Deployment(std::uint64_t seed, std::size_t nodes) : random(base::SeededRandom(seed)) {
  // DEPLOYMENT_LOG shows what the processes log, in simulated time.
  const bool shows_log = std::getenv("DEPLOYMENT_LOG") != nullptr;
  base::ReplaceLogSink([this, shows_log](std::string_view line) {
    if (shows_log) {
      fmt::print("{:.3f} {} {}\n", std::chrono::duration<double>(now_.time_since_epoch()).count(),
                 running_, line);
    }
  });
  for (std::size_t i = 1; i <= kControlHosts; ++i) {
    AddControl();
  }
  listed_.assign(1, {base::TimePoint{}, control_hosts()});
  first_seeds_ = control_hosts();
  first_seeds_.resize(kSeeds);
  for (std::size_t i = 1; i <= nodes; ++i) {
    nodes_.push_back(fmt::format("10.1.{}.{}:{}", i / 200, i % 200 + 1, kPeerPort));
    Host& host = hosts_[nodes_.back()];
    host.zone = fmt::format("z{}", i % kZones);
    host.upstream.instance = fmt::format("i-{}", i);
  }
}

Deployment::~Deployment() {
  scheduled_.clear();
  for (auto& [name, host] : hosts_) {
    EndProcess(host);
  }
  base::ReplaceLogSink({});
}

std::string Deployment::AddControl() {
  const std::string name = ControlName(++last_control_);
  Host& host = hosts_[name];
  host.is_control = true;
  host.zone = fmt::format("z{}", last_control_ % kZones);
  host.disk = std::make_unique<storage::FaultyFileSystem>(random());
  listed_.emplace_back(now_, control_hosts());
  return name;
}

void Deployment::StartAll() {
  for (auto& [name, host] : hosts_) {
    Schedule(std::chrono::milliseconds(base::DrawBelow(random, 300)), [this, name = name] {
      if (hosts_.at(name).is_control) {
        StartControl(name, StartKind::kFirst);
      } else {
        StartNode(name);
      }
    });
  }
}

std::string Deployment::SettingsOf(const std::string& host, StartKind kind) const {
  std::vector<std::string> seeds = kind == StartKind::kFirst ? first_seeds_ : ListedControlHosts();
  if (kind == StartKind::kLater && seeds.size() > kSeeds) {
    std::rotate(seeds.begin(),
                seeds.begin() + static_cast<std::ptrdiff_t>(base::DrawBelow(random, seeds.size())),
                seeds.end());
    seeds.resize(kSeeds);
  }
  for (std::string& seed : seeds) {
    seed = fmt::format("{}:{}", AddressOf(seed), kCallPort);
  }
  const Host& state = hosts_.at(host);
  const std::string ip = AddressOf(host);
  std::string text =
      fmt::format("[mesh]\nname = n\nzone = {}\nrole = {}\n[listen]\ncalls = {}:{}\npeers = {}\n",
                  state.zone, state.is_control ? "control" : "node", ip, kCallPort, host);
  if (!state.is_control) {
    text += fmt::format(
        "callers = {0}:8304\nreadiness = {0}:8302\n[upstream]\naddress = {0}:8301\n"
        "service = {1}\nheartbeat_interval = {2}ms\n",
        ip, kService, kHeartbeatInterval.count());
  }
  text += "[accounts]\nrevocation_time = 5s\n";
  text += fmt::format("[control]\nseeds = {}\n", fmt::join(seeds, ","));
  if (state.is_control) {
    text += fmt::format("first_start = {}\ntolerated_losses = 2\ndata_folder = /data\n",
                        kind == StartKind::kFirst ? "yes" : "no");
  }
  return text;
}

void Deployment::StartControl(const std::string& name, StartKind kind) {
  const auto found = hosts_.find(name);
  if (found == hosts_.end() || found->second.is_running()) {
    return;
  }
  Host& host = found->second;
  host.incarnation = ++last_incarnation_;
  running_ = name;
  Log("start");
  try {
    const mesh::MeshSettings settings = mesh::ParseMeshSettings(SettingsOf(name, kind), name);
    host.hooks = std::make_unique<storage::FileSystem>(host.disk->Hooks());
    host.folder = std::make_unique<storage::DataFolder>(*host.hooks, settings.data_folder);
    host.timers = std::make_unique<timer::TimerService>([this] { return now_; });
    mesh::ControlServiceHooks hooks;
    hooks.clock = [this] { return now_; };
    hooks.suspension_aware_clock = hooks.clock;
    hooks.random = base::SeededRandom(random());
    hooks.send = [this, name](const std::string& to, wire::Channel channel, std::string payload) {
      Send(name, to, channel, std::move(payload));
    };
    host.control = std::make_unique<mesh::ControlService>(
        settings, MakePlatformDialect(), std::move(hooks), *host.folder, *host.timers);
    host.control->Start();
  } catch (const base::Error& error) {
    // As a process that ends at its start, it is started again.
    if (!host.disk->has_failed()) {
      failed_starts_[name] = error.what();
    }
    EndProcess(host);
    Schedule(std::chrono::milliseconds(500),
             [this, name] { StartControl(name, StartKind::kLater); });
  }
}

void Deployment::StartNode(const std::string& name) {
  Host& host = hosts_.at(name);
  if (host.is_running()) {
    return;
  }
  host.incarnation = ++last_incarnation_;
  if (host.upstream.born == 0) {
    StartUpstream(host);
  }
  try {
    const StartKind kind = listed_.size() == 1 ? StartKind::kFirst : StartKind::kLater;
    const mesh::MeshSettings settings = mesh::ParseMeshSettings(SettingsOf(name, kind), name);
    host.timers = std::make_unique<timer::TimerService>([this] { return now_; });
    mesh::NodePresenceHooks hooks;
    hooks.clock = [this] { return now_; };
    hooks.suspension_aware_clock = hooks.clock;
    hooks.send = [this, name](const std::string& to, std::string payload) {
      Send(name, to, wire::Channel::kMembership, std::move(payload));
    };
    hooks.send_probe = [this, name](const std::string&,
                                    const mesh::InstanceProbeHooks::AnswerHandler& handler) {
      http_stream::ResponseMessage answer;
      answer.status = 200;
      answer.fields.push_back(
          {MakePlatformDialect().headers.instance, hosts_.at(name).upstream.instance});
      handler(answer);
    };
    hooks.describe_load = [](directory::InstanceRecord&) {};
    hooks.on_declaration = [](const declaration::Declaration&) {};
    hooks.on_records = [](const directory::NodeSet&) {};
    hooks.on_own_record = [this, name](const directory::InstanceRecord& record) {
      CheckRecord(name, record);
    };
    hooks.on_instance_lost = [] {};
    host.presence = std::make_unique<mesh::NodePresence>(
        settings, WallClockOf(host), MakePlatformDialect(), std::move(hooks), *host.timers);
    host.presence->Start();
  } catch (const base::Error& error) {
    failed_starts_[name] = error.what();
    EndProcess(host);
    Schedule(std::chrono::milliseconds(500), [this, name] { StartNode(name); });
  }
}

void Deployment::EndProcess(Host& host) {
  host.control.reset();
  host.presence.reset();
  host.timers.reset();
  host.folder.reset();
  host.hooks.reset();
  host.incarnation = ++last_incarnation_;
  host.is_frozen = false;
}

void Deployment::Log(const char* action) { base::Log(base::LogLevel::kInfo, action); }

void Deployment::Kill(const std::string& host) {
  running_ = host;
  Log("kill");
  EndProcess(hosts_.at(host));
}

void Deployment::LosePower(const std::string& name) {
  running_ = name;
  Log("lose_power");
  Host& host = hosts_.at(name);
  EndProcess(host);
  if (host.disk) {
    host.disk->LosePower(base::DrawBelow(random, 2) == 0 ? storage::PowerLoss::kLoseUnsynced
                                                         : storage::PowerLoss::kTearUnsynced);
  }
  host.upstream.born = 0;
}

void Deployment::WipeDisk(const std::string& name) {
  running_ = name;
  Log("wipe_disk");
  Host& host = hosts_.at(name);
  EndProcess(host);
  host.disk = std::make_unique<storage::FaultyFileSystem>(random());
}

void Deployment::Remove(const std::string& host) {
  running_ = host;
  Log("remove");
  EndProcess(hosts_.at(host));
  hosts_.erase(host);
  listed_.emplace_back(now_, control_hosts());
}

void Deployment::StopAndRemove(const std::string& host) {
  const auto is_stopped = std::make_shared<bool>(false);
  hosts_.at(host).control->Shutdown([this, host, is_stopped] {
    // Deferred, because the process must not be destroyed by its own callback.
    if (!std::exchange(*is_stopped, true)) {
      Schedule(std::chrono::milliseconds(0), [this, host] { Remove(host); });
    }
  });
  Schedule(kGrace, [this, host, is_stopped] {
    if (!std::exchange(*is_stopped, true)) {
      Remove(host);
    }
  });
}

void Deployment::SetFrozen(const std::string& host, bool is_frozen) {
  running_ = host;
  Log(is_frozen ? "freeze" : "thaw");
  if (const auto found = hosts_.find(host); found != hosts_.end()) {
    found->second.is_frozen = is_frozen;
  }
}

void Deployment::StepClock(const std::string& host, std::chrono::milliseconds step) {
  hosts_.at(host).clock_offset += step;
}

void Deployment::FailDisk(const std::string& host, std::uint64_t operation) {
  hosts_.at(host).disk->FailAt(operation);
}

void Deployment::Schedule(std::chrono::milliseconds delay, std::function<void()> action) {
  scheduled_.emplace(now_ + delay, std::move(action));
}

void Deployment::Advance(std::chrono::milliseconds time) {
  for (const base::TimePoint end = now_ + time; now_ < end;) {
    now_ += kStep;
    while (!scheduled_.empty() && scheduled_.begin()->first <= now_) {
      const std::function<void()> action = std::move(scheduled_.begin()->second);
      scheduled_.erase(scheduled_.begin());
      action();
    }
    for (auto& [name, host] : hosts_) {
      if (host.timers && !host.is_frozen) {
        running_ = name;
        host.timers->RunDue();
      }
    }
    RunUpstreams();
  }
}

void Deployment::Send(const std::string& from, const std::string& to, wire::Channel channel,
                      std::string payload) {
  const auto target = hosts_.find(to);
  if (target == hosts_.end() || (is_cut && is_cut(from, to)) || base::DrawBelow(random, 1000) < 5) {
    return;
  }
  Schedule(std::chrono::milliseconds(1 + base::DrawBelow(random, 12)),
           [this, packet = Packet{from, to, channel, std::move(payload),
                                  target->second.incarnation}] { Deliver(packet); });
}

void Deployment::Deliver(const Packet& packet) {
  const auto target = hosts_.find(packet.to);
  if (target == hosts_.end() || target->second.incarnation != packet.incarnation) {
    return;
  }
  Host& host = target->second;
  running_ = packet.to;
  if (host.is_frozen) {
    Schedule(std::chrono::milliseconds(50), [this, packet] { Deliver(packet); });
  } else if (host.control) {
    host.control->HandleControl(packet.from, packet.channel, packet.payload);
  } else if (host.presence) {
    host.presence->HandleControl(packet.from, packet.payload);
  }
}

void Deployment::Call(const std::string& host, http_stream::RequestMessage message,
                      std::function<void(const http_stream::ResponseMessage&)> done,
                      int redirections) {
  const auto is_done = std::make_shared<bool>(false);
  const auto finish = [is_done, done](const http_stream::ResponseMessage& response) {
    if (!std::exchange(*is_done, true)) {
      done(response);
    }
  };
  Schedule(kCallTimeout, [finish] { finish({}); });
  const auto target = hosts_.find(host);
  if (target == hosts_.end() || !target->second.control) {
    return;
  }
  Schedule(std::chrono::milliseconds(1 + base::DrawBelow(random, 12)),
           [this, host, message, finish, redirections, incarnation = target->second.incarnation] {
             const auto found = hosts_.find(host);
             if (found == hosts_.end() || found->second.incarnation != incarnation ||
                 found->second.is_frozen) {
               return;
             }
             const auto respond = [this, message, finish,
                                   redirections](http_stream::ResponseMessage response) {
               const std::string* location = http_stream::FindField(response.fields, "Location");
               if (response.status == 307 && redirections > 0 && location != nullptr) {
                 const std::string address = location->substr(std::string("http://").size());
                 Call(AddressOf(address) + ":" + std::to_string(kPeerPort), message, finish,
                      redirections - 1);
                 return;
               }
               Schedule(std::chrono::milliseconds(1 + base::DrawBelow(random, 12)),
                        [finish, response] { finish(response); });
             };
             found->second.control->HandleCall(message, respond);
           });
}

std::uint64_t Deployment::WallClockOf(const Host& host) const {
  constexpr std::chrono::milliseconds kUnixTime{1'750'000'000'000};
  const auto elapsed =
      std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch());
  return static_cast<std::uint64_t>((kUnixTime + elapsed + host.clock_offset).count());
}

void Deployment::StartUpstream(Host& host) {
  host.upstream.born = WallClockOf(host);
  host.upstream.sequence = 0;
  host.upstream.is_leaving = false;
  host.upstream.next_heartbeat = now_ + std::chrono::milliseconds(base::DrawBelow(random, 1000));
}

void Deployment::ReplaceUpstream(const std::string& name) {
  constexpr std::chrono::milliseconds kDrain{2500};
  Upstream& upstream = hosts_.at(name).upstream;
  if (upstream.is_leaving || upstream.born == 0) {
    return;
  }
  upstream.is_leaving = true;
  upstream.next_heartbeat = now_;
  Schedule(kDrain, [this, name, born = upstream.born] {
    Host& host = hosts_.at(name);
    if (host.upstream.born == born) {
      host.upstream.instance += "n";
      StartUpstream(host);
    }
  });
}

void Deployment::CheckRecord(const std::string& node,
                             const directory::InstanceRecord& record) const {
  const auto& departed = hosts_.at(node).departed;
  // A record without a start is of a process that only its health answers have named.
  const bool may_have_left =
      departed && directory::MayBeSame({record.instance, record.born}, *departed);
  if (may_have_left) {
    EXPECT_EQ(record.state, directory::InstanceState::kLeaving)
        << node << " offers " << record.instance << ", whose departure it has acknowledged";
  }
}

void Deployment::RunUpstreams() {
  for (const std::string& name : nodes_) {
    Host& host = hosts_.at(name);
    if (host.upstream.born == 0 || host.upstream.next_heartbeat > now_) {
      continue;
    }
    host.upstream.next_heartbeat = now_ + kHeartbeatInterval;
    if (!host.presence || host.is_frozen) {
      continue;
    }
    directory::Heartbeat heartbeat;
    heartbeat.instance = host.upstream.instance;
    heartbeat.service = kService;
    heartbeat.born = host.upstream.born;
    heartbeat.sequence = ++host.upstream.sequence;
    heartbeat.slots = 8;
    heartbeat.state = host.upstream.is_leaving ? directory::InstanceState::kLeaving
                                               : directory::InstanceState::kServing;
    host.presence->HandleHeartbeat(
        heartbeat, [this, name, heartbeat](mesh::AnnouncementOutcome outcome) {
          if (heartbeat.state == directory::InstanceState::kLeaving &&
              outcome == mesh::AnnouncementOutcome::kTaken) {
            hosts_.at(name).departed = directory::Incarnation{heartbeat.instance, heartbeat.born};
          }
        });
  }
}

bool Deployment::IsRunning(const std::string& host) const {
  const auto found = hosts_.find(host);
  return found != hosts_.end() && found->second.is_running() && !found->second.is_frozen;
}

Deployment::NodeView Deployment::ViewOf(const std::string& node) const {
  const Host& host = hosts_.at(node);
  if (!host.presence) {
    return {};
  }
  const mesh::StartupState state = host.presence->startup_state();
  return {host.presence->version(), state.has_instance && state.has_recalled_departures,
          state.instances, host.presence->AreKeysFresh()};
}

std::vector<std::string> Deployment::control_hosts() const {
  std::vector<std::string> names;
  for (const auto& [name, host] : hosts_) {
    if (host.is_control) {
      names.push_back(name);
    }
  }
  return names;
}

std::vector<std::string> Deployment::ListedControlHosts() const {
  std::vector<std::string> names;
  for (const auto& [since, hosts] : listed_) {
    if (since <= now_ - kListLag) {
      names = hosts;
    }
  }
  return names;
}

std::string Deployment::Leader() const {
  std::string leader;
  consensus::Term term = 0;
  for (const auto& [name, host] : hosts_) {
    if (!host.control || host.is_frozen) {
      continue;
    }
    const consensus::SoftState state = host.control->member().status().replica_host.soft_state;
    if (state.role == consensus::Role::kLeader && state.term > term) {
      leader = name;
      term = state.term;
    }
  }
  return leader;
}

bool Deployment::HasAllVoters() const {
  std::size_t voters = 0;
  const std::vector<std::string> names = control_hosts();
  for (const std::string& name : names) {
    const Host& host = hosts_.at(name);
    if (!host.control || !host.control->member().IsCurrent()) {
      return false;
    }
    const replication::HostStatus status = host.control->member().status().replica_host;
    voters += status.membership.IsVoter(status.replica) ? 1 : 0;
    if (status.membership.members().size() != names.size()) {
      return false;
    }
  }
  return voters == names.size();
}

}  // namespace borageloft::platform
