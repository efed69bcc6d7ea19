#include "libraries/request_path/local_gate.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace borageloft::request_path {

namespace {

constexpr unsigned kFirstServerError = 500;
// Interval between checks for waiting requests whose time is up.
constexpr std::chrono::milliseconds kSweepInterval{10};
// Added to the due time of a request for each step of its priority number, so that it also waits
// behind more important requests that are due by this much later.
constexpr std::chrono::milliseconds kPriorityDelay{60};
// Time for which a stated work time is reported: it changes many times a second.
constexpr std::chrono::milliseconds kWorkTimeValidity{300};
// Requests in a row without an answer after which the next answer is that of a recovered upstream.
constexpr std::uint32_t kLostBeforeRecovery = 8;
// Weight of one request in the moving average of the service time.
constexpr double kServiceTimeWeight = 0.05;

double Milliseconds(base::Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

std::size_t SizeOf(const wire::Request& request) {
  return request.body.size() + http_stream::SizeOf(request.headers);
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
                                   [this](base::TimePoint now) { RefuseOverdue(now); })) {}

LocalGate::~LocalGate() { timers_.Unsubscribe(sweep_); }

GateTicket LocalGate::Submit(wire::Request request, ResponseHandler handler) {
  const base::TimePoint now = clock_();
  const std::uint64_t id = next_id_++;
  Refusal refusal = FindRefusal(request, now);
  CheckIncarnation();
  if (refusal == Refusal::kNone && held_bytes_ + SizeOf(request) > options_.held_bytes) {
    refusal = Refusal::kTooManyBytes;
  }
  if (refusal == Refusal::kNone) {
    rate_limit_.Suggest(request.placement.rate_limit_milli, now);
  }
  TrackedRequest tracked;
  tracked.arrived = now;
  tracked.deadline = now + request.remaining;
  tracked.wait_until = now + WaitLimit(request);
  tracked.incarnation = instance_.incarnation();
  const admission::ClassRank importance = RankOf(request.placement);
  const admission::ShedKey key(request.placement.shed_key);
  tracked.queue_key = {level_.level().Admits(importance, key) ? 0 : importance,
                       tracked.wait_until + request.placement.priority * kPriorityDelay, id};
  level_.RecordArrival(importance, key);
  const bool has_room = CanStart(now) && waiting_.empty();
  if (refusal == Refusal::kNone && !has_room) {
    refusal = FindOverload(tracked.queue_key, now, tracked.wait_until);
  }
  if (refusal != Refusal::kNone) {
    ++counters_.refused;
    LogRefusal(request, refusal, base::Duration::zero());
    handler(MakeRefusal(refusal, Load()));
    return GateTicket{id};
  }
  tracked.request_id = request.context.root;
  tracked.placement = request.placement;
  tracked.request = std::move(request);
  tracked.handler = std::move(handler);
  const QueueKey queue_key = tracked.queue_key;
  tracked.held_bytes = SizeOf(tracked.request);
  held_bytes_ += tracked.held_bytes;
  requests_.emplace(id, std::move(tracked));
  if (has_room) {
    Start(id);
  } else {
    waiting_.emplace(queue_key, id);
  }
  return GateTicket{id};
}

base::Duration LocalGate::WaitLimit(const wire::Request& request) const {
  const base::Duration stated = std::min(request.placement.wait_limit, request.remaining);
  if (request.placement.origin == wire::RequestOrigin::kUpstream) {
    return stated;
  }
  // A root request that starts with less time than its service takes would only waste that work.
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

LocalGate::TrackedRequest LocalGate::Take(
    std::unordered_map<std::uint64_t, TrackedRequest>::iterator found) {
  TrackedRequest tracked = std::move(found->second);
  requests_.erase(found);
  held_bytes_ -= tracked.held_bytes;
  return tracked;
}

Refusal LocalGate::FindOverload(const QueueKey& key, base::TimePoint now,
                                base::TimePoint wait_until) {
  const auto ahead =
      static_cast<std::size_t>(std::distance(waiting_.begin(), waiting_.lower_bound(key)));
  if (now + ExpectedWait(ahead) > wait_until) {
    return Refusal::kQueueFull;
  }
  return now + rate_limit_.WaitBehind(ahead, now) > wait_until ? Refusal::kRateLimited
                                                               : Refusal::kNone;
}

void LocalGate::CheckIncarnation() {
  const directory::Incarnation current = instance_.incarnation();
  if (!directory::MayBeSame(current, incarnation_)) {
    rate_limit_.Reset();
    work_time_percent_ = 0;
    lost_in_a_row_ = 0;
    // The first process that a gate sees has mostly been running for long.
    const base::TimePoint now = clock_();
    if (!incarnation_.instance.empty() || instance_.WarmUpLeft(now) > base::Duration::zero()) {
      BeginRecovery(now);
    }
  }
  incarnation_ = current;
}

void LocalGate::BeginRecovery(base::TimePoint now) {
  if (options_.uses_recovery_pace) {
    pace_.Begin(now);
  }
}

void LocalGate::LearnFromAnswer(const TrackedRequest& tracked, const wire::Response& response,
                                base::TimePoint now) {
  CheckIncarnation();
  const bool is_answer = response.outcome != wire::Outcome::kUnknown && response.status != 0;
  if (!is_answer || !directory::MayBeSame(tracked.incarnation, incarnation_)) {
    return;
  }
  const std::uint32_t milli = response.load.rate_limit_milli;
  if ((milli > 0) != (rate_limit_.milli() > 0)) {
    base::Log(base::LogLevel::kInfo, "upstream_rate_changed",
              {{"instance", incarnation_.instance},
               {"request", tracked.request_id},
               {"per_second", milli / 1000.0},
               {"before", rate_limit_.milli() / 1000.0},
               {"running", static_cast<Json::UInt64>(running_)}});
  }
  rate_limit_.Learn(milli, now);
  if (response.load.work_time_percent > 0) {
    work_time_percent_ = response.load.work_time_percent;
    work_time_at_ = now;
  }
  if (response.load.is_leaving && !instance_.leaving_since()) {
    base::Log(base::LogLevel::kInfo, "instance_leaving_in_answer",
              {{"instance", incarnation_.instance}, {"request", tracked.request_id}});
    instance_.HandleLeave(incarnation_, now);
  }
}

bool LocalGate::CanStart(base::TimePoint now) {
  return running_ < Limit() && rate_limit_.HasToken(now);
}

// By Little's law, an upstream that takes a limited rate runs no more than this at once.
std::size_t LocalGate::ExpectedConcurrency() const {
  if (rate_limit_.milli() == 0 || service_time_ms_ == 0) {
    return Limit();
  }
  const auto concurrency =
      static_cast<std::size_t>(std::ceil(rate_limit_.rate() * service_time_ms_ / 1e3));
  return std::clamp<std::size_t>(concurrency, 1, Limit());
}

std::size_t LocalGate::Limit() const {
  const auto limit = static_cast<std::size_t>(options_.slot_share * instance_.slots());
  return pace_.Limit(std::max<std::size_t>(1, limit), clock_());
}

std::uint32_t LocalGate::WorkTimePercent() const {
  return clock_() - work_time_at_ < kWorkTimeValidity ? work_time_percent_ : 0;
}

void LocalGate::CheckRecovery(const TrackedRequest& tracked, const wire::Response& response,
                              base::TimePoint now) {
  switch (response.outcome) {
    case wire::Outcome::kRan:
      if (lost_in_a_row_ >= kLostBeforeRecovery) {
        BeginRecovery(now);
      }
      lost_in_a_row_ = 0;
      pace_.RecordAnswer(now - tracked.started, now);
      return;
    case wire::Outcome::kNotRun:
      pace_.RecordRejection(now);
      return;
    case wire::Outcome::kUnknown:
      ++lost_in_a_row_;
      return;
  }
}

base::Duration LocalGate::ExpectedWait(std::size_t ahead) const {
  return FromMilliseconds(service_time_ms_ * static_cast<double>(ahead + 1) /
                          static_cast<double>(Limit()));
}

void LocalGate::Start(std::uint64_t id) {
  TrackedRequest& tracked = requests_.at(id);
  const base::TimePoint now = clock_();
  tracked.is_running = true;
  tracked.started = now;
  rate_limit_.Take(now);
  slowness_.RecordStart(tracked.placement.origin, now);
  ++running_;
  running_ids_[tracked.request_id] = id;
  ++counters_.started;
  counters_.calls_started += tracked.placement.origin == wire::RequestOrigin::kUpstream ? 1 : 0;
  if (tracked.queue_key.unadmitted_class == 0) {
    level_.RecordWait(now - tracked.arrived);
  }
  tracked.request.remaining = tracked.deadline - now;
  tracked.request.placement.instance = instance_.instance();
  CancelHook cancel =
      run_(std::move(tracked.request), tracked.deadline,
           [this, id](wire::Response response) { Finish(id, std::move(response)); });
  // The request may have ended before the hook returned.
  if (const auto found = requests_.find(id); found != requests_.end()) {
    found->second.cancel = std::move(cancel);
  }
}

void LocalGate::StartNext() {
  while (!waiting_.empty()) {
    const std::uint64_t id = waiting_.begin()->second;
    const base::TimePoint now = clock_();
    const TrackedRequest& tracked = requests_.at(id);
    const Refusal refusal = tracked.deadline <= now ? Refusal::kDeadlinePassed
                            : !directory::MayBeSame(tracked.incarnation, instance_.incarnation())
                                ? Refusal::kInstanceGone
                                : FindRefusal(tracked.request, now);
    // A request that cannot run here is refused even while no other one can start.
    if (refusal == Refusal::kNone && !CanStart(now)) {
      return;
    }
    waiting_.erase(waiting_.begin());
    if (refusal != Refusal::kNone) {
      Refuse(id, refusal);
    } else {
      Start(id);
    }
  }
}

void LocalGate::Finish(std::uint64_t id, wire::Response response) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return;
  }
  TrackedRequest tracked = Take(found);
  VERIFY(tracked.is_running && running_ > 0);
  level_.RecordFinish(static_cast<double>(running_) / static_cast<double>(ExpectedConcurrency()));
  ReleaseSlot(tracked, id);
  const base::TimePoint now = clock_();
  LearnFromAnswer(tracked, response, now);
  CheckRecovery(tracked, response, now);
  if (response.outcome == wire::Outcome::kRan) {
    const double took = Milliseconds(now - tracked.started);
    slowness_.RecordEnd(tracked.placement.origin, now - tracked.started, now);
    if (tracked.has_failed_call && response.status >= kFirstServerError) {
      response.reason = std::string(TextOf(Refusal::kCallFailed));
    }
    service_time_ms_ = service_time_ms_ == 0 ? took
                                             : (1 - kServiceTimeWeight) * service_time_ms_ +
                                                   kServiceTimeWeight * took;
  } else {
    slowness_.RecordDropped(tracked.placement.origin, now - tracked.started, now);
    ++(response.outcome == wire::Outcome::kNotRun ? counters_.rejected : counters_.lost);
  }
  response.load = Load();
  tracked.handler(std::move(response));
  StartNext();
}

