#include "libraries/request_path/instance_chooser.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace borageloft::request_path {

namespace {

// Weight of a new observation in the moving values: about ten requests decide.
constexpr double kLatencyWeight = 0.1;
constexpr double kFailureWeight = 0.1;
// Old reports and latencies lose half of their say in this time, so that an instance that was slow
// or full is tried again.
constexpr double kReportHalfLifeSeconds = 0.5;
constexpr double kLatencyHalfLifeSeconds = 2;
constexpr double kFailureHalfLifeSeconds = 3;
// An instance of the own zone above this share of its slots is no longer preferred to other zones.
constexpr double kFullShare = 0.93;
// An instance that fails more often than this is no longer preferred to other zones.
constexpr double kFailingShare = 0.4;
// An instance that is slower than usual by this many powers of two is not preferred either.
constexpr std::uint32_t kSlowSteps = 2;
// Calls across zones of one request that are told apart.
constexpr std::uint32_t kMostRemoteCalls = 16;
// Ranks behind all numbers of crossings.
constexpr std::uint32_t kFullRank = 100;
constexpr std::uint32_t kLeavingRank = 101;
// Latency assumed for a service without any observation.
constexpr double kFirstLatencyMs = 50;
// Pause after an instance was found gone; its record disappears within this time if it really is.
constexpr std::chrono::milliseconds kAvoidTime{1000};
// Random spread of the scores, so that nodes with equal knowledge do not all choose alike.
constexpr double kScoreSpread = 0.2;

double Seconds(base::Duration duration) { return std::chrono::duration<double>(duration).count(); }

double Decay(base::Duration age, double half_life_seconds) {
  return std::exp2(-std::max(0.0, Seconds(age)) / half_life_seconds);
}

}  // namespace

void InstanceChooser::Update(const std::map<std::string, directory::InstanceRecord>& records) {
  std::unordered_map<std::string, Members> services;
  for (const auto& [node, record] : records) {
    Member member;
    if (const Member* known = FindMember(record.service, node);
        known != nullptr && known->record.instance == record.instance) {
      member = *known;
    }
    member.record = record;
    services[record.service].push_back(std::move(member));
  }
  services_ = std::move(services);
}

InstanceChooser::Member* InstanceChooser::FindMember(const std::string& service,
                                                     const std::string& node) {
  const auto members = services_.find(service);
  if (members == services_.end()) {
    return nullptr;
  }
  const auto member =
      std::find_if(members->second.begin(), members->second.end(),
                   [&](const Member& candidate) { return candidate.record.node == node; });
  return member == members->second.end() ? nullptr : &*member;
}

double InstanceChooser::UtilizationOf(const Member& member, base::TimePoint now) const {
  const double slots = std::max<std::uint32_t>(1, member.record.slots);
  const double reported = member.reported * Decay(now - member.reported_at, kReportHalfLifeSeconds);
  return std::max(member.in_flight / slots, reported);
}

double InstanceChooser::FailuresOf(const Member& member, base::TimePoint now) {
  return member.failures * Decay(now - member.judged_at, kFailureHalfLifeSeconds);
}

double InstanceChooser::ScoreOf(const Member& member, double prior_ms, base::TimePoint now) const {
  double latency_ms = prior_ms;
  if (member.latency_ms > 0) {
    const double weight = Decay(now - member.sampled_at, kLatencyHalfLifeSeconds);
    latency_ms = weight * member.latency_ms + (1 - weight) * std::min(prior_ms, member.latency_ms);
  }
  if (member.record.slowdown_steps > 0) {
    latency_ms = std::max(latency_ms, prior_ms * std::exp2(member.record.slowdown_steps));
  }
  if (member.record.warm_up_left_ms > 0) {
    latency_ms *= 1.5;  // A cold instance is slow but has to get its share to become warm.
  }
  const double utilization = UtilizationOf(member, now);
  const double crowding = 1 + 3 * utilization * utilization + (utilization > kFullShare ? 10 : 0);
  const double failures = FailuresOf(member, now);
  const double failing = 1 + 12 * failures * failures + 2 * failures;
  return latency_ms * crowding * failing;
}

