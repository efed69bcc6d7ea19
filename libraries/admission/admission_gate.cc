#include "libraries/admission/admission_gate.h"

#include <algorithm>
#include <cmath>

#include "libraries/admission/admission_error.h"

namespace borageloft::admission {

namespace {

// Weight of one request in the smoothed service time.
constexpr double kServiceTimeWeight = 0.1;

// Upper bound of the retry-after hint. The admission level follows the load within a few control
// intervals, so a longer pause would leave slots idle after an overload ends.
constexpr base::Duration kMaxRetryAfter = std::chrono::seconds(1);

constexpr base::Duration kMaxTargetDelay = std::chrono::milliseconds(50);

}  // namespace

AdmissionGate::AdmissionGate(const GateLimits& limits, const std::vector<ClassLimits>& classes)
    : limits_((CheckLimits(limits, classes), limits)),
      concurrency_(limits.slots, limits.cold_share),
      controller_(limits.target_delay, limits.control_interval) {
  ApplyClassLimits(classes);
}

Decision AdmissionGate::Offer(const Ticket& ticket, base::TimePoint now) {
  const ClassRank rank = ticket.request_class.rank;
  ClassCounters& counters = CountersOf(ticket.request_class);
  if (running_.contains(ticket.id)) {
    throw AdmissionError("a request with this ticket id is already running");
  }
  ++counters.offered;
  if (is_leaving_) {
    return Refuse(counters, Reason::kLeaving);
  }
  classes_[rank].last_offer = now;
  controller_.RecordArrival(rank, ticket.key);
  UpdateLevel(now);
  if (const auto reason = CheckDeadline(ticket, now)) {
    return Refuse(counters, *reason);
  }
  Decision decision;
  DropInfeasible(now, decision.changes);
  RunWaiting(now, decision.changes);
  if (const auto refusal = MakeRoom(ticket, now, decision.changes)) {
    Decision refused = Refuse(counters, *refusal);
    refused.changes = std::move(decision.changes);
    return refused;
  }
  if (queue_.size(rank) == 0 && MayRun(rank, now)) {
    Start(ticket, base::Duration::zero(), now);
    decision.verdict = Verdict::kRun;
    return decision;
  }
  queue_.Push(ticket, now);
  ++counters.queued;
  decision.verdict = Verdict::kQueued;
  return decision;
}

GateChanges AdmissionGate::Finish(TicketId id, Outcome outcome, base::Duration service_time,
                                  base::TimePoint now, base::Duration downstream_time) {
  const auto found = running_.find(id);
  if (found == running_.end()) {
    throw AdmissionError("no running request has this ticket id");
  }
  const RequestClass request_class = std::move(found->second);
  const std::size_t in_flight = running_.size();
  running_.erase(found);
  --classes_.at(request_class.rank).running;
  ++CountersOf(request_class).finished[static_cast<std::size_t>(outcome)];
  controller_.RecordFinish(static_cast<double>(in_flight) /
                           static_cast<double>(concurrency_.limit()));
  if (outcome == Outcome::kSucceeded || outcome == Outcome::kFailed) {
    service_time_ += service_time_ == base::Duration::zero()
                         ? service_time
                         : std::chrono::duration_cast<base::Duration>(
                               (service_time - service_time_) * kServiceTimeWeight);
  }
  const base::Duration own_time = std::max(service_time - downstream_time, base::Duration(1));
  concurrency_.Record(own_time, outcome, in_flight, now);
  return Expire(now);
}

GateChanges AdmissionGate::Expire(base::TimePoint now) {
  GateChanges changes;
  UpdateLevel(now);
  DropInfeasible(now, changes);
  RunWaiting(now, changes);
  return changes;
}

GateChanges AdmissionGate::Cancel(TicketId id, base::TimePoint now) {
  GateChanges changes;
  if (auto entry = queue_.Remove(id)) {
    Drop(std::move(*entry), Reason::kCancelled, changes);
  }
  UpdateLevel(now);
  return changes;
}

GateChanges AdmissionGate::BeginLeaving(base::TimePoint now) {
  GateChanges changes;
  is_leaving_ = true;
  for (QueuedTicket& entry : queue_.Clear()) {
    Drop(std::move(entry), Reason::kLeaving, changes);
  }
  UpdateLevel(now);
  return changes;
}

void AdmissionGate::Reconfigure(const GateLimits& limits, const std::vector<ClassLimits>& classes) {
  CheckLimits(limits, classes);
  limits_ = limits;
  concurrency_.set_slots(limits.slots);
  controller_.Configure(limits.target_delay, limits.control_interval);
  ApplyClassLimits(classes);
}

GateSnapshot AdmissionGate::Snapshot() const {
  GateSnapshot snapshot;
  snapshot.slots = limits_.slots;
  snapshot.limit = concurrency_.limit();
  snapshot.running = running_.size();
  snapshot.waiting = queue_.size();
  snapshot.reference_latency = concurrency_.reference_latency();
  snapshot.service_time = service_time_;
  snapshot.queueing_delay = controller_.queueing_delay();
  snapshot.level = controller_.level();
  snapshot.is_leaving = is_leaving_;
  snapshot.classes = counters_;
  return snapshot;
}

void AdmissionGate::ApplyClassLimits(const std::vector<ClassLimits>& classes) {
  queue_.ResetCapacities(ClassLimits{}.queue_length);
  for (auto& [rank, state] : classes_) {
    state.reserved = 0;
  }
  for (const ClassLimits& limits : classes) {
    queue_.AddCapacity(limits.rank, limits.queue_length);
    classes_[limits.rank].reserved += limits.reserved;
    counters_[limits.name].rank = limits.rank;
  }
}

Decision AdmissionGate::Refuse(ClassCounters& counters, Reason reason) {
  ++counters.refused[static_cast<std::size_t>(reason)];
  Decision decision;
  decision.verdict = Verdict::kRefused;
  decision.reason = reason;
  decision.retry_after = RetryAfter(reason);
  return decision;
}

std::optional<Reason> AdmissionGate::MakeRoom(const Ticket& ticket, base::TimePoint now,
                                              GateChanges& changes) {
  const ClassRank rank = ticket.request_class.rank;
  // Other services have already worked for a request with a depth above 0, so the level does not
  // refuse it; only a full queue does. The level is enforced at the entry, which learns it from
  // answers, and here on requests that come directly from the entry.
  const bool is_admitted = ticket.depth > 0 || level().Admits(rank, ticket.key);
  const bool may_run = queue_.size(rank) == 0 && MayRun(rank, now);
  if (is_admitted && (may_run || !queue_.is_full(rank))) {
    return std::nullopt;
  }
  // A waiting request of lower importance is evicted. While requests of lower importance run, the
  // most important class may exceed its queue length, because it gets the slots that they free.
  if (auto entry = queue_.EvictBelow(rank)) {
    Drop(std::move(*entry), Reason::kEvicted, changes);
    return std::nullopt;
  }
  if (IsMostImportant(rank) && HasRunningBelow(rank) && queue_.size(rank) < kMaxQueueLength) {
    return std::nullopt;
  }
  if (!is_admitted) {
    return Reason::kLevel;
  }
  if (auto entry = queue_.EvictAfter(ticket)) {
    Drop(std::move(*entry), Reason::kEvicted, changes);
    return std::nullopt;
  }
  return Reason::kQueueFull;
}

bool AdmissionGate::MayRun(ClassRank rank, base::TimePoint now) const {
  const std::size_t limit = std::min(concurrency_.limit(), limits_.slots);
  if (running_.size() >= limit) {
    return false;
  }
  std::size_t reserved_free = 0;
  for (const auto& [other, state] : classes_) {
    if (other >= rank) {
      break;
    }
    const bool is_present = state.last_offer && now - *state.last_offer <= limits_.reserve_hold;
    const auto reserved =
        static_cast<std::size_t>(std::ceil(state.reserved * static_cast<double>(limit)));
    if (is_present && reserved > state.running) {
      reserved_free += reserved - state.running;
    }
  }
  // Any class may run on an idle upstream; otherwise a reservation at a limit of 1 would block all
  // other classes.
  return running_.empty() || running_.size() + reserved_free < limit;
}

bool AdmissionGate::HasRunningBelow(ClassRank rank) const {
  for (auto state = classes_.upper_bound(rank); state != classes_.end(); ++state) {
    if (state->second.running > 0) {
      return true;
    }
  }
  return false;
}

bool AdmissionGate::IsMostImportant(ClassRank rank) const {
  return !classes_.empty() && rank <= classes_.begin()->first;
}

std::optional<Reason> AdmissionGate::CheckDeadline(const Ticket& ticket,
                                                   base::TimePoint now) const {
  if (ticket.deadline <= now) {
    return Reason::kExpired;
  }
  // While nothing runs, no finished request updates the estimate, so one request is let through to
  // measure the service time again.
  if (!running_.empty() && ticket.deadline - now < service_time_) {
    return Reason::kHopeless;
  }
  return std::nullopt;
}

void AdmissionGate::Start(const Ticket& ticket, base::Duration wait, base::TimePoint now) {
  VERIFY(running_.size() < limits_.slots);
  VERIFY(ticket.deadline > now);
  VERIFY(!is_leaving_);
  VERIFY(running_.emplace(ticket.id, ticket.request_class).second);
  ++classes_[ticket.request_class.rank].running;
  ++CountersOf(ticket.request_class).started;
  controller_.RecordWait(wait);
}

void AdmissionGate::Drop(QueuedTicket&& entry, Reason reason, GateChanges& changes) {
  ++CountersOf(entry.ticket.request_class).dropped[static_cast<std::size_t>(reason)];
  changes.dropped.push_back(DroppedTicket{std::move(entry.ticket), reason, RetryAfter(reason)});
}

void AdmissionGate::DropInfeasible(base::TimePoint now, GateChanges& changes) {
  const base::Duration needed = running_.empty() ? base::Duration(1) : service_time_;
  for (QueuedTicket& entry : queue_.RemoveDueBefore(now + needed)) {
    const Reason reason = entry.ticket.deadline <= now ? Reason::kExpired : Reason::kHopeless;
    Drop(std::move(entry), reason, changes);
  }
}

void AdmissionGate::RunWaiting(base::TimePoint now, GateChanges& changes) {
  if (queue_.size() == 0) {
    return;
  }
  for (const ClassRank rank : queue_.waiting_ranks()) {
    while (MayRun(rank, now)) {
      auto entry = queue_.Pop(rank);
      if (!entry) {
        break;
      }
      if (const auto reason = CheckDeadline(entry->ticket, now)) {
        Drop(std::move(*entry), *reason, changes);
        continue;
      }
      Start(entry->ticket, now - entry->since, now);
      changes.run.push_back(std::move(entry->ticket));
    }
  }
}

void AdmissionGate::UpdateLevel(base::TimePoint now) {
  // A wait of up to two service times is not overload: random arrivals cause it near capacity. The
  // upper bound keeps waits at a slow upstream from using up the deadlines of its callers.
  const base::Duration wanted = 2 * concurrency_.reference_latency();
  controller_.set_target_delay(std::max(limits_.target_delay, std::min(wanted, kMaxTargetDelay)));
  const auto oldest = queue_.oldest();
  controller_.Update(oldest ? now - *oldest : base::Duration::zero(), concurrency_.Throughput(),
                     now);
  queue_.set_newest_first(controller_.has_standing_queue());
}

ClassCounters& AdmissionGate::CountersOf(const RequestClass& request_class) {
  ClassCounters& counters = counters_[request_class.name];
  counters.rank = request_class.rank;
  return counters;
}

base::Duration AdmissionGate::RetryAfter(Reason reason) const {
  switch (reason) {
    case Reason::kLevel:
    case Reason::kQueueFull:
    case Reason::kEvicted:
      return std::min(limits_.control_interval * 2 + controller_.queueing_delay(), kMaxRetryAfter);
    default:
      return base::Duration::zero();
  }
}

}  // namespace borageloft::admission
