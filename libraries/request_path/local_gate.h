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
#include "libraries/http_stream/http_stream.h"
#include "libraries/request_path/decision_log.h"
#include "libraries/request_path/recovery_pace.h"
#include "libraries/request_path/refusal.h"
#include "libraries/request_path/slowness_tracker.h"
#include "libraries/request_path/upstream_rate_limit.h"
#include "libraries/timer/timer.h"
#include "libraries/wire/wire.h"

namespace borageloft::request_path {

/** Receives the response to a request, or why there is none. Called exactly once unless stated. */
using ResponseHandler = std::function<void(wire::Response response)>;

/**
 * Cancels a request that was passed on. Whether its handler is still called is stated where the
 * hook is returned. May be empty, and may be called after the request has ended.
 */
using CancelHook = std::function<void()>;

/**
 * Runs a request at the local upstream.
 * @param deadline When the caller stops waiting.
 * @return Hook that cancels the request; it need not call @p handler.
 */
using RunHook = std::function<CancelHook(wire::Request request, base::TimePoint deadline,
                                         ResponseHandler handler)>;

/** Identifies a request at a gate. */
enum class GateTicket : std::uint64_t {};

/** Settings of a gate. */
struct LocalGateOptions {
  /** Share of the slots of the instance that is used; some upstreams slow down when nearly full. */
  double slot_share = 0.95;
  /** Time after the acknowledged leave of the instance during which requests are still accepted, so
   * that the other nodes learn of the leave before they are refused. Well below the time limit of
   * the deployment for a drain. */
  base::Duration leave_grace = std::chrono::milliseconds(700);
  /** Target queueing delay of the admission level's controller. */
  base::Duration target_delay = std::chrono::milliseconds(4);
  /** Time between updates of the admission level. */
  base::Duration control_interval = std::chrono::milliseconds(50);
  /** Whether an upstream that has just started or recovered is given its slots step by step. */
  bool uses_recovery_pace = false;
  /** Maximum size of all waiting and running requests. */
  std::size_t held_bytes = std::size_t{48} << 20U;
};

/** Counters of a gate, for metrics. */
struct GateCounters {
  std::uint64_t started = 0;
  std::uint64_t calls_started = 0;  // Those of `started` that were calls of other upstreams.
  std::uint64_t refused = 0;        // By the gate.
  std::uint64_t rejected = 0;       // Started, but not run by the upstream.
  std::uint64_t lost = 0;           // Started, with an unknown outcome.
  std::uint64_t cancelled = 0;
};

/**
 * Concurrency limiter and priority queue in front of the instance on this host. All requests for
 * the instance pass through it, so it knows how many run, and it never starts more than the
 * instance has slots. Further requests wait for a limited time. Requests that the admission level
 * admits start first, ordered by due time, then the others by importance. A call below a root
 * request that the entries do not shed yet is thus not refused for the level, and the same root
 * requests go first at every gate. A refused request has not run and will not run. Not thread-safe.
 */
class LocalGate {
 public:
  LocalGate(LocalGateOptions options, directory::LocalInstance& instance, base::Clock clock,
            timer::TimerService& timers, RunHook run, DecisionLog& log);
  ~LocalGate();

  LocalGate(const LocalGate&) = delete;
  LocalGate& operator=(const LocalGate&) = delete;

  /** Starts, queues or refuses a request. @p handler may be called before this returns. */
  GateTicket Submit(wire::Request request, ResponseHandler handler);

  /** Cancels a request. Its handler is told whether it may have run, unless it has ended. */
  void Cancel(GateTicket ticket);

  /** Refuses all further and waiting requests as not run; those that run continue. */
  void StopTaking() { is_taking_ = false; }

  /** @return Load to report with responses and in the directory. */
  wire::LoadReport Load() const;

  /** @return Placement of the running request with this id; null if there is none. */
  const wire::Placement* FindRunning(const std::string& request_id) const;

  /** Records that a call made by the running request @p request_id failed. */
  void NoteFailedCall(const std::string& request_id);

  /** @return Slowdown of the instance against its usual service time, in powers of two. */
  std::uint32_t slowdown_steps() const { return slowness_.Steps(clock_()); }

