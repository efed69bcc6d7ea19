#include "tests/routing/queue_model.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace borageloft::routing {

namespace {

constexpr double kSlowFactor = 10;

std::string ZoneName(std::size_t zone) { return fmt::format("zone-{}", zone); }

}  // namespace

double ModelResult::P99Milliseconds() {
  if (latencies.empty()) {
    return 0;
  }
  const auto rank = static_cast<std::ptrdiff_t>(0.99 * static_cast<double>(latencies.size()));
  std::nth_element(latencies.begin(), latencies.begin() + rank, latencies.end());
  return std::chrono::duration<double, std::milli>(latencies[static_cast<std::size_t>(rank)])
      .count();
}

QueueModel::QueueModel(const ModelOptions& options)
    : options_(options), random_(base::SeededRandom(options.seed)) {
  for (std::size_t zone = 0; zone < options.zones; ++zone) {
    for (std::size_t i = 0; i < options.upstreams_per_zone; ++i) {
      Join(zone);
    }
  }
  for (std::size_t i = 0; i < options.zones * options.callers_per_zone; ++i) {
    const std::string zone = ZoneName(i / options.callers_per_zone);
    callers_.push_back(
        {std::make_unique<Router>(fmt::format("caller-{}", i), zone, options.routing), zone, {}});
    for (const auto& upstream : upstreams_) {
      callers_.back().known.push_back(upstream->view);
    }
    callers_.back().router->UpdateMembers(callers_.back().known, now_);
    for (std::size_t other = 0; other < options.zones; ++other) {
      if (ZoneName(other) != zone) {
        callers_.back().router->RecordRoundTrip(ZoneName(other), 2 * options.cross_zone_delay);
      }
    }
  }
  Schedule(base::Duration::zero(), [this] { HandleArrival(); });
}

void QueueModel::Schedule(base::Duration time, std::function<void()> action) {
  events_.push({base::TimePoint(time), next_number_++, std::move(action)});
}

std::uint64_t QueueModel::RunUntil(base::Duration time) {
  std::uint64_t count = 0;
  while (!events_.empty() && events_.top().time <= base::TimePoint(time)) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.time;
    event.action();
    ++count;
  }
  return count;
}

void QueueModel::Join(std::size_t zone) {
  const std::size_t index = upstreams_.size();
  auto upstream = std::make_unique<ModelUpstream>();
  upstream->view = {{fmt::format("upstream-{}", index)},
                    fmt::format("node-{}", index),
                    "",
                    ZoneName(zone),
                    options_.slots};
  by_id_[upstream->view.id.value] = upstream.get();
  upstreams_.push_back(std::move(upstream));
}

void QueueModel::BeginLeaving(std::size_t index) {
  upstreams_.at(index)->view.state = UpstreamState::kLeaving;
}

void QueueModel::Restart(std::size_t index) {
  ModelUpstream& upstream = *upstreams_.at(index);
  ++upstream.view.incarnation;
  upstream.view.state = UpstreamState::kServing;
  upstream.fault = Fault::kNone;
  upstream.running = 0;
  upstream.waiting.clear();
}

