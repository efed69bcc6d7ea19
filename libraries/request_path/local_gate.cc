#include "libraries/request_path/local_gate.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace borageloft::request_path {

namespace {

constexpr unsigned kFirstServerError = 500;
// Interval at which waiting requests are checked against their time.
constexpr std::chrono::milliseconds kSweepInterval{10};
// A request waits behind others that have this much more time, for each step of its priority.
constexpr std::chrono::milliseconds kPriorityDelay{60};
// Weight of one request in the moving service time.
constexpr double kServiceTimeWeight = 0.05;

double Milliseconds(base::Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

admission::ClassRank RankOf(const wire::Placement& placement) { return placement.priority + 1; }

base::Duration FromMilliseconds(double milliseconds) {
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double, std::milli>(milliseconds));
}

}  // namespace

LocalGate::LocalGate(LocalGateOptions options, directory::LocalInstance& instance,
                     base::Clock clock, timer::TimerService& timers, RunHook run, DecisionLog& log)
    : options_(options),
      instance_(instance),
      clock_(std::move(clock)),
      timers_(timers),
      run_(std::move(run)),
      log_(log),
      level_(options.target_delay, options.control_interval),
      sweep_(timers.SubscribeEvery(kSweepInterval,
                                   [this](base::TimePoint now) { DropOverdue(now); })) {}

LocalGate::~LocalGate() { timers_.Unsubscribe(sweep_); }

GateTicket LocalGate::Submit(wire::Request request, ResponseHandler handler) {
  const base::TimePoint now = clock_();
  const std::uint64_t id = next_id_++;
  Refusal refusal = FindRefusal(request, now);
  Entry entry;
  entry.arrived = now;
  entry.deadline = now + request.remaining;
  entry.wait_until = now + WaitLimit(request);
  entry.instance = instance_.instance();
  const admission::ClassRank importance = RankOf(request.placement);
  const admission::ShedKey key(request.placement.shed_key);
  entry.rank = {level_.level().Admits(importance, key) ? 0 : importance,
                entry.wait_until + request.placement.priority * kPriorityDelay, id};
  level_.RecordArrival(importance, key);
  const bool has_room = running_ < Limit() && waiting_.empty();
  if (refusal == Refusal::kNone && !has_room) {
    const auto ahead =
        static_cast<std::size_t>(std::distance(waiting_.begin(), waiting_.lower_bound(entry.rank)));
    if (now + ExpectedWait(ahead) > entry.wait_until) {
      refusal = Refusal::kQueueFull;
    }
  }
  if (refusal != Refusal::kNone) {
    ++counters_.refused;
    LogRefusal(request, refusal, base::Duration::zero());
    handler(MakeRefusal(refusal, Load()));
    return GateTicket{id};
  }
  entry.request_id = request.context.root;
  entry.placement = request.placement;
  entry.request = std::move(request);
  entry.handler = std::move(handler);
  const Rank rank = entry.rank;
  entries_.emplace(id, std::move(entry));
  if (has_room) {
    Start(id);
  } else {
    waiting_.emplace(rank, id);
  }
  return GateTicket{id};
}

base::Duration LocalGate::WaitLimit(const wire::Request& request) const {
  const base::Duration stated = std::min(request.placement.wait_limit, request.remaining);
  if (request.placement.origin == wire::RequestOrigin::kUpstream) {
    return stated;
  }
  // A root that begins with less time than the work takes would only waste that work.
  const base::Duration spare = request.remaining - FromMilliseconds(service_time_ms_);
  return std::clamp(spare, base::Duration::zero(), stated);
}

Refusal LocalGate::FindRefusal(const wire::Request& request, base::TimePoint now) const {
  if (!instance_.is_known() ||
      (!request.placement.instance.empty() && request.placement.instance != instance_.instance())) {
    return Refusal::kInstanceGone;
  }
  if (instance_.is_suspect()) {
    return Refusal::kInstanceUnreachable;
  }
  if (!is_taking_) {
    return Refusal::kInstanceLeaving;
  }
  if (instance_.leaving_since() && now - *instance_.leaving_since() >= options_.leave_grace) {
    return Refusal::kInstanceLeaving;
  }
  return request.remaining <= base::Duration::zero() ? Refusal::kDeadlinePassed : Refusal::kNone;
}