  /** Sets the hook that returns the most restrictive admission level of the services that the local
   * upstream calls. */
  void set_downstream_level(std::function<admission::AdmissionLevel()> hook) {
    downstream_level_ = std::move(hook);
  }

  std::size_t running() const { return running_; }
  std::size_t waiting() const { return waiting_.size(); }
  const GateCounters& counters() const { return counters_; }

 private:
  // Sort key of the waiting requests.
  struct QueueKey {
    admission::ClassRank unadmitted_class = 0;  // Class of the request, 0 if the level admits it.
    base::TimePoint due;  // End of the wait, later for less important requests.
    std::uint64_t sequence = 0;
    friend auto operator<=>(const QueueKey&, const QueueKey&) = default;
  };

  // A request that waits or runs.
  struct TrackedRequest {
    wire::Request request;
    ResponseHandler handler;
    base::TimePoint arrived;
    base::TimePoint deadline;
    base::TimePoint wait_until;
    base::TimePoint started;
    QueueKey queue_key;
    bool is_running = false;
    bool has_failed_call = false;
    CancelHook cancel;
    directory::Incarnation incarnation;
    std::string request_id;
    wire::Placement placement;
    std::size_t held_bytes = 0;
  };

  base::Duration WaitLimit(const wire::Request& request) const;
  Refusal FindRefusal(const wire::Request& request, base::TimePoint now) const;
  Refusal FindOverload(const QueueKey& key, base::TimePoint now, base::TimePoint wait_until);
  std::size_t Limit() const;
  std::uint32_t WorkTimePercent() const;
  void CheckRecovery(const TrackedRequest& tracked, const wire::Response& response,
                     base::TimePoint now);
  std::size_t ExpectedConcurrency() const;
  bool CanStart(base::TimePoint now);
  void LearnFromAnswer(const TrackedRequest& tracked, const wire::Response& response,
                       base::TimePoint now);
  void CheckIncarnation();
  void BeginRecovery(base::TimePoint now);
  base::Duration OldestWait(base::TimePoint now) const;
  void ReleaseSlot(const TrackedRequest& tracked, std::uint64_t id);
  base::Duration ExpectedWait(std::size_t ahead) const;
  // Removes a request that has ended.
  TrackedRequest Take(std::unordered_map<std::uint64_t, TrackedRequest>::iterator found);
  void Start(std::uint64_t id);
  void StartNext();
  void Finish(std::uint64_t id, wire::Response response);
  void Refuse(std::uint64_t id, Refusal refusal);
  static wire::Response MakeRefusal(Refusal refusal, const wire::LoadReport& load);
  void RefuseOverdue(base::TimePoint now);
  void LogRefusal(const wire::Request& request, Refusal refusal, base::Duration waited);

  LocalGateOptions options_;
  directory::LocalInstance& instance_;
  base::Clock clock_;
  timer::TimerService& timers_;
  RunHook run_;
  DecisionLog& log_;
  std::unordered_map<std::uint64_t, TrackedRequest> requests_;
  std::map<QueueKey, std::uint64_t> waiting_;
  std::unordered_map<std::string, std::uint64_t> running_ids_;
  std::function<admission::AdmissionLevel()> downstream_level_;
  admission::LevelController level_;
  UpstreamRateLimit rate_limit_;
  directory::Incarnation incarnation_;  // Whose rate limit is known.
  bool is_taking_ = true;
  std::size_t running_ = 0;
  std::size_t held_bytes_ = 0;
  std::uint64_t next_id_ = 1;
  double service_time_ms_ = 0;
  SlownessTracker slowness_;
  RecoveryPace pace_;
  std::uint32_t lost_in_a_row_ = 0;  // Requests without an answer since the last answer.
  std::uint32_t work_time_percent_ = 0;
  base::TimePoint work_time_at_{};
  timer::SubscriptionId sweep_;
  GateCounters counters_;
};

}  // namespace borageloft::request_path

#endif  // BORAGELOFT_REQUEST_PATH_LOCAL_GATE_H_
