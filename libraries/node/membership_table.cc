#include "libraries/node/membership_table.h"

#include <algorithm>
#include <utility>

namespace borageloft::node {

namespace {

constexpr base::Duration kLongestDiscovery = std::chrono::milliseconds(500);

std::vector<std::string> ControlHostsOf(const settings::NodeSettings& settings,
                                        const std::string& region) {
  std::vector<std::string> nodes;
  for (const settings::ControlPeer& peer : settings.control_peers) {
    if (peer.region == region) {
      nodes.push_back(peer.node);
    }
  }
  return nodes;
}

membership::LeaseClientSettings MakeClientSettings(const settings::NodeSettings& settings,
                                                   const settings::Endpoint& address) {
  membership::LeaseClientSettings client;
  client.node = settings.node;
  client.region = settings.region;
  client.zone = settings.zone;
  client.address = settings::FormatEndpoint(address);
  client.registries = ControlHostsOf(settings, settings.region);
  return client;
}

membership::RegistrySettings MakeRegistrySettings(const settings::NodeSettings& settings) {
  membership::RegistrySettings registry;
  registry.id = settings.node;
  registry.region = settings.region;
  for (const settings::ControlPeer& peer : settings.control_peers) {
    if (peer.region != settings.region) {
      registry.other_regions[peer.region].push_back(peer.node);
    } else if (peer.node != settings.node) {
      registry.peers.push_back(peer.node);
    }
  }
  return registry;
}

bool IsForRegistry(const membership::Message& message) {
  return std::holds_alternative<membership::Lease>(message) ||
         std::holds_alternative<membership::Subscribe>(message) ||
         std::holds_alternative<membership::ConfirmRequest>(message) ||
         std::holds_alternative<membership::ConfirmAnswer>(message) ||
         std::holds_alternative<membership::StateRequest>(message) ||
         std::holds_alternative<membership::StateDelta>(message) ||
         std::holds_alternative<membership::FenceNotice>(message);
}

}  // namespace

MembershipTable::MembershipTable(const NodeServices& services, membership::Incarnation& incarnation,
                                 const settings::Endpoint& address, ControlChannel& channel,
                                 RoutingTable& routes)
    : services_(services), channel_(channel), routes_(routes) {
  const base::TimePoint now = services.clock();
  const membership::Send send = [this](const std::string& to, const membership::Message& message) {
    SendMessage(to, message);
  };
  membership::LeaseClientHooks hooks;
  hooks.send = send;
  hooks.random = services.random;
  // The first incarnation is the one that the process took at its start.
  hooks.next_incarnation = [&incarnation](std::uint64_t above) {
    if (incarnation.current() > above) {
      return incarnation.current();
    }
    return incarnation.RaiseAbove(above) ? incarnation.Next() : std::uint64_t{0};
  };
  hooks.on_view_changed = [this](const std::string& service) { HandleViewChange(service); };
  client_ = std::make_unique<membership::LeaseClient>(
      MakeClientSettings(services.settings, address), std::move(hooks), now);
  if (services.settings.is_control_host()) {
    registry_ = std::make_unique<membership::Registry>(MakeRegistrySettings(services.settings),
                                                       send, incarnation.current(), now);
  }
  channel.Handle(
      wire::Channel::kMembership,
      [this](const std::string& from, const std::string& payload) { Receive(from, payload); });
}

void MembershipTable::SetUpstream(const std::optional<membership::UpstreamData>& upstream) {
  const std::scoped_lock lock(client_mutex_);
  client_->SetUpstream(upstream, services_.clock());
}

void MembershipTable::SetNodeState(membership::NodeState state) {
  const std::scoped_lock lock(client_mutex_);
  client_->SetNodeState(state, services_.clock());
}

void MembershipTable::Discover(const std::string& service, base::TimePoint until) {
  std::unique_lock lock(client_mutex_);
  const base::TimePoint now = services_.clock();
  const bool is_held = client_->directory().is_held(service);
  if (!client_->Use(service, now) || is_held) {
    return;
  }
  // A service without upstreams has no view that could arrive, so only its first caller waits.
  view_changed_.wait_until(lock, std::min(until, now + kLongestDiscovery),
                           [&] { return routes_.IsKnown(service); });
}

void MembershipTable::Tick() {
  {
    const std::scoped_lock lock(client_mutex_);
    client_->Tick(services_.clock());
    has_been_served_ = has_been_served_ || client_->is_served(services_.clock());
  }
  if (registry_ != nullptr) {
    const std::scoped_lock lock(registry_mutex_);
    registry_->Tick(services_.clock());
  }
}

base::Duration MembershipTable::view_age() const {
  const std::scoped_lock lock(client_mutex_);
  return client_->view_age(services_.clock());
}

std::vector<ListedUpstream> MembershipTable::List(const std::string& service) const {
  std::vector<ListedUpstream> list;
  const auto add = [&](const membership::RecordEntry& entry, base::Duration age) {
    const auto& upstream = entry.record.upstream;
    if (upstream && (service.empty() || upstream->service == service)) {
      list.push_back({entry, age});
    }
  };
  if (registry_ != nullptr) {
    const std::scoped_lock lock(registry_mutex_);
    const base::TimePoint now = services_.clock();
    for (const auto& [node, entry] : registry_->entries()) {
      add({entry.record, entry.state}, now - entry.last_heard);
    }
    return list;
  }
  const std::scoped_lock lock(client_mutex_);
  const base::Duration age = client_->view_age(services_.clock());
  for (const std::string& known : client_->directory().services()) {
    for (const membership::RecordEntry& entry : client_->directory().Upstreams(known)) {
      add(entry, age);
    }
  }
  return list;
}

std::vector<membership::RecordEntry> MembershipTable::RegionNodes() const {
  std::vector<membership::RecordEntry> nodes;
  if (registry_ != nullptr) {
    const std::scoped_lock lock(registry_mutex_);
    for (const auto& [node, entry] : registry_->entries()) {
      nodes.push_back({entry.record, entry.state});
    }
  }
  return nodes;
}

bool MembershipTable::is_registry_settled() const {
  if (registry_ == nullptr) {
    return false;
  }
  const std::scoped_lock lock(registry_mutex_);
  return registry_->is_settled(services_.clock());
}

void MembershipTable::Receive(const std::string& from, const std::string& payload) {
  const membership::Message message = membership::Decode(payload);
  const base::TimePoint now = services_.clock();
  if (const auto* lease = std::get_if<membership::Lease>(&message)) {
    if (const auto endpoint = settings::ParseEndpoint(lease->record.address)) {
      channel_.Learn(from, *endpoint);
    }
  }
  if (!IsForRegistry(message)) {
    const std::scoped_lock lock(client_mutex_);
    client_->Receive(message, now);
  } else if (registry_ != nullptr) {
    const std::scoped_lock lock(registry_mutex_);
    registry_->Receive(message, now);
  }
}

// Runs within a call of the lease client, so its lock is held; routing comes later in the order.
void MembershipTable::HandleViewChange(const std::string& service) {
  routes_.UpdateMembers(service, client_->directory().Upstreams(service));
  view_changed_.notify_all();
}

void MembershipTable::SendMessage(const std::string& to, const membership::Message& message) {
  channel_.Send(to, wire::Channel::kMembership, membership::Encode(message));
}

}  // namespace borageloft::node
