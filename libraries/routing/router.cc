#include "libraries/routing/router.h"

#include <algorithm>

namespace borageloft::routing {

namespace {

// Time for which a load report that an upstream is leaving is trusted. Membership lags by up to 2 s
// and reports it as well by then.
constexpr std::chrono::seconds kLeavingReportLifetime{5};

// Weight of one latency in the service's average. It is lower than the weight in an upstream's own
// average, because the latencies of all upstreams contribute.
constexpr double kServiceLatencyWeight = 0.05;

template <typename Value>
bool Contains(const std::vector<Value>& values, const Value& value) {
  return std::find(values.begin(), values.end(), value) != values.end();
}

const RoutingOptions& Checked(const RoutingOptions& options) {
  options.Check();
  return options;
}

}  // namespace

void Router::Candidates::Clear() {
  own.clear();
  other.clear();
  probes.clear();
  ejected.clear();
  tried_zones.clear();
}

Router::Router(std::string_view node, const std::string& zone, const RoutingOptions& options)
    : options_(Checked(options)),
      subset_(node, zone, options_.subset),
      outliers_(options_.outlier),
      zones_(zone, options_.zone),
      service_latency_(options_.estimate.initial_service_time) {}

void Router::UpdateMembers(const std::vector<UpstreamView>& members, base::TimePoint now) {
  known_members_ = members.size();
  std::vector<std::unique_ptr<Member>> old = std::move(members_);
  std::unordered_map<std::string, std::unique_ptr<Member>> kept;
  for (auto& member : old) {
    kept.emplace(member->view.id.value, std::move(member));
  }
  members_.clear();
  by_id_.clear();
  std::vector<OutlierRecord*> records;
  for (const UpstreamView* view : subset_.Select(members)) {
    const auto found = kept.find(view->id.value);
    if (found != kept.end()) {
      members_.push_back(std::move(found->second));
      kept.erase(found);
      RefreshMember(*members_.back(), *view);
    } else {
      members_.push_back(MakeMember(*view));
    }
    Member* member = members_.back().get();
    OutlierDetector::Advance(member->outlier, now);
    records.push_back(&member->outlier);
    VERIFY(by_id_.emplace(view->id.value, member).second);
  }
  for (auto& [id, member] : kept) {
    outliers_.Forget(member->outlier);
  }
  outliers_.Resize(records);
}

void Router::RefreshMember(Member& member, const UpstreamView& view) {
  if (view.incarnation < member.view.incarnation) {
    return;
  }
  if (view.incarnation > member.view.incarnation) {
    member.generation = next_generation_++;
    member.load = LoadEstimate(options_.estimate, view.slots);
    member.leaving_since.reset();
    OutlierDetector::Restart(member.outlier);
  }
  member.view = view;
  member.zone = zones_.IndexOf(view.zone);
  member.load.SetSlots(view.slots);
}

std::unique_ptr<Router::Member> Router::MakeMember(const UpstreamView& view) {
  return std::make_unique<Member>(Member{view, next_generation_++, zones_.IndexOf(view.zone),
                                         LoadEstimate(options_.estimate, view.slots),
                                         OutlierRecord{}, std::nullopt});
}

RouteResult Router::Choose(const RouteRequest& request, base::TimePoint now,
                           const base::Random& random) {
  CollectCandidates(request, now);
  if (!candidates_.probes.empty() && base::DrawFraction(random) < options_.outlier.probe_share) {
    const Member& probed = *candidates_.probes[base::DrawBelow(random, candidates_.probes.size())];
    return MakeChoice(probed, EstimatedTime(probed, now), true);
  }
  const Pick pick = PickAmongCandidates(now, random);
  if (pick.member == nullptr) {
    return FailureReason();
  }
  VERIFY(pick.member->view.state == UpstreamState::kServing && !IsLeaving(*pick.member, now));
  return MakeChoice(*pick.member, pick.time, false);
}

void Router::CollectCandidates(const RouteRequest& request, base::TimePoint now) {
  candidates_.Clear();
  const bool may_probe = request.probe_use == ProbeUse::kAllowed && request.tried.empty();
  for (const auto& entry : members_) {
    Member& member = *entry;
    if (IsLeaving(member, now) || Contains(request.tried, member.view.id)) {
      continue;
    }
    OutlierDetector::Advance(member.outlier, now);
    if (member.outlier.ejection_state != EjectionState::kNormal) {
      candidates_.ejected.push_back(&member);
      if (may_probe && member.outlier.ejection_state == EjectionState::kProbing &&
          !member.outlier.is_probe_in_flight) {
        candidates_.probes.push_back(&member);
      }
    } else if (Contains(request.tried_zones, member.view.zone)) {
      candidates_.tried_zones.push_back(&member);
    } else {
      (ZoneSpill::IsOwn(member.zone) ? candidates_.own : candidates_.other).push_back(&member);
    }
  }
}

Router::Pick Router::PickAmongCandidates(base::TimePoint now, const base::Random& random) {
  const Pick own = PickBest(candidates_.own, now, random);
  const Pick other = PickBest(candidates_.other, now, random);
  if (own.member != nullptr && other.member != nullptr) {
    return zones_.ShouldSpill(own.time, other.time) ? other : own;
  }
  if (own.member != nullptr || other.member != nullptr) {
    return own.member != nullptr ? own : other;
  }
  // As a last resort, use a zone that was tried already, then an ejected upstream.
  const Pick tried = PickBest(candidates_.tried_zones, now, random);
  return tried.member != nullptr ? tried : PickBest(candidates_.ejected, now, random);
}

Router::Pick Router::PickBest(std::vector<Member*>& members, base::TimePoint now,
                              const base::Random& random) {
  Pick best;
  const std::size_t count = std::min(options_.choices, members.size());
  for (std::size_t i = 0; i < count; ++i) {
    // Partial Fisher-Yates shuffle: moves a random upstream that was not yet compared to index i.
    std::swap(members[i], members[i + base::DrawBelow(random, members.size() - i)]);
    const base::Duration time = EstimatedTime(*members[i], now);
    if (best.member == nullptr || time < best.time) {
      best = {members[i], time};
    }
  }
  return best;
}

RouteFailure Router::FailureReason() const {
  if (known_members_ == 0) {
    return RouteFailure::kNoMembers;
  }
  return members_.empty() ? RouteFailure::kAllLeaving : RouteFailure::kAllTried;
}

base::Duration Router::EstimatedTime(const Member& member, base::TimePoint now) const {
  const auto time = static_cast<double>(member.load.TimeToServe(now, service_latency_).count());
  const double penalised = time * outliers_.Penalty(member.outlier, now);
  return base::Duration(static_cast<std::int64_t>(penalised)) + zones_.RoundTrip(member.zone);
}

bool Router::IsLeaving(const Member& member, base::TimePoint now) {
  return member.leaving_since && now - *member.leaving_since < kLeavingReportLifetime;
}

Choice Router::MakeChoice(const Member& member, base::Duration time, bool is_probe) const {
  return {member.view.id,
          member.view.node,
          member.view.node_address,
          member.view.zone,
          member.view.incarnation,
          !ZoneSpill::IsOwn(member.zone),
          is_probe,
          time};
}

AttemptId Router::RecordStart(const Choice& choice) {
  const AttemptId id{next_attempt_++};
  Attempt attempt{choice.upstream, 0, choice.is_probe};
  const auto found = by_id_.find(choice.upstream.value);
  if (found != by_id_.end() && found->second->view.incarnation == choice.incarnation) {
    Member& member = *found->second;
    attempt.generation = member.generation;
    member.load.Start();
    if (choice.is_probe) {
      OutlierDetector::StartProbe(member.outlier);
    }
  }
  zones_.CountRequest(zones_.IndexOf(choice.zone));
  attempts_.emplace(static_cast<std::uint64_t>(id), std::move(attempt));
  return id;
}

void Router::RecordFinish(AttemptId attempt, const AttemptResult& result, base::TimePoint now) {
  const auto ended = TakeAttempt(attempt);
  Member* member = ended ? FindMember(*ended) : nullptr;
  if (member == nullptr) {
    return;
  }
  member->load.Finish();
  if (result.report) {
    member->load.RecordReport(*result.report, now);
    if (result.report->is_leaving) {
      member->leaving_since = now;
    }
  }
  switch (result.outcome) {
    case AttemptOutcome::kServed:
      RecordServed(*member, result.latency, now);
      outliers_.RecordSuccess(member->outlier, ended->is_probe, now);
      break;
    case AttemptOutcome::kError:
    case AttemptOutcome::kLost:
      outliers_.RecordFailure(member->outlier, ended->is_probe, now);
      break;
    case AttemptOutcome::kRefused:
      outliers_.RecordRefusal(member->outlier, ended->is_probe, now);
      break;
    case AttemptOutcome::kCancelled:
      OutlierDetector::RecordNeutral(member->outlier, ended->is_probe);
      break;
  }
}

void Router::RecordTimeout(AttemptId attempt, base::Duration waited, base::TimePoint now) {
  const auto ended = TakeAttempt(attempt);
  Member* member = ended ? FindMember(*ended) : nullptr;
  if (member == nullptr) {
    return;
  }
  member->load.Finish();
  // The latency is at least the time waited. It is not added to the service's average.
  member->load.RecordLatency(SubtractRoundTrip(*member, waited), now);
  outliers_.RecordFailure(member->outlier, ended->is_probe, now);
}

void Router::RecordRoundTrip(std::string_view zone, base::Duration round_trip) {
  zones_.RecordRoundTrip(zone, round_trip);
}

std::vector<UpstreamStatus> Router::Status(base::TimePoint now) const {
  std::vector<UpstreamStatus> status;
  status.reserve(members_.size());
  for (const auto& member : members_) {
    status.push_back({member->view, member->outlier.ejection_state, IsLeaving(*member, now),
                      member->load.in_flight(), EstimatedTime(*member, now)});
  }
  return status;
}

std::optional<Router::Attempt> Router::TakeAttempt(AttemptId id) {
  const auto found = attempts_.find(static_cast<std::uint64_t>(id));
  if (found == attempts_.end()) {
    return std::nullopt;
  }
  Attempt attempt = std::move(found->second);
  attempts_.erase(found);
  return attempt;
}

Router::Member* Router::FindMember(const Attempt& attempt) {
  const auto found = by_id_.find(attempt.upstream.value);
  const bool is_same = found != by_id_.end() && found->second->generation == attempt.generation;
  return is_same ? found->second : nullptr;
}

void Router::RecordServed(Member& member, base::Duration latency, base::TimePoint now) {
  const base::Duration served = SubtractRoundTrip(member, latency);
  member.load.RecordLatency(served, now);
  const auto change = static_cast<double>((served - service_latency_).count());
  service_latency_ += base::Duration(static_cast<std::int64_t>(change * kServiceLatencyWeight));
}

base::Duration Router::SubtractRoundTrip(const Member& member, base::Duration latency) const {
  // The average round trip may exceed the measured latency, so at least a tenth of the latency is
  // attributed to the upstream.
  return std::max(latency - zones_.RoundTrip(member.zone), latency / 10);
}

}  // namespace borageloft::routing
