#include "libraries/request_path/instance_chooser.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace borageloft::request_path {

namespace {

// Weights of a new observation in the moving averages: about ten requests determine the value.
constexpr double kLatencyWeight = 0.1;
constexpr double kFailureWeight = 0.1;
// Half-lives of old observations. Their weight decays so that an instance that was slow, full or
// failing is tried again.
constexpr double kReportHalfLifeSeconds = 0.5;
constexpr double kLatencyHalfLifeSeconds = 2;
constexpr double kFailureHalfLifeSeconds = 3;
// The stated work time of a machine changes many times a second.
constexpr double kWorkTimeHalfLifeSeconds = 0.2;
constexpr double kMinWorkTime = 0.5;
constexpr double kMaxWorkTime = 4;
// An instance with more than this share of its slots in use is no longer preferred for its zone.
constexpr double kFullUtilization = 0.93;
// Nor is an instance that fails a larger share of its attempts than this.
constexpr double kFailingRate = 0.4;
// Nor is an instance that is slower than usual by this many powers of two.
constexpr std::uint32_t kSlowSteps = 2;
// Larger numbers of calls across zones count as this one.
constexpr std::uint32_t kMaxRemoteCalls = 16;
// Ranks above every number of zone crossings.
constexpr std::uint32_t kFullRank = 100;
constexpr std::uint32_t kUnavailableRank = 101;
// Latency assumed for a service without observations.
constexpr double kDefaultLatencyMs = 50;
// Time for which an instance that was found unavailable is avoided. If it is gone, its record is
// removed within this time.
constexpr std::chrono::milliseconds kAvoidTime{1000};
// Time for which a reported admission level says which roots a rate-limited instance takes.
constexpr std::chrono::milliseconds kLevelValidity{1000};
// Time for which an instance that said that it leaves is still tried if there is no other: as long
// as its gate takes requests. A gate that has restarted does not know, so the entry stops as well.
constexpr std::chrono::milliseconds kLeaveGrace{700};
// Random spread of the scores, so that nodes with the same information choose different instances.
constexpr double kScoreSpread = 0.2;

double Seconds(base::Duration duration) { return std::chrono::duration<double>(duration).count(); }

double Decay(base::Duration age, double half_life_seconds) {
  return std::exp2(-std::max(0.0, Seconds(age)) / half_life_seconds);
}

}  // namespace

template <typename MemberType, typename Services>
MemberType* InstanceChooser::FindMemberIn(Services& services, const std::string& service,
                                          const std::string& node) {
  const auto members = services.find(service);
  if (members != services.end()) {
    for (auto& member : members->second) {
      if (member.record.node == node) {
        return &member;
      }
    }
  }
  return nullptr;
}

void InstanceChooser::RememberAbsent(const Member& member) {
  if (member.told.rate_limit_milli == 0 && !member.told.leaving_since) {
    return;
  }
  absent_.emplace_back(IncarnationOf(member.record), member.told);
  if (absent_.size() > kMaxAbsent) {
    absent_.pop_front();
  }
}

InstanceChooser::Told InstanceChooser::TakeAbsent(const directory::Incarnation& incarnation) {
  const auto found = std::find_if(absent_.begin(), absent_.end(), [&](const auto& candidate) {
    return directory::MayBeSame(candidate.first, incarnation);
  });
  if (found == absent_.end()) {
    return {};
  }
  const Told told = found->second;
  absent_.erase(found);
  return told;
}

InstanceChooser::Member* InstanceChooser::FindMember(const std::string& service,
                                                     const std::string& node) {
  return FindMemberIn<Member>(services_, service, node);
}

const InstanceChooser::Member* InstanceChooser::FindMember(const std::string& service,
                                                           const std::string& node) const {
  return FindMemberIn<const Member>(services_, service, node);
}

void InstanceChooser::Set(const directory::InstanceRecord& record) {
  Member* known = FindMember(record.service, record.node);
  if (known != nullptr &&
      directory::MayBeSame(IncarnationOf(known->record), IncarnationOf(record))) {
    known->record = record;
    return;
  }
  Remove(record.node);
  Member member;
  member.told = TakeAbsent(IncarnationOf(record));
  member.record = record;
  services_[record.service].push_back(std::move(member));
  service_by_node_[record.node] = record.service;
}