const directory::InstanceRecord* InstanceChooser::Choose(const std::string& service,
                                                         wire::RequestOrigin origin,
                                                         const std::vector<std::string>& tried,
                                                         TriedUse use, base::TimePoint now,
                                                         const base::Random& random) {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return nullptr;
  }
  double prior_ms = 0;
  std::size_t sampled = 0;
  for (const Member& member : found->second) {
    if (member.latency_ms > 0) {
      prior_ms = sampled == 0 ? member.latency_ms : std::min(prior_ms, member.latency_ms);
      ++sampled;
    }
  }
  prior_ms = sampled == 0 ? kFirstLatencyMs : prior_ms;
  const Member* best = nullptr;
  // Lower ranks go first: by crossings between zones while there is room, full or failing ones,
  // ones that leave or were found gone.
  std::uint32_t best_rank = 0;
  double best_score = 0;
  for (const Member& member : found->second) {
    const bool was_tried = std::find(tried.begin(), tried.end(), member.record.node) != tried.end();
    if (was_tried != (use == TriedUse::kOnly)) {
      continue;
    }
    std::uint32_t rank = kFullRank;
    const bool is_silent = is_silent_ && is_silent_(member.record.node);
    if (is_silent || member.avoid_until > now ||
        member.record.state == directory::InstanceState::kLeaving) {
      rank = kLeavingRank;
    } else if (UtilizationOf(member, now) < kFullShare && FailuresOf(member, now) < kFailingShare &&
               member.record.slowdown_steps < kSlowSteps) {
      rank = CrossingsOf(member.record, origin);
    }
    const double spread = 1 + kScoreSpread * (base::DrawFraction(random) - 0.5);
    const double score = ScoreOf(member, prior_ms, now) * spread;
    if (best == nullptr || rank < best_rank || (rank == best_rank && score < best_score)) {
      best = &member;
      best_rank = rank;
      best_score = score;
    }
  }
  return best == nullptr ? nullptr : &best->record;
}

void InstanceChooser::RecordStart(const std::string& service, const std::string& node) {
  if (Member* member = FindMember(service, node)) {
    ++member->in_flight;
  }
}

void InstanceChooser::RecordEnd(const std::string& service, const std::string& node,
                                const std::string& instance, AttemptEnd end, base::Duration took,
                                const wire::LoadReport* load, base::TimePoint now) {
  Member* member = FindMember(service, node);
  if (member == nullptr || member->record.instance != instance) {
    return;
  }
  member->in_flight -= member->in_flight > 0 ? 1 : 0;
  if (load != nullptr && load->limit > 0) {
    member->reported = static_cast<double>(load->in_flight) / load->limit;
    member->reported_at = now;
  }
  const double took_ms = 1e3 * Seconds(took);
  // An attempt that was given up took at least this long.
  const bool is_latency_known =
      end == AttemptEnd::kServed || (end == AttemptEnd::kNoWord && took_ms > member->latency_ms);
  if (is_latency_known) {
    member->latency_ms = member->latency_ms == 0
                             ? took_ms
                             : (1 - kLatencyWeight) * member->latency_ms + kLatencyWeight * took_ms;
    member->sampled_at = now;
  }
  if (end == AttemptEnd::kGone) {
    member->avoid_until = now + kAvoidTime;
  } else if (end != AttemptEnd::kNoWord) {
    const double failed = end == AttemptEnd::kServed ? 0 : 1;
    const double failures = FailuresOf(*member, now);
    member->failures = failures + kFailureWeight * (failed - failures);
    member->judged_at = now;
  }
}

std::uint32_t InstanceChooser::CrossingsOf(const directory::InstanceRecord& record,
                                           wire::RequestOrigin origin) const {
  const std::uint32_t first = record.zone == zone_ ? 0 : 1;
  const bool is_call = origin == wire::RequestOrigin::kUpstream;
  return first + (is_call ? std::min(record.remote_calls, kMostRemoteCalls) : 0);
}

bool InstanceChooser::HasInstanceInZone(const std::string& service) const {
  const auto found = services_.find(service);
  return found != services_.end() &&
         std::any_of(found->second.begin(), found->second.end(), [&](const Member& member) {
           return member.record.zone == zone_ &&
                  member.record.state == directory::InstanceState::kServing;
         });
}

double InstanceChooser::TypicalLatencyMs(const std::string& service) const {
  const auto found = services_.find(service);
  double sum = 0;
  std::size_t sampled = 0;
  if (found != services_.end()) {
    for (const Member& member : found->second) {
      sum += member.latency_ms;
      sampled += member.latency_ms > 0 ? 1 : 0;
    }
  }
  return sampled == 0 ? 0 : sum / static_cast<double>(sampled);
}

bool InstanceChooser::IsLeaf(const std::string& service) const {
  const auto found = services_.find(service);
  bool is_known = false;
  if (found != services_.end()) {
    for (const Member& member : found->second) {
      if (member.record.calls == directory::CallUse::kSome) {
        return false;
      }
      is_known = is_known || member.record.calls == directory::CallUse::kNone;
    }
  }
  return is_known;
}

bool InstanceChooser::HasInstance(const std::string& service) const {
  const auto found = services_.find(service);
  return found != services_.end() && !found->second.empty();
}

double InstanceChooser::Utilization(const std::string& service, base::TimePoint now) const {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return 0;
  }
  double used = 0;
  double slots = 0;
  for (const Member& member : found->second) {
    used += UtilizationOf(member, now) * member.record.slots;
    slots += member.record.slots;
  }
  return slots > 0 ? used / slots : 0;
}

}  // namespace borageloft::request_path
