#ifndef BORAGELOFT_ADMISSION_ADMISSION_GATE_H_
#define BORAGELOFT_ADMISSION_ADMISSION_GATE_H_

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "libraries/admission/class_queue.h"
#include "libraries/admission/concurrency_limit.h"
#include "libraries/admission/gate_counters.h"
#include "libraries/admission/gate_limits.h"
#include "libraries/admission/level_controller.h"
#include "libraries/admission/ticket.h"
#include "libraries/base/base.h"

namespace borageloft::admission {

/** A request removed from the queue before it ran. Its caller must be told that it did not run. */
struct DroppedTicket {
  Ticket ticket;
  Reason reason{};
  base::Duration retry_after{};  ///< When another attempt may succeed; zero for no hint.
};

/** Changes to queued requests. The owner starts those in run and answers those in dropped. */
struct GateChanges {
  std::vector<Ticket> run;  ///< Each now holds a slot and must be passed to Finish() exactly once.
  std::vector<DroppedTicket> dropped;
};

/** Result of offering a request. */
enum class Verdict {
  kRun,      ///< It now holds a slot and must be passed to Finish() exactly once.
  kQueued,   ///< It waits; a later call reports it in GateChanges.
  kRefused,  ///< It did not run and will not run.
};

/** Answer to an offered request. */
struct Decision {
  Verdict verdict = Verdict::kRefused;
  Reason reason = Reason::kLevel;  ///< Why it was refused; valid for kRefused only.
  base::Duration retry_after{};    ///< When another attempt may succeed; zero for no hint.
  GateChanges changes;             ///< Queued requests that this call started or dropped.
};

/**
 * Admission control for one upstream: decides which requests run, wait or are refused. No more
 * requests run than the upstream announced slots, and requests that cannot finish before their
 * deadline are dropped. Under overload the least important requests are shed first, and the
 * decision for a root is the same at every gate with the same level. The most important class is
 * refused for load only when nothing less important runs or waits here. Not thread-safe: the owner
 * serializes all calls.
 */
class AdmissionGate {
 public:
  /** @throws AdmissionError if a limit is out of range. */
  AdmissionGate(const GateLimits& limits, const std::vector<ClassLimits>& classes);

  /**
   * Offers a request.
   * @param ticket The request. A class that is not configured has no reserved slots.
   * @throws AdmissionError if the gate already holds a ticket with this id.
   */
  Decision Offer(const Ticket& ticket, base::TimePoint now);

  /**
   * Ends a request that ran and frees its slot.
   * @param id The request.
   * @param outcome How it ended.
   * @param service_time Time from start to end.
   * @param now Current time.
   * @param downstream_time Part of the service time that the upstream waited for its own calls, as
   *     far as known. If it is missing, a slow downstream service looks like a slow upstream.
   * @return Queued requests that start now, and those dropped by this call.
   * @throws AdmissionError if no request with this id runs.
   */
  GateChanges Finish(TicketId id, Outcome outcome, base::Duration service_time, base::TimePoint now,
                     base::Duration downstream_time = base::Duration::zero());

  /** Drops requests that can no longer finish in time; call it every few milliseconds. */
  GateChanges Expire(base::TimePoint now);

  /**
   * Removes a queued request that its caller cancelled. A running request is not affected: it holds
   * its slot until Finish(), since the upstream may still work on it.
   */
  GateChanges Cancel(TicketId id, base::TimePoint now);

  /** Refuses all requests from now on. @return The queued requests, dropped. */
  GateChanges BeginLeaving(base::TimePoint now);

  /** @return Whether the gate is leaving and nothing runs any more. */
  bool has_drained() const { return is_leaving_ && running_.empty(); }

  /** @return Whether BeginLeaving() was called. */
  bool is_leaving() const { return is_leaving_; }

  /** @return The admission level in force, to be reported in answers. */
  AdmissionLevel level() const { return controller_.level(); }

  /** @return Requests that hold a slot. */
  std::size_t running() const { return running_.size(); }

  /** @return Current concurrency limit: requests that may hold a slot at once. */
  std::size_t limit() const { return concurrency_.limit(); }

  /** @return Requests that wait. */
  std::size_t waiting() const { return queue_.size(); }

  /** @return Smoothed time from start to finish. */
  base::Duration service_time() const { return service_time_; }

  /**
   * Replaces the limits. Running and waiting requests are kept; with fewer slots, none starts until
   * enough have finished.
   * @throws AdmissionError if a limit is out of range; the old limits then stay in force.
   */
  void Reconfigure(const GateLimits& limits, const std::vector<ClassLimits>& classes);

  /** @return Counters by class and reason, and the current state. */
  GateSnapshot Snapshot() const;

 private:
  struct ClassState {
    std::size_t running = 0;
    double reserved = 0;  // Share of the slots.
    std::optional<base::TimePoint> last_offer;
  };

  void ApplyClassLimits(const std::vector<ClassLimits>& classes);
  Decision Refuse(ClassCounters& counters, Reason reason);
  std::optional<Reason> MakeRoom(const Ticket& ticket, base::TimePoint now, GateChanges& changes);
  bool MayRun(ClassRank rank, base::TimePoint now) const;
  bool HasRunningBelow(ClassRank rank) const;
  bool IsMostImportant(ClassRank rank) const;
  std::optional<Reason> CheckDeadline(const Ticket& ticket, base::TimePoint now) const;
  void Start(const Ticket& ticket, base::Duration wait, base::TimePoint now);
  void Drop(QueuedTicket&& entry, Reason reason, GateChanges& changes);
  void DropInfeasible(base::TimePoint now, GateChanges& changes);
  void RunWaiting(base::TimePoint now, GateChanges& changes);
  void UpdateLevel(base::TimePoint now);
  ClassCounters& CountersOf(const RequestClass& request_class);
  base::Duration RetryAfter(Reason reason) const;

  GateLimits limits_;
  ConcurrencyLimit concurrency_;
  ClassQueue queue_;
  LevelController controller_;
  std::map<ClassRank, ClassState> classes_;
  std::map<std::string, ClassCounters> counters_;
  std::unordered_map<TicketId, RequestClass> running_;
  base::Duration service_time_{};
  bool is_leaving_ = false;
};

}  // namespace borageloft::admission

#endif  // BORAGELOFT_ADMISSION_ADMISSION_GATE_H_