std::size_t LocalGate::Limit() const {
  const auto limit = static_cast<std::size_t>(options_.slot_share * instance_.slots());
  return std::max<std::size_t>(1, limit);
}

base::Duration LocalGate::ExpectedWait(std::size_t ahead) const {
  return FromMilliseconds(service_time_ms_ * static_cast<double>(ahead + 1) /
                          static_cast<double>(Limit()));
}

void LocalGate::Start(std::uint64_t id) {
  Entry& entry = entries_.at(id);
  const base::TimePoint now = clock_();
  entry.is_running = true;
  entry.started = now;
  ++running_;
  running_ids_[entry.request_id] = id;
  ++counters_.started;
  counters_.calls_started += entry.placement.origin == wire::RequestOrigin::kUpstream ? 1 : 0;
  if (entry.rank.held_back == 0) {
    level_.RecordWait(now - entry.arrived);
  }
  entry.request.remaining = entry.deadline - now;
  entry.request.placement.instance = instance_.instance();
  CancelHook cancel =
      run_(std::move(entry.request), entry.deadline,
           [this, id](wire::Response response) { Finish(id, std::move(response)); });
  // The request may have ended at once.
  if (const auto found = entries_.find(id); found != entries_.end()) {
    found->second.cancel = std::move(cancel);
  }
}

void LocalGate::StartNext() {
  while (!waiting_.empty() && running_ < Limit()) {
    const std::uint64_t id = waiting_.begin()->second;
    waiting_.erase(waiting_.begin());
    const base::TimePoint now = clock_();
    const Entry& entry = entries_.at(id);
    const Refusal refusal = entry.deadline <= now ? Refusal::kDeadlinePassed
                            : entry.instance != instance_.instance()
                                ? Refusal::kInstanceGone
                                : FindRefusal(entry.request, now);
    if (refusal != Refusal::kNone) {
      Refuse(id, refusal);
    } else {
      Start(id);
    }
  }
}

void LocalGate::Finish(std::uint64_t id, wire::Response response) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return;
  }
  Entry entry = std::move(found->second);
  entries_.erase(found);
  VERIFY(entry.is_running && running_ > 0);
  level_.RecordFinish(static_cast<double>(running_) / static_cast<double>(Limit()));
  EndRunning(entry, id);
  if (response.outcome == wire::Outcome::kRan) {
    const base::TimePoint now = clock_();
    const double took = Milliseconds(now - entry.started);
    slowness_.RecordEnd(entry.placement.origin, now - entry.started, now);
    if (entry.has_failed_call && response.status >= kFirstServerError) {
      response.reason = std::string(TextOf(Refusal::kCallFailed));
    }
    service_time_ms_ = service_time_ms_ == 0 ? took
                                             : (1 - kServiceTimeWeight) * service_time_ms_ +
                                                   kServiceTimeWeight * took;
  } else if (response.outcome == wire::Outcome::kNotRun) {
    ++counters_.rejected;
  } else {
    ++counters_.lost;
  }
  response.load = Load();
  entry.handler(std::move(response));
  StartNext();
}

void LocalGate::Refuse(std::uint64_t id, Refusal refusal) {
  const auto found = entries_.find(id);
  VERIFY(found != entries_.end() && !found->second.is_running);
  Entry entry = std::move(found->second);
  entries_.erase(found);
  ++counters_.refused;
  LogRefusal(entry.request, refusal, clock_() - entry.arrived);
  entry.handler(MakeRefusal(refusal, Load()));
}