void InstanceChooser::Remove(const std::string& node) {
  const auto known = service_by_node_.find(node);
  if (known == service_by_node_.end()) {
    return;
  }
  Members& members = services_.at(known->second);
  const auto member = std::find_if(members.begin(), members.end(), [&](const Member& candidate) {
    return candidate.record.node == node;
  });
  VERIFY(member != members.end());
  RememberAbsent(*member);
  members.erase(member);
  service_by_node_.erase(known);
}

bool InstanceChooser::IsBeyondRateLimit(const Member& member, const RootPosition& root,
                                        base::TimePoint now) {
  return member.told.rate_limit_milli > 0 && now - member.reported_at < kLevelValidity &&
         !member.level.Admits(root.priority + 1, root.key);
}

std::uint32_t InstanceChooser::RateLimitMilli(const std::string& service,
                                              const std::string& node) const {
  const Member* member = FindMember(service, node);
  return member == nullptr ? 0 : member->told.rate_limit_milli;
}

bool InstanceChooser::HasInstanceWithoutRateLimit(const std::string& service) const {
  const auto found = services_.find(service);
  return found != services_.end() &&
         std::any_of(found->second.begin(), found->second.end(), [](const Member& member) {
           return member.told.rate_limit_milli == 0 &&
                  member.record.state == directory::InstanceState::kServing;
         });
}

double InstanceChooser::UtilizationOf(const Member& member, base::TimePoint now) const {
  const double slots = std::max<std::uint32_t>(1, member.record.slots);
  const double reported_utilization =
      member.reported_utilization * Decay(now - member.reported_at, kReportHalfLifeSeconds);
  return std::max(member.in_flight / slots, reported_utilization);
}

double InstanceChooser::FailureRateOf(const Member& member, base::TimePoint now) {
  return member.failure_rate * Decay(now - member.failure_rate_updated_at, kFailureHalfLifeSeconds);
}

double InstanceChooser::ScoreOf(const Member& member, double baseline_ms,
                                base::TimePoint now) const {
  double latency_ms = baseline_ms;
  if (member.latency_ms > 0) {
    const double weight = Decay(now - member.latency_updated_at, kLatencyHalfLifeSeconds);
    latency_ms =
        weight * member.latency_ms + (1 - weight) * std::min(baseline_ms, member.latency_ms);
  }
  if (member.record.slowdown_steps > 0) {
    latency_ms = std::max(latency_ms, baseline_ms * std::exp2(member.record.slowdown_steps));
  }
  if (member.record.warm_up_left_ms > 0) {
    latency_ms *= 1.5;  // A cold instance is slow, but needs requests to warm up.
  }
  latency_ms *= 1 + (std::clamp(member.work_time, kMinWorkTime, kMaxWorkTime) - 1) *
                        Decay(now - member.reported_at, kWorkTimeHalfLifeSeconds);
  const double utilization = UtilizationOf(member, now);
  const double load_factor =
      1 + 3 * utilization * utilization + (utilization > kFullUtilization ? 10 : 0);
  const double failure_rate = FailureRateOf(member, now);
  const double failure_factor = 1 + 12 * failure_rate * failure_rate + 2 * failure_rate;
  return latency_ms * load_factor * failure_factor;
}

bool InstanceChooser::IsSlow(const Member& member) {
  return member.record.slowdown_steps >= kSlowSteps;
}

// Where most instances are slow, the cause lies below them: another zone's are no better.
bool InstanceChooser::IsSlownessOfFew(const Members& members) {
  const auto slow = std::count_if(members.begin(), members.end(), IsSlow);
  return 2 * static_cast<std::size_t>(slow) <= members.size();
}

