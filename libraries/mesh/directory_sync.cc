#include "libraries/mesh/directory_sync.h"

#include <algorithm>
#include <utility>

namespace borageloft::mesh {

namespace {

// Added to the rank of a control host, in this order of weight.
constexpr std::uint64_t kOtherZoneRank = std::uint64_t{1} << 32U;
constexpr std::uint64_t kNoContactRank = std::uint64_t{1} << 33U;

}  // namespace

DirectorySync::DirectorySync(std::string zone, std::vector<std::string> seeds,
                             DirectorySyncHooks hooks)
    : zone_(std::move(zone)), hooks_(std::move(hooks)) {
  SetSeeds(std::move(seeds));
}

void DirectorySync::SetSeeds(std::vector<std::string> seeds) {
  seeds_ = {seeds.begin(), seeds.end()};
  for (const std::string& seed : seeds_) {
    hosts_.try_emplace(seed);
  }
}

void DirectorySync::SetRecord(const directory::InstanceRecord& record) {
  if (record == record_) {
    return;
  }
  record_ = record;
  if (preferred_.empty()) {
    SendToOthers();
    return;
  }
  Send(preferred_, directory::SyncKind::kRecords);
  if (!second_.empty()) {
    Send(second_, directory::SyncKind::kRenewal);
  }
}

void DirectorySync::Poll() {
  const base::TimePoint now = hooks_.clock();
  ExpireHosts(now);
  SelectHosts();
  ++polls_;
  if (!preferred_.empty()) {
    Send(preferred_, directory::SyncKind::kRecords);
  }
  if (!has_current_answer_ || NeedsOthers()) {
    SendToOthers();
    return;
  }
  if (polls_ % kPollsPerRenewal != 0) {
    return;
  }
  if (!second_.empty()) {
    Send(second_, directory::SyncKind::kRenewal);
  }
  // A control host of the own zone, or any one that returned, is found by asking the others in
  // turn.
  auto next = hosts_.upper_bound(last_asked_);
  for (std::size_t i = 0; i < hosts_.size(); ++i, ++next) {
    next = next == hosts_.end() ? hosts_.begin() : next;
    const bool is_known = next->first == preferred_ || next->first == second_;
    if (!is_known && !(IsReachable(next->second) && hosts_.at(preferred_).zone == zone_)) {
      last_asked_ = next->first;
      Send(last_asked_, directory::SyncKind::kRenewal);
      return;
    }
  }
}

void DirectorySync::Send(const std::string& host, directory::SyncKind kind) {
  directory::SyncRequest request;
  request.record = record_;
  request.known_version = version_;
  request.kind = kind;
  if (kind == directory::SyncKind::kRecords) {
    const directory::DirectoryView::Position position = view_.PositionAt(host);
    request.registry_epoch = position.epoch;
    request.registry_revision = position.revision;
  }
  if (needs_age_) {
    request.sent_at =
        static_cast<std::uint64_t>(hooks_.suspension_aware_clock().time_since_epoch().count());
  }
  std::optional<base::TimePoint>& awaited_since = hosts_[host].awaited_since;
  awaited_since = awaited_since.value_or(hooks_.clock());
  hooks_.send(host, directory::Encode(request));
}

void DirectorySync::SendToOthers() {
  for (const auto& [name, host] : std::map(hosts_)) {
    if (name != preferred_) {
      Send(name, directory::SyncKind::kRenewal);
    }
  }
}

void DirectorySync::ExpireHosts(base::TimePoint now) {
  for (auto& [name, host] : hosts_) {
    if (!host.has_answered || !host.awaited_since || now - *host.awaited_since < kHostExpiry) {
      continue;
    }
    base::Log(base::LogLevel::kWarning, "control_host_lost", {{"host", name}});
    host.has_answered = false;
    const directory::NodeSet changed = view_.Forget(name);
    if (!changed.empty()) {
      hooks_.on_records(changed);
    }
  }
}

bool DirectorySync::IsReachable(const Host& host) const {
  return host.has_answered &&
         (!host.awaited_since || hooks_.clock() - *host.awaited_since < kAnswerTimeout);
}

// The others are asked as well while the preferred control host may know an old declaration.
bool DirectorySync::NeedsOthers() const {
  const auto preferred = hosts_.find(preferred_);
  return preferred == hosts_.end() || !IsReachable(preferred->second) ||
         !preferred->second.is_current;
}

// The hash spreads the nodes of a zone over the control hosts of equal rank.
std::uint64_t DirectorySync::RankOf(const std::string& name, const Host& host) const {
  const bool has_contact = hooks_.clock() - host.current_at < kContactGrace;
  return (base::Hash(record_.node + name) & (kOtherZoneRank - 1)) +
         (host.zone == zone_ ? 0 : kOtherZoneRank) + (has_contact ? 0 : kNoContactRank);
}

void DirectorySync::SelectHosts() {
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  for (const auto& [name, host] : hosts_) {
    if (IsReachable(host)) {
      ranked.emplace_back(RankOf(name, host), name);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  const std::string first = ranked.empty() ? preferred_ : ranked.front().second;
  second_ = ranked.size() < 2 ? "" : ranked[1].second;
  if (first == preferred_) {
    return;
  }
  base::Log(base::LogLevel::kInfo, "control_host_chosen",
            {{"host", first}, {"before", preferred_}, {"zone", hosts_[first].zone}});
  preferred_ = first;
}

void DirectorySync::Receive(const std::string& from, const directory::SyncAnswer& answer) {
  const auto found = hosts_.find(from);
  if (found == hosts_.end()) {
    return;  // It has left the group since it was asked.
  }
  Host& host = found->second;
  if (!host.has_answered) {
    base::Log(base::LogLevel::kInfo, "control_host_found", {{"host", from}, {"zone", answer.zone}});
  }
  const base::TimePoint now = hooks_.clock();
  host.has_answered = true;
  host.awaited_since.reset();
  host.is_current = answer.is_current;
  host.zone = answer.zone;
  if (answer.is_current) {
    host.current_at = now;
    has_current_answer_ = true;
    UpdateHosts(answer.control_hosts);
  }
  // A control host without contact to the leader may be stale. Its declaration is accepted only if
  // it is newer than one that this node holds already.
  const bool is_trusted = answer.is_current || version_ > 0;
  if (is_trusted && answer.version > version_ && !answer.declaration.empty()) {
    version_ = answer.version;
    hooks_.on_declaration(answer.version, answer.declaration);
  }
  LearnAge(answer);
  if (preferred_.empty()) {
    SelectHosts();
    Send(preferred_, directory::SyncKind::kRecords);
  }
  if (from != preferred_ || answer.registry_epoch == 0) {
    return;
  }
  directory::NodeSet changed = view_.Apply(from, answer);
  // A control host that has just started does not know all records yet; until then, those of the
  // earlier one are kept.
  if (answer.is_complete) {
    changed.merge(view_.ForgetOthers(from));
  }
  if (!changed.empty()) {
    hooks_.on_records(changed);
  }
}

// The answer tells what was in force when the control host wrote it, which was after the request
// was sent.
void DirectorySync::LearnAge(const directory::SyncAnswer& answer) {
  if (!answer.age_ms || answer.request_sent_at == 0 || answer.version > version_) {
    return;
  }
  const base::TimePoint sent_at(
      base::Duration(static_cast<base::Duration::rep>(answer.request_sent_at)));
  // An answer to an earlier process of this node may name a time of before the machine's start.
  if (sent_at > hooks_.suspension_aware_clock()) {
    return;
  }
  const base::TimePoint as_of = sent_at - std::chrono::milliseconds(*answer.age_ms);
  known_as_of_ = std::max(known_as_of_.value_or(as_of), as_of);
}

std::optional<base::Duration> DirectorySync::Age() const {
  return known_as_of_ ? std::optional(hooks_.suspension_aware_clock() - *known_as_of_)
                      : std::nullopt;
}

void DirectorySync::UpdateHosts(const std::vector<std::string>& hosts) {
  std::set<std::string> updated(hosts.begin(), hosts.end());
  updated.insert(seeds_.begin(), seeds_.end());
  std::erase_if(hosts_, [&](const auto& known) {
    return !updated.contains(known.first) && known.first != preferred_;
  });
  for (const std::string& host : updated) {
    hosts_.try_emplace(host);
  }
}

std::vector<std::string> DirectorySync::HostsToReach() const {
  if (!second_.empty() && !NeedsOthers()) {
    return {preferred_, second_};
  }
  std::vector<std::string> all;
  for (const auto& [name, host] : hosts_) {
    all.push_back(name);
  }
  return all;
}

std::size_t DirectorySync::reachable_hosts() const {
  return static_cast<std::size_t>(std::count_if(
      hosts_.begin(), hosts_.end(), [](const auto& known) { return known.second.has_answered; }));
}

}  // namespace borageloft::mesh