void QueueModel::PublishMembers() {
  std::vector<UpstreamView> members;
  for (const auto& upstream : upstreams_) {
    members.push_back(upstream->view);
  }
  for (Caller& caller : callers_) {
    const base::Duration delay(base::DrawBelow(random_, 2'000'000'000));
    Schedule(now() + delay, [this, &caller, members] {
      caller.known = members;
      caller.router->UpdateMembers(members, now_);
    });
  }
}

void QueueModel::HandleArrival() {
  if (now() >= options_.arrivals_end) {
    return;
  }
  Schedule(now() + DrawExponential(1e9 / options_.rate), [this] { HandleArrival(); });
  const bool is_first_zone = base::DrawFraction(random_) < options_.first_zone_share;
  const std::size_t caller =
      is_first_zone ? base::DrawBelow(random_, options_.callers_per_zone)
                    : options_.callers_per_zone +
                          base::DrawBelow(random_, callers_.size() - options_.callers_per_zone);
  ++result_.offered;
  Send(std::make_shared<Request>(Request{caller, now_, {}}));
}

void QueueModel::Send(const std::shared_ptr<Request>& request) {
  Caller& caller = callers_[request->caller];
  const RouteResult result = ChooseFor(caller, request->route);
  if (!std::holds_alternative<Choice>(result)) {
    return;
  }
  const Choice& choice = std::get<Choice>(result);
  const AttemptId id =
      options_.policy == Policy::kRouter ? caller.router->RecordStart(choice) : AttemptId{};
  const bool is_cross_zone = choice.zone != caller.zone;
  const std::uint64_t number = next_number_++;
  const base::Duration one_way_delay =
      is_cross_zone ? options_.cross_zone_delay : options_.own_zone_delay;
  in_flight_.emplace(number, ModelAttempt{request, choice, id, now_, one_way_delay});
  ++result_.attempts;
  result_.cross_zone += is_cross_zone ? 1 : 0;
  result_.sent_to_failing += FindUpstream(choice)->fault == Fault::kFailFast ? 1 : 0;
  Schedule(now() + one_way_delay, [this, number, incarnation = choice.incarnation] {
    HandleRequestAtUpstream(number, incarnation);
  });
  Schedule(now() + options_.attempt_timeout, [this, number] { HandleTimeout(number); });
}

RouteResult QueueModel::ChooseFor(Caller& caller, const RouteRequest& route) {
  if (options_.policy == Policy::kRouter) {
    RouteResult result = caller.router->Choose(route, now_, random_);
    if (check) {
      check(*caller.router, caller.known, route, result);
    }
    return result;
  }
  std::vector<const UpstreamView*> eligible;
  for (const UpstreamView& view : caller.known) {
    const bool is_tried =
        std::find(route.tried.begin(), route.tried.end(), view.id) != route.tried.end();
    if (view.state == UpstreamState::kServing && !is_tried) {
      eligible.push_back(&view);
    }
  }
  if (eligible.empty()) {
    return RouteFailure::kAllTried;
  }
  const std::size_t index = options_.policy == Policy::kRoundRobin
                                ? caller.next++ % eligible.size()
                                : base::DrawBelow(random_, eligible.size());
  const UpstreamView& view = *eligible[index];
  return Choice{view.id, view.node, view.node_address, view.zone, view.incarnation};
}

void QueueModel::HandleRequestAtUpstream(std::uint64_t number, std::uint64_t incarnation) {
  const auto found = in_flight_.find(number);
  if (found == in_flight_.end()) {
    return;
  }
  ModelUpstream& upstream = *FindUpstream(found->second.choice);
  if (upstream.view.incarnation != incarnation) {
    SendResponse(number, AttemptOutcome::kLost);
  } else if (upstream.fault == Fault::kFailFast) {
    SendResponse(number, AttemptOutcome::kError);
  } else if (upstream.fault == Fault::kSilent) {
    return;
  } else if (upstream.view.state == UpstreamState::kLeaving ||
             upstream.waiting.size() >= options_.queue_limit) {
    SendResponse(number, AttemptOutcome::kRefused);
  } else if (upstream.running < options_.slots) {
    StartService(upstream, number);
  } else {
    upstream.waiting.push_back(number);
  }
}

void QueueModel::StartService(ModelUpstream& upstream, std::uint64_t number) {
  ++upstream.running;
  const double mean = static_cast<double>(options_.service_time.count()) *
                      (upstream.fault == Fault::kSlow ? kSlowFactor : 1.0);
  Schedule(now() + DrawExponential(mean),
           [this, &upstream, number, incarnation = upstream.view.incarnation] {
             if (upstream.view.incarnation != incarnation) {
               return;
             }
             --upstream.running;
             SendResponse(number, AttemptOutcome::kServed);
             if (!upstream.waiting.empty()) {
               const std::uint64_t next = upstream.waiting.front();
               upstream.waiting.pop_front();
               StartService(upstream, next);
             }
           });
}

void QueueModel::SendResponse(std::uint64_t number, AttemptOutcome outcome) {
  const auto found = in_flight_.find(number);
  if (found == in_flight_.end()) {
    return;
  }
  const LoadReport report = MakeLoadReport(*FindUpstream(found->second.choice));
  Schedule(now() + found->second.one_way_delay, [this, number, outcome, report] {
    const auto answered = in_flight_.find(number);
    if (answered == in_flight_.end()) {
      return;
    }
    const ModelAttempt attempt = answered->second;
    in_flight_.erase(answered);
    if (options_.policy == Policy::kRouter) {
      AttemptResult result{outcome, now_ - attempt.started_at, report};
      if (outcome == AttemptOutcome::kLost) {
        result.report.reset();
      }
      callers_[attempt.request->caller].router->RecordFinish(attempt.id, result, now_);
    }
    EndAttempt(attempt, outcome);
  });
}

void QueueModel::HandleTimeout(std::uint64_t number) {
  const auto found = in_flight_.find(number);
  if (found == in_flight_.end()) {
    return;
  }
  const ModelAttempt attempt = found->second;
  in_flight_.erase(found);
  if (options_.policy == Policy::kRouter) {
    callers_[attempt.request->caller].router->RecordTimeout(attempt.id, options_.attempt_timeout,
                                                            now_);
  }
  EndAttempt(attempt, AttemptOutcome::kLost);
}

void QueueModel::EndAttempt(const ModelAttempt& attempt, AttemptOutcome outcome) {
  const base::Duration latency = now_ - attempt.request->started_at;
  if (outcome == AttemptOutcome::kServed) {
    result_.served += latency <= options_.deadline ? 1 : 0;
    result_.latencies.push_back(latency);
    return;
  }
  attempt.request->route.tried.push_back(attempt.choice.upstream);
  if (attempt.request->route.tried.size() < options_.attempts && latency < options_.deadline) {
    Send(attempt.request);
  }
}

LoadReport QueueModel::MakeLoadReport(const ModelUpstream& upstream) const {
  const auto in_flight = static_cast<std::uint32_t>(upstream.running + upstream.waiting.size());
  const bool is_leaving = upstream.view.state == UpstreamState::kLeaving;
  if (upstream.fault == Fault::kReportsIdle) {
    return {0, 100 * options_.slots, std::chrono::microseconds(1), 1.0, is_leaving};
  }
  if (upstream.fault == Fault::kReportsBusy) {
    return {100 * options_.slots, 1, std::chrono::seconds(10), 0.0, is_leaving};
  }
  return {in_flight, options_.slots, options_.service_time, 1.0, is_leaving};
}

ModelUpstream* QueueModel::FindUpstream(const Choice& choice) {
  return by_id_.at(choice.upstream.value);
}

base::Duration QueueModel::DrawExponential(double mean_ns) {
  return base::Duration(
      static_cast<std::int64_t>(-std::log(1.0 - base::DrawFraction(random_)) * mean_ns));
}

}  // namespace borageloft::routing