void LocalGate::Cancel(GateTicket ticket) {
  const auto id = static_cast<std::uint64_t>(ticket);
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return;
  }
  Entry entry = std::move(found->second);
  entries_.erase(found);
  ++counters_.cancelled;
  wire::Response response = MakeRefusal(Refusal::kDeadlinePassed, {});
  if (entry.is_running) {
    const base::TimePoint now = clock_();
    slowness_.RecordGivenUp(entry.placement.origin, now - entry.started, now);
    EndRunning(entry, id);
    if (entry.cancel) {
      entry.cancel();
    }
    response.outcome = wire::Outcome::kUnknown;
  } else {
    waiting_.erase(entry.rank);
  }
  response.load = Load();
  entry.handler(std::move(response));
  StartNext();
}

void LocalGate::DropOverdue(base::TimePoint now) {
  std::vector<std::uint64_t> overdue;
  for (const auto& [rank, id] : waiting_) {
    if (entries_.at(id).wait_until <= now) {
      overdue.push_back(id);
    }
  }
  for (const std::uint64_t id : overdue) {
    // A handler of an earlier one may have cancelled it.
    const auto found = entries_.find(id);
    if (found != entries_.end() && waiting_.erase(found->second.rank) > 0) {
      Refuse(id,
             found->second.deadline <= now ? Refusal::kDeadlinePassed : Refusal::kWaitedTooLong);
    }
  }
  StartNext();
  const double throughput =
      service_time_ms_ > 0 ? 1e3 * static_cast<double>(Limit()) / service_time_ms_ : 0;
  level_.Update(OldestWait(now), throughput, now);
}

base::Duration LocalGate::OldestWait(base::TimePoint now) const {
  base::Duration oldest = base::Duration::zero();
  for (const auto& [rank, id] : waiting_) {
    if (rank.held_back > 0) {
      break;  // The level has taken these into account already.
    }
    oldest = std::max(oldest, now - entries_.at(id).arrived);
  }
  return oldest;
}

void LocalGate::EndRunning(const Entry& entry, std::uint64_t id) {
  --running_;
  const auto running = running_ids_.find(entry.request_id);
  if (running != running_ids_.end() && running->second == id) {
    running_ids_.erase(running);
  }
}

void LocalGate::NoteFailedCall(const std::string& request_id) {
  if (const auto running = running_ids_.find(request_id); running != running_ids_.end()) {
    entries_.at(running->second).has_failed_call = true;
  }
}

const wire::Placement* LocalGate::FindRunning(const std::string& request_id) const {
  const auto running = running_ids_.find(request_id);
  return running == running_ids_.end() ? nullptr : &entries_.at(running->second).placement;
}

wire::LoadReport LocalGate::Load() const {
  admission::AdmissionLevel level = level_.level();
  if (downstream_level_) {
    level = std::min(level, downstream_level_());
  }
  wire::LoadReport load;
  load.level_rank = level.rank();
  load.level_share = level.share();
  load.in_flight = static_cast<std::uint32_t>(running_ + waiting_.size());
  load.limit = static_cast<std::uint32_t>(Limit());
  load.service_time = FromMilliseconds(service_time_ms_);
  load.is_leaving = instance_.leaving_since().has_value();
  return load;
}

wire::Response LocalGate::MakeRefusal(Refusal refusal, const wire::LoadReport& load) {
  wire::Response response;
  response.outcome = wire::Outcome::kNotRun;
  response.reason = std::string(TextOf(refusal));
  response.load = load;
  return response;
}

void LocalGate::LogRefusal(const wire::Request& request, Refusal refusal, base::Duration waited) {
  log_.Write(LogShare::kAlways, "gate_refused",
             {{"request", request.context.root},
              {"service", request.service},
              {"instance", instance_.instance()},
              {"reason", std::string(TextOf(refusal))},
              {"priority", request.placement.priority},
              {"origin",
               request.placement.origin == wire::RequestOrigin::kUpstream ? "upstream" : "caller"},
              {"running", static_cast<Json::UInt64>(running_)},
              {"waiting", static_cast<Json::UInt64>(waiting_.size())},
              {"limit", static_cast<Json::UInt64>(Limit())},
              {"waited_ms", Milliseconds(waited)}});
}

}  // namespace borageloft::request_path
