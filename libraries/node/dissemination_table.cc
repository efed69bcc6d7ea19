#include "libraries/node/dissemination_table.h"

#include <algorithm>
#include <utility>

namespace borageloft::node {

namespace {

using dissemination::Message;
using membership::EntryState;

constexpr base::Duration kRefreshInterval = std::chrono::seconds(1);
// A request from a node that is not known yet brings the next refresh forward, at most this often.
constexpr base::Duration kMinimumRefresh = std::chrono::milliseconds(100);
// Three of these may be lost before the zones of another region count as cut off.
constexpr base::Duration kExpectedInterval = std::chrono::seconds(3);
// A node asks every 10 s. One that stopped asking has another planner and is told nothing.
constexpr base::Duration kAskedLifetime = std::chrono::seconds(25);
// Children of a control host: the first level of each zone, and orphans after failures.
constexpr std::size_t kControlHostChildren = 16'384;
// A snapshot above this size is sent as one policy text without the single notes.
constexpr std::size_t kFoldedSnapshotBytes = dissemination::kMaximumPayload / 2;

bool IsReachable(EntryState state) {
  return state == EntryState::kAlive || state == EntryState::kSuspect ||
         state == EntryState::kLeaving;
}

dissemination::TreeNodeSettings MakeTreeSettings(const settings::NodeSettings& settings,
                                                 const settings::Endpoint& address) {
  dissemination::TreeNodeSettings tree;
  tree.node = settings.node;
  tree.zone = settings.zone;
  tree.address = settings::FormatEndpoint(address);
  for (const settings::ControlPeer& peer : settings.control_peers) {
    if (peer.region == settings.region) {
      tree.control_hosts.push_back(peer.node);
    }
  }
  if (settings.is_control_host()) {
    tree.role = dissemination::TreeRole::kControlHost;
    tree.maximum_children = kControlHostChildren;
    for (const settings::ControlPeer& peer : settings.control_peers) {
      if (peer.node != settings.node) {
        tree.report_to.push_back(peer.node);
      }
    }
  }
  return tree;
}

}  // namespace

DisseminationTable::DisseminationTable(const NodeServices& services, std::uint64_t incarnation,
                                       const settings::Endpoint& address, NoteTable& notes,
                                       DisseminationHooks hooks)
    : services_(services), notes_(notes), hooks_(std::move(hooks)) {
  for (const settings::ControlPeer& peer : services.settings.control_peers) {
    control_regions_.emplace(peer.node, peer.region);
  }
  const base::TimePoint now = services.clock();
  if (services.settings.is_control_host()) {
    MakeControlParts();
    for (const auto& [node, region] : control_regions_) {
      if (region != services.settings.region) {
        other_regions_heard_[region] = now;
      }
    }
  }
  tree_ = std::make_unique<dissemination::TreeNode>(MakeTreeSettings(services.settings, address),
                                                    MakeTreeHooks(services.settings.node),
                                                    incarnation, notes.number(), now);
}

void DisseminationTable::MakeControlParts() {
  tracker_ = std::make_unique<dissemination::InForceTracker>();
  dissemination::TreePlanSettings settings;
  for (const auto& [node, region] : control_regions_) {
    if (region == services_.settings.region) {
      settings.control_hosts.push_back(node);
    }
  }
  // A later start plans with higher versions; within 32 bits the seconds last until 2106.
  const auto epoch =
      std::chrono::duration_cast<std::chrono::seconds>(services_.wall_clock().time_since_epoch());
  plan_ = std::make_unique<dissemination::TreePlan>(std::move(settings),
                                                    static_cast<std::uint64_t>(epoch.count()));
}

dissemination::TreeNodeHooks DisseminationTable::MakeTreeHooks(const std::string& node) {
  dissemination::TreeNodeHooks hooks;
  hooks.send = [this](const std::string& to, const Message& message) { Send(to, message); };
  // Each process draws its own sequence, and the tree draws only under the lock.
  hooks.random = base::SeededRandom(services_.random() ^ base::Hash(node));
  hooks.apply = [this](const dissemination::ReleaseNote& note) {
    try {
      return Apply(note, note_log::DecodeDelta(note.payload));
    } catch (const base::Error& error) {
      base::Log(base::LogLevel::kError, "note_not_applied",
                {{"number", Json::UInt64(note.number)}, {"error", error.what()}});
      return false;
    }
  };
  hooks.install = [this](const dissemination::ReleaseNote& snapshot) {
    try {
      note_log::NoteDelta delta;
      delta.snapshot = note_log::DecodeChain(snapshot.payload);
      delta.latest = snapshot.number;
      return Apply(snapshot, delta);
    } catch (const base::Error& error) {
      base::Log(base::LogLevel::kError, "note_snapshot_not_applied",
                {{"number", Json::UInt64(snapshot.number)}, {"error", error.what()}});
      return false;
    }
  };
  hooks.snapshot = [this] { return MakeSnapshot(); };
  if (tracker_ != nullptr) {
    hooks.on_report = [this](const dissemination::StatusUp& report, base::TimePoint now) {
      tracker_->Report(report, now);
    };
  }
  return hooks;
}

void DisseminationTable::Accept(const note_log::Note& note) {
  VERIFY(plan_ != nullptr);
  note_log::NoteDelta delta;
  delta.notes.push_back(note);
  delta.latest = note.number;
  const dissemination::ReleaseNote accepted{note.number, note.digest, note_log::EncodeDelta(delta)};
  const std::scoped_lock lock(mutex_);
  tree_->Accept(accepted, services_.clock());
}

void DisseminationTable::AcceptSnapshot(const note_log::PolicyChain& chain) {
  VERIFY(plan_ != nullptr);
  const std::string digest = chain.notes().empty() ? std::string() : chain.notes().back().digest;
  const dissemination::ReleaseNote snapshot{chain.latest(), digest, note_log::EncodeChain(chain)};
  const std::scoped_lock lock(mutex_);
  tree_->AcceptSnapshot(snapshot, services_.clock());
}

void DisseminationTable::Receive(const std::string& from, const std::string& payload) {
  const Message message = dissemination::Decode(payload);
  const std::scoped_lock lock(mutex_);
  if (has_left_) {
    return;
  }
  const base::TimePoint now = services_.clock();
  const auto sender = control_regions_.find(from);
  if (sender != control_regions_.end()) {
    const auto heard = other_regions_heard_.find(sender->second);
    if (heard != other_regions_heard_.end()) {
      heard->second = now;
    }
  }
  if (const auto* request = std::get_if<dissemination::PositionRequest>(&message)) {
    AnswerPosition(from, *request, now);
    return;
  }
  if (const auto* expected = std::get_if<dissemination::ExpectedNodes>(&message)) {
    if (tracker_ != nullptr && sender != control_regions_.end() &&
        sender->second != services_.settings.region) {
      tracker_->SetExpected(*expected);
      other_zones_[expected->zone] = now;
    }
    return;
  }
  if (const auto* up = std::get_if<dissemination::StatusUp>(&message)) {
    Learn(from, up->address);
  } else if (const auto* position = std::get_if<dissemination::Position>(&message)) {
    for (const dissemination::NodeAddress& entry : position->addresses) {
      Learn(entry.node, entry.address);
    }
  }
  tree_->Receive(from, message, now);
}

void DisseminationTable::Tick() {
  const std::scoped_lock lock(mutex_);
  if (has_left_) {
    return;
  }
  const base::TimePoint now = services_.clock();
  if (plan_ != nullptr) {
    if (now >= next_refresh_) {
      RefreshRegion(now);
    }
    SendChangedPositions(now);
    tree_->set_cut_off(IsRegionCutOff(now));
  }
  tree_->Tick(now);
}

void DisseminationTable::Leave() {
  const std::scoped_lock lock(mutex_);
  tree_->Leave();
  has_left_ = true;
}

DisseminationStatus DisseminationTable::status() const {
  const std::scoped_lock lock(mutex_);
  const base::TimePoint now = services_.clock();
  DisseminationStatus status;
  status.parent = tree_->parent();
  status.root_age = tree_->root_age(now);
  status.is_cut_off = tree_->is_cut_off() || status.root_age > kCutOffAfter;
  if (tracker_ != nullptr) {
    status.zones = ListZones(now);
  } else {
    status.zones.push_back({services_.settings.zone, 1, tree_->number(), 0, {}, {}});
  }
  return status;
}

// The note table saves and puts in force; a note that it already has needs nothing.
bool DisseminationTable::Apply(const dissemination::ReleaseNote& note,
                               const note_log::NoteDelta& delta) {
  if (notes_.Offer(delta) == note_log::OfferResult::kConflict) {
    base::Log(base::LogLevel::kError, "note_conflict",
              {{"number", Json::UInt64(note.number)}, {"digest", note.digest}});
    return false;
  }
  return notes_.number() >= note.number;
}

dissemination::ReleaseNote DisseminationTable::MakeSnapshot() const {
  note_log::PolicyChain chain = notes_.chain();
  const std::string digest = chain.notes().empty() ? std::string() : chain.notes().back().digest;
  std::string payload = note_log::EncodeChain(chain);
  if (payload.size() > kFoldedSnapshotBytes) {
    chain.Fold(FoldIntoPolicy(), 0);
    payload = note_log::EncodeChain(chain);
  }
  return {chain.latest(), digest, std::move(payload)};
}

void DisseminationTable::Send(const std::string& to, const Message& message) {
  try {
    hooks_.send(to, dissemination::Encode(message));
  } catch (const dissemination::Error& error) {
    base::Log(base::LogLevel::kError, "dissemination_not_sent",
              {{"to", to}, {"error", error.what()}});
  }
}

void DisseminationTable::Learn(const std::string& node, const std::string& address) {
  const auto endpoint = settings::ParseEndpoint(address);
  // The addresses of control hosts come from the settings.
  if (endpoint && !IsControlHost(node)) {
    hooks_.learn(node, *endpoint);
  }
}

void DisseminationTable::AnswerPosition(const std::string& from,
                                        const dissemination::PositionRequest& request,
                                        base::TimePoint now) {
  if (plan_ == nullptr || from != request.node || IsControlHost(from)) {
    return;
  }
  dissemination::Position position = plan_->Handle(request, now);
  PlannedNode& node = planned_[from];
  node.zone = request.zone;
  node.asked = now;
  if (node.address.empty()) {
    next_refresh_ = std::min(next_refresh_, now + kMinimumRefresh);
  }
  SendPosition(from, std::move(position));
}

void DisseminationTable::SendPosition(const std::string& node, dissemination::Position position) {
  for (const std::string& candidate : position.candidates) {
    const auto found = planned_.find(candidate);
    if (found != planned_.end() && !found->second.address.empty()) {
      position.addresses.push_back({candidate, found->second.address});
    }
  }
  Send(node, position);
}

void DisseminationTable::SendChangedPositions(base::TimePoint now) {
  for (const std::string& node : plan_->TakeChanged()) {
    const auto found = planned_.find(node);
    if (found != planned_.end() && found->second.asked &&
        now - *found->second.asked < kAskedLifetime) {
      SendPosition(node, *plan_->PositionOf(node));
    }
  }
}

void DisseminationTable::RefreshRegion(base::TimePoint now) {
  next_refresh_ = now + kRefreshInterval;
  const RegionView view = hooks_.view_region();
  UpdatePlan(view, now);
  // Before the registry has heard all nodes, a note would count as in force without the others.
  if (view.is_settled) {
    UpdateExpected(view, now);
  }
}

void DisseminationTable::UpdatePlan(const RegionView& view, base::TimePoint now) {
  std::set<std::string> reachable;
  std::set<std::string> lost;
  for (const membership::RecordEntry& entry : view.nodes) {
    const membership::NodeRecord& record = entry.record;
    if (IsControlHost(record.node)) {
      continue;
    }
    if (!IsReachable(entry.state)) {
      lost.insert(record.node);
      continue;
    }
    reachable.insert(record.node);
    PlannedNode& node = planned_[record.node];
    node.zone = record.zone;
    node.address = record.address;
    if (!plan_->is_known(record.node)) {
      plan_->Add(record.node, record.zone, now);
    }
  }
  std::erase_if(planned_, [&](const auto& item) {
    const auto& [node, planned] = item;
    const bool is_asking = planned.asked && now - *planned.asked < kAskedLifetime;
    if (reachable.contains(node) || (is_asking && !lost.contains(node))) {
      return false;
    }
    plan_->Remove(node);
    return true;
  });
}

void DisseminationTable::UpdateExpected(const RegionView& view, base::TimePoint now) {
  std::map<std::string, ZoneNodes> zones;
  for (const auto& [zone, nodes] : expected_) {
    zones[zone];  // A zone whose nodes all went away is set to empty.
  }
  for (const membership::RecordEntry& entry : view.nodes) {
    if (IsReachable(entry.state)) {
      zones[entry.record.zone].reachable.push_back(entry.record.node);
    } else if (entry.state == EntryState::kUnreachable) {
      zones[entry.record.zone].unreachable.push_back(entry.record.node);
    }
  }
  const bool is_due = now >= next_expected_;
  if (is_due) {
    next_expected_ = now + kExpectedInterval;
  }
  for (auto& [zone, nodes] : zones) {
    const bool is_changed = expected_[zone] != nodes;
    if (is_changed) {
      tracker_->SetExpected(zone, nodes.reachable, nodes.unreachable);
      expected_[zone] = std::move(nodes);
    }
    if (is_changed || is_due) {
      SendExpected(zone);
    }
  }
}

void DisseminationTable::SendExpected(const std::string& zone) {
  const ZoneNodes& nodes = expected_.at(zone);
  dissemination::ExpectedNodes message;
  message.zone = zone;
  for (const std::string& node : nodes.reachable) {
    message.reachable.Add(node);
  }
  message.all = message.reachable;
  for (const std::string& node : nodes.unreachable) {
    message.all.Add(node);
    if (message.unreachable.size() < dissemination::kMaximumUnreachable) {
      message.unreachable.push_back(node);
    }
  }
  for (const auto& [host, region] : control_regions_) {
    if (region != services_.settings.region) {
      Send(host, message);
    }
  }
}

bool DisseminationTable::IsRegionCutOff(base::TimePoint now) const {
  return !other_regions_heard_.empty() &&
         std::all_of(other_regions_heard_.begin(), other_regions_heard_.end(),
                     [now](const auto& item) { return now - item.second > kCutOffAfter; });
}

std::vector<ZoneInForce> DisseminationTable::ListZones(base::TimePoint now) const {
  std::vector<ZoneInForce> zones;
  for (dissemination::ZoneStatus& status : tracker_->Status(now)) {
    ZoneInForce zone{
        std::move(status.zone),        status.expected, status.in_force, status.unreachable_count,
        std::move(status.unreachable), status.age};
    const auto told = other_zones_.find(zone.zone);
    if (told != other_zones_.end() && now - told->second > kCutOffAfter) {
      // The other region is cut off from this one, so none of its nodes is waited for.
      zone.unreachable += std::exchange(zone.nodes, 0);
    }
    if (zone.nodes + zone.unreachable > 0) {
      zones.push_back(std::move(zone));
    }
  }
  return zones;
}

}  // namespace borageloft::node