void LocalGate::Refuse(std::uint64_t id, Refusal refusal) {
  const auto found = requests_.find(id);
  VERIFY(found != requests_.end() && !found->second.is_running);
  TrackedRequest tracked = Take(found);
  ++counters_.refused;
  LogRefusal(tracked.request, refusal, clock_() - tracked.arrived);
  tracked.handler(MakeRefusal(refusal, Load()));
}

void LocalGate::Cancel(GateTicket ticket) {
  const auto id = static_cast<std::uint64_t>(ticket);
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return;
  }
  TrackedRequest tracked = Take(found);
  ++counters_.cancelled;
  wire::Response response = MakeRefusal(Refusal::kDeadlinePassed, {});
  if (tracked.is_running) {
    const base::TimePoint now = clock_();
    slowness_.RecordCancelled(tracked.placement.origin, now - tracked.started, now);
    ReleaseSlot(tracked, id);
    if (tracked.cancel) {
      tracked.cancel();
    }
    response.outcome = wire::Outcome::kUnknown;
  } else {
    waiting_.erase(tracked.queue_key);
  }
  response.load = Load();
  tracked.handler(std::move(response));
  StartNext();
}

void LocalGate::RefuseOverdue(base::TimePoint now) {
  std::vector<std::uint64_t> overdue;
  for (const auto& [queue_key, id] : waiting_) {
    if (requests_.at(id).wait_until <= now) {
      overdue.push_back(id);
    }
  }
  for (const std::uint64_t id : overdue) {
    // The handler of an earlier request may have cancelled this one.
    const auto found = requests_.find(id);
    if (found != requests_.end() && waiting_.erase(found->second.queue_key) > 0) {
      Refuse(id,
             found->second.deadline <= now ? Refusal::kDeadlinePassed : Refusal::kWaitedTooLong);
    }
  }
  StartNext();
  const auto concurrency = static_cast<double>(ExpectedConcurrency());
  const double throughput = service_time_ms_ > 0 ? 1e3 * concurrency / service_time_ms_ : 0;
  // A request waits for its token even when the rate suffices.
  const base::Duration token_interval =
      rate_limit_.milli() > 0 ? FromMilliseconds(1e3 / rate_limit_.rate()) : base::Duration::zero();
  level_.set_target_delay(std::max(options_.target_delay, token_interval));
  level_.Update(OldestWait(now), throughput, now);
}

