#ifndef BORAGELOFT_REQUEST_PATH_LOCAL_GATE_H_
#define BORAGELOFT_REQUEST_PATH_LOCAL_GATE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "libraries/admission/admission.h"
#include "libraries/directory/directory.h"
#include "libraries/request_path/decision_log.h"
#include "libraries/request_path/refusal.h"
#include "libraries/request_path/slowness_tracker.h"
#include "libraries/timer/timer.h"
#include "libraries/wire/wire.h"

namespace borageloft::request_path {

/** Receives the end of a request exactly once. */
using ResponseHandler = std::function<void(wire::Response response)>;

/**
 * Gives up a request that was handed on; its handler is then told, now or soon, whether it may have
 * run. May be empty, and may be called after the end.
 */
using CancelHook = std::function<void()>;

/**
 * Runs a request at the local upstream.
 * @param deadline When the caller stops waiting.
 */
using RunHook = std::function<CancelHook(wire::Request request, base::TimePoint deadline,
                                         ResponseHandler handler)>;

/** Names one request at a gate. */
enum class GateTicket : std::uint64_t {};

/** Settings of a gate. */
struct LocalGateOptions {
  /** Share of the instance's slots that is used; some upstreams slow down when nearly full. */
  double slot_share = 0.95;
  /** Time after the leave was acknowledged during which work is still taken, so that the other
   * nodes learn of it before they are refused. Well below the deployment's drain bound. */
  base::Duration leave_grace = std::chrono::milliseconds(700);
  /** Queueing delay to which the admission level steers. */
  base::Duration target_delay = std::chrono::milliseconds(4);
  /** Time between changes of the admission level. */
  base::Duration control_interval = std::chrono::milliseconds(50);
};

/** Counters of a gate, for metrics. */
struct GateCounters {
  std::uint64_t started = 0;
  std::uint64_t calls_started = 0;  // Of those, calls of other upstreams.
  std::uint64_t refused = 0;
  std::uint64_t rejected = 0;  // By the upstream itself.
  std::uint64_t lost = 0;
  std::uint64_t cancelled = 0;
};

/**
 * The gate in front of the instance on this host. All requests for the instance pass it, so it
 * knows how many run. It never starts more than the instance has slots; requests beyond that wait
 * for a bounded time: those within the admission level first, by their due time, then the others by
 * importance. A call of a root that the entries do not shed yet is thus not refused, but the same
 * roots go first at every gate. A refused request has not run and never will. Not thread-safe.
 */
class LocalGate {
 public:
  LocalGate(LocalGateOptions options, directory::LocalInstance& instance, base::Clock clock,
            timer::TimerService& timers, RunHook run, DecisionLog& log);
  ~LocalGate();

  LocalGate(const LocalGate&) = delete;
  LocalGate& operator=(const LocalGate&) = delete;

  /** Takes a request. @p handler may be called before this returns. */
  GateTicket Submit(wire::Request request, ResponseHandler handler);

  /** Gives up a request. Its handler is told whether it may have run, unless it has ended. */
  void Cancel(GateTicket ticket);

  /** Refuses every further request as not run; those that run go on. */
  void StopTaking() { is_taking_ = false; }

  /** @return Load to report with answers and in the directory. */
  wire::LoadReport Load() const;

  /** @return Where the running request with this id was placed, or null. */
  const wire::Placement* FindRunning(const std::string& request_id) const;

  /** Notes that a call made by the running request @p request_id failed. */
  void NoteFailedCall(const std::string& request_id);

  /** @return How much slower than usual the instance has become, in powers of two. */
  std::uint32_t slowdown_steps() const { return slowness_.Steps(clock_()); }

  /** Sets the hook that tells the worst level of the services that the local upstream calls. */
  void set_downstream_level(std::function<admission::AdmissionLevel()> hook) {
    downstream_level_ = std::move(hook);
  }

  std::size_t running() const { return running_; }
  std::size_t waiting() const { return waiting_.size(); }
  const GateCounters& counters() const { return counters_; }

 private:
  struct Rank {
    admission::ClassRank held_back = 0;  // Importance of a request above the level; 0 if within.
    base::TimePoint due;                 // Latest useful start, later for less important requests.
    std::uint64_t sequence = 0;
    friend auto operator<=>(const Rank&, const Rank&) = default;
  };

  struct Entry {
    wire::Request request;
    ResponseHandler handler;
    base::TimePoint arrived;
    base::TimePoint deadline;
    base::TimePoint wait_until;
    base::TimePoint started;
    Rank rank;
    bool is_running = false;
    bool has_failed_call = false;
    CancelHook cancel;
    std::string instance;
    std::string request_id;
    wire::Placement placement;
  };

  base::Duration WaitLimit(const wire::Request& request) const;
  Refusal FindRefusal(const wire::Request& request, base::TimePoint now) const;
  std::size_t Limit() const;
  base::Duration OldestWait(base::TimePoint now) const;
  void EndRunning(const Entry& entry, std::uint64_t id);
  base::Duration ExpectedWait(std::size_t ahead) const;
  void Start(std::uint64_t id);
  void StartNext();
  void Finish(std::uint64_t id, wire::Response response);
  void Refuse(std::uint64_t id, Refusal refusal);
  static wire::Response MakeRefusal(Refusal refusal, const wire::LoadReport& load);
  void DropOverdue(base::TimePoint now);
  void LogRefusal(const wire::Request& request, Refusal refusal, base::Duration waited);

  LocalGateOptions options_;
  directory::LocalInstance& instance_;
  base::Clock clock_;
  timer::TimerService& timers_;
  RunHook run_;
  DecisionLog& log_;
  std::unordered_map<std::uint64_t, Entry> entries_;
  std::map<Rank, std::uint64_t> waiting_;
  std::unordered_map<std::string, std::uint64_t> running_ids_;
  std::function<admission::AdmissionLevel()> downstream_level_;
  admission::LevelController level_;
  bool is_taking_ = true;
  std::size_t running_ = 0;
  std::uint64_t next_id_ = 1;
  double service_time_ms_ = 0;
  SlownessTracker slowness_;
  timer::SubscriptionId sweep_;
  GateCounters counters_;
};

}  // namespace borageloft::request_path

#endif  // BORAGELOFT_REQUEST_PATH_LOCAL_GATE_H_
