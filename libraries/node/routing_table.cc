#include "libraries/node/routing_table.h"

#include <algorithm>
#include <utility>

namespace borageloft::node {

namespace {

using routing::AttemptOutcome;

// A level counts in full for a time in which a loaded gate answers many times, and is forgotten
// soon after, so that a stale one cannot hold recovery up.
constexpr base::Duration kLevelHold = std::chrono::milliseconds(200);
constexpr base::Duration kLevelDecay = std::chrono::milliseconds(400);
constexpr double kLatencyWeight = 0.1;
constexpr int kServerError = 500;

admission::AdmissionLevel LevelOf(const wire::LoadReport& load) {
  return {load.level_rank, load.level_share};
}

routing::LoadReport Convert(const wire::LoadReport& load) {
  routing::LoadReport report;
  report.in_flight = load.in_flight;
  report.limit = load.limit;
  report.service_time = load.service_time;
  report.admitted_share = static_cast<double>(load.level_share) / admission::ShedKey::kPositions;
  report.is_leaving = load.is_leaving;
  return report;
}

AttemptOutcome OutcomeOf(const wire::Response& response) {
  switch (response.outcome) {
    case wire::Outcome::kNotRun:
      return response.reason == "upstream_unreachable" ? AttemptOutcome::kLost
                                                       : AttemptOutcome::kRefused;
    case wire::Outcome::kUnknown:
      return AttemptOutcome::kError;
    case wire::Outcome::kRan:
      // A failure of a service further down says nothing about this upstream.
      return response.status >= kServerError && response.reason != "failed_below"
                 ? AttemptOutcome::kError
                 : AttemptOutcome::kServed;
  }
  return AttemptOutcome::kError;
}

std::optional<routing::UpstreamView> MakeView(const membership::RecordEntry& entry) {
  const auto& upstream = entry.record.upstream;
  const bool is_usable = entry.state != membership::EntryState::kRemoved && upstream &&
                         (upstream->state == membership::UpstreamState::kServing ||
                          upstream->state == membership::UpstreamState::kLeaving);
  if (!is_usable) {
    return std::nullopt;
  }
  const bool is_leaving = upstream->state == membership::UpstreamState::kLeaving ||
                          entry.state == membership::EntryState::kLeaving ||
                          entry.record.node_state != membership::NodeState::kRunning;
  routing::UpstreamView view;
  view.id = {entry.record.node};
  view.node = entry.record.node;
  view.node_address = entry.record.address;
  view.zone = entry.record.zone;
  view.slots = upstream->slots;
  view.state = is_leaving ? routing::UpstreamState::kLeaving : routing::UpstreamState::kServing;
  view.incarnation = entry.record.stamp.incarnation;
  return view;
}

}  // namespace

RoutingTable::RoutingTable(const NodeServices& services)
    : services_(services), levels_(kLevelHold, kLevelDecay) {}

void RoutingTable::UpdateMembers(const std::string& service,
                                 const std::vector<membership::RecordEntry>& entries) {
  std::vector<routing::UpstreamView> views;
  for (const membership::RecordEntry& entry : entries) {
    if (auto view = MakeView(entry)) {
      views.push_back(std::move(*view));
    }
  }
  const std::scoped_lock lock(mutex_);
  FindOrAdd(service).router->UpdateMembers(views, services_.clock());
}

bool RoutingTable::IsKnown(const std::string& service) const {
  const std::scoped_lock lock(mutex_);
  return routers_.contains(service);
}

std::optional<RouteTarget> RoutingTable::Start(const RouteQuery& query) {
  routing::RouteRequest request;
  for (const RouteTarget& target : query.tried) {
    request.tried.push_back(target.upstream);
  }
  request.tried_zones = query.avoided_zones;
  request.probe_use =
      query.is_repeatable ? routing::ProbeUse::kAllowed : routing::ProbeUse::kForbidden;
  const std::scoped_lock lock(mutex_);
  const auto found = routers_.find(query.service);
  if (found == routers_.end()) {
    return std::nullopt;
  }
  routing::Router& router = *found->second.router;
  const routing::RouteResult result = router.Choose(request, services_.clock(), services_.random);
  const auto* choice = std::get_if<routing::Choice>(&result);
  if (choice == nullptr) {
    return std::nullopt;
  }
  const auto endpoint = settings::ParseEndpoint(choice->node_address);
  if (!endpoint) {
    return std::nullopt;
  }
  return RouteTarget{
      {choice->node, *endpoint}, choice->zone, choice->upstream, router.RecordStart(*choice)};
}

void RoutingTable::RecordAnswer(const std::string& service, const RouteTarget& target,
                                const wire::Response& response, base::Duration latency) {
  routing::AttemptResult result;
  result.outcome = OutcomeOf(response);
  result.latency = latency;
  result.report = Convert(response.load);
  const std::scoped_lock lock(mutex_);
  levels_.Report(service, base::Hash(target.upstream.value), LevelOf(response.load),
                 services_.clock());
  Service& entry = FindOrAdd(service);
  if (result.outcome == AttemptOutcome::kServed) {
    const bool is_first = entry.latency == base::Duration::zero();
    const auto difference = static_cast<double>((latency - entry.latency).count());
    entry.latency =
        is_first ? latency
                 : entry.latency +
                       base::Duration(static_cast<std::int64_t>(kLatencyWeight * difference));
  }
  Finish(service, target, result);
}

void RoutingTable::RecordLost(const std::string& service, const RouteTarget& target,
                              base::Duration latency) {
  const std::scoped_lock lock(mutex_);
  Finish(service, target, {AttemptOutcome::kLost, latency, std::nullopt});
}

void RoutingTable::RecordCancelled(const std::string& service, const RouteTarget& target,
                                   base::Duration latency) {
  const std::scoped_lock lock(mutex_);
  Finish(service, target, {AttemptOutcome::kCancelled, latency, std::nullopt});
}

void RoutingTable::RecordTimeout(const std::string& service, const RouteTarget& target,
                                 base::Duration waited) {
  const std::scoped_lock lock(mutex_);
  FindOrAdd(service).router->RecordTimeout(target.attempt, waited, services_.clock());
}

admission::PathVerdict RoutingTable::Admit(const std::vector<std::string>& path,
                                           admission::ClassRank rank,
                                           const std::string& root) const {
  const std::scoped_lock lock(mutex_);
  return levels_.Admit(path, rank, admission::ShedKey::FromRoot(root), services_.clock());
}

admission::AdmissionLevel RoutingTable::WorstAlong(const std::vector<std::string>& path) const {
  const std::scoped_lock lock(mutex_);
  return levels_.WorstAlong(path, services_.clock());
}

bool RoutingTable::IsShedding(const std::string& service) const {
  const std::scoped_lock lock(mutex_);
  return !levels_.LevelOf(service, services_.clock()).is_open();
}

base::Duration RoutingTable::ExpectedLatency(const std::string& service) const {
  const std::scoped_lock lock(mutex_);
  const auto found = routers_.find(service);
  return found == routers_.end() ? base::Duration::zero() : found->second.latency;
}

void RoutingTable::Expire() {
  const std::scoped_lock lock(mutex_);
  levels_.Expire(services_.clock());
}

std::uint64_t RoutingTable::cross_zone_attempts() const {
  const std::scoped_lock lock(mutex_);
  std::uint64_t count = 0;
  for (const auto& [name, service] : routers_) {
    count += service.router->cross_zone_requests();
  }
  return count;
}

RoutingTable::Service& RoutingTable::FindOrAdd(const std::string& service) {
  Service& entry = routers_[service];
  if (entry.router == nullptr) {
    routing::RoutingOptions options;
    options.subset.size = static_cast<std::size_t>(services_.settings.limits.subset);
    entry.router = std::make_unique<routing::Router>(services_.settings.node,
                                                     services_.settings.zone, options);
  }
  return entry;
}

void RoutingTable::Finish(const std::string& service, const RouteTarget& target,
                          const routing::AttemptResult& result) {
  FindOrAdd(service).router->RecordFinish(target.attempt, result, services_.clock());
}

}  // namespace borageloft::node