base::Duration LocalGate::OldestWait(base::TimePoint now) const {
  base::Duration oldest = base::Duration::zero();
  for (const auto& [queue_key, id] : waiting_) {
    if (queue_key.unadmitted_class > 0) {
      break;  // The rest is above the level, which already accounts for them.
    }
    oldest = std::max(oldest, now - requests_.at(id).arrived);
  }
  return oldest;
}

void LocalGate::ReleaseSlot(const TrackedRequest& tracked, std::uint64_t id) {
  --running_;
  const auto running = running_ids_.find(tracked.request_id);
  if (running != running_ids_.end() && running->second == id) {
    running_ids_.erase(running);
  }
}

void LocalGate::NoteFailedCall(const std::string& request_id) {
  if (const auto running = running_ids_.find(request_id); running != running_ids_.end()) {
    requests_.at(running->second).has_failed_call = true;
  }
}

const wire::Placement* LocalGate::FindRunning(const std::string& request_id) const {
  const auto running = running_ids_.find(request_id);
  return running == running_ids_.end() ? nullptr : &requests_.at(running->second).placement;
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
  load.limit = static_cast<std::uint32_t>(ExpectedConcurrency());
  load.service_time = FromMilliseconds(service_time_ms_);
  load.is_leaving = instance_.leaving_since().has_value();
  load.rate_limit_milli = rate_limit_.milli();
  load.work_time_percent = WorkTimePercent();
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
  log_.Write(LogSampling::kAlways, "gate_refused",
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