const directory::InstanceRecord* InstanceChooser::Choose(
    const std::string& service, wire::RequestOrigin origin, const std::vector<std::string>& tried,
    CandidateFilter filter, base::TimePoint now, const base::Random& random,
    const RootPosition& root) {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return nullptr;
  }
  double baseline_ms = 0;
  std::size_t sampled_count = 0;
  for (const Member& member : found->second) {
    if (member.latency_ms > 0) {
      baseline_ms =
          sampled_count == 0 ? member.latency_ms : std::min(baseline_ms, member.latency_ms);
      ++sampled_count;
    }
  }
  baseline_ms = sampled_count == 0 ? kDefaultLatencyMs : baseline_ms;
  const bool ranks_slowness = IsSlownessOfFew(found->second);
  const Member* best = nullptr;
  // The lowest rank wins: first the instances with free capacity, by zone crossings, then those
  // that are full, failing or slow, then those that are silent, leaving or were found unavailable.
  std::uint32_t best_rank = 0;
  double best_score = 0;
  for (const Member& member : found->second) {
    const bool was_tried = std::find(tried.begin(), tried.end(), member.record.node) != tried.end();
    const bool has_left =
        member.told.leaving_since && now - *member.told.leaving_since >= kLeaveGrace;
    if (has_left || was_tried != (filter == CandidateFilter::kOnlyTried)) {
      continue;
    }
    std::uint32_t rank = kFullRank;
    const bool is_silent = is_silent_ && is_silent_(member.record.node);
    if (is_silent || member.avoid_until > now || member.told.leaving_since ||
        member.record.state == directory::InstanceState::kLeaving) {
      rank = kUnavailableRank;
    } else if (UtilizationOf(member, now) < kFullUtilization &&
               FailureRateOf(member, now) < kFailingRate && !(ranks_slowness && IsSlow(member)) &&
               !IsBeyondRateLimit(member, root, now)) {
      rank = ZoneCrossingsOf(member.record, origin);
    }
    const double spread = 1 + kScoreSpread * (base::DrawFraction(random) - 0.5);
    const double score = ScoreOf(member, baseline_ms, now) * spread;
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
                                const std::string& instance, AttemptOutcome outcome,
                                base::Duration took, const wire::LoadReport* load,
                                base::TimePoint now) {
  Member* member = FindMember(service, node);
  if (member == nullptr || member->record.instance != instance) {
    return;
  }
  member->in_flight -= member->in_flight > 0 ? 1 : 0;
  if (load != nullptr && load->limit > 0) {
    member->reported_utilization = static_cast<double>(load->in_flight) / load->limit;
    member->reported_at = now;
    member->told.rate_limit_milli = load->rate_limit_milli;
    member->work_time = load->work_time_percent == 0 ? 1 : load->work_time_percent / 100.0;
    member->level = {load->level_rank, load->level_share};
    if (load->is_leaving && !member->told.leaving_since) {
      member->told.leaving_since = now;
    }
  }
  const double took_ms = 1e3 * Seconds(took);
  // A cancelled attempt would have taken at least this long.
  const bool is_latency_known =
      outcome == AttemptOutcome::kServed ||
      (outcome == AttemptOutcome::kCancelled && took_ms > member->latency_ms);
  if (is_latency_known) {
    member->latency_ms = member->latency_ms == 0
                             ? took_ms
                             : (1 - kLatencyWeight) * member->latency_ms + kLatencyWeight * took_ms;
    member->latency_updated_at = now;
  }
  if (outcome == AttemptOutcome::kUnavailable) {
    member->avoid_until = now + kAvoidTime;
  } else if (outcome != AttemptOutcome::kCancelled) {
    const double failed = outcome == AttemptOutcome::kServed ? 0 : 1;
    const double failure_rate = FailureRateOf(*member, now);
    member->failure_rate = failure_rate + kFailureWeight * (failed - failure_rate);
    member->failure_rate_updated_at = now;
  }
}

std::uint32_t InstanceChooser::ZoneCrossingsOf(const directory::InstanceRecord& record,
                                               wire::RequestOrigin origin) const {
  const std::uint32_t first = record.zone == zone_ ? 0 : 1;
  const bool is_call = origin == wire::RequestOrigin::kUpstream;
  return first + (is_call ? std::min(record.remote_calls, kMaxRemoteCalls) : 0);
}

bool InstanceChooser::HasInstanceInZone(const std::string& service) const {
  const auto found = services_.find(service);
  return found != services_.end() &&
         std::any_of(found->second.begin(), found->second.end(), [&](const Member& member) {
           return member.record.zone == zone_ &&
                  member.record.state == directory::InstanceState::kServing;
         });
}

double InstanceChooser::MeanLatencyMs(const std::string& service) const {
  const auto found = services_.find(service);
  double sum = 0;
  std::size_t sampled_count = 0;
  if (found != services_.end()) {
    for (const Member& member : found->second) {
      sum += member.latency_ms;
      sampled_count += member.latency_ms > 0 ? 1 : 0;
    }
  }
  return sampled_count == 0 ? 0 : sum / static_cast<double>(sampled_count);
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
