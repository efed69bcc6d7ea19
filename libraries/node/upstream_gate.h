#ifndef BORAGELOFT_NODE_UPSTREAM_GATE_H_
#define BORAGELOFT_NODE_UPSTREAM_GATE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "libraries/admission/admission.h"
#include "libraries/http/http.h"
#include "libraries/membership/membership.h"
#include "libraries/node/node_services.h"
#include "libraries/node/running_requests.h"
#include "libraries/wire/wire.h"

namespace borageloft::node {

/** Names one request that was given to the gate. */
enum class GateCallId : std::uint64_t {};

/** Receives the answer or the refusal, exactly once, with no lock held. */
using Respond = std::function<void(wire::Response response)>;

/** What the gate needs from the at-most-once ledger. */
struct OnceHooks {
  /**
   * Asks for the permit of a non-idempotent request; blocks until the deadline at most.
   * @return Nothing when the request may run now, else the answer to give in its place.
   */
  std::function<std::optional<wire::Response>(const wire::Request& request,
                                              base::TimePoint deadline)>
      acquire;
  /**
   * Records how a permitted request ended; blocks until the deadline at most.
   * @return The answer to give. "Not run" stays only when that state is durable.
   */
  std::function<wire::Response(const wire::Request& request, wire::Response response,
                               base::TimePoint deadline)>
      finish;
};

/** What the gate reports. */
struct GateHooks {
  /** The upstream's announcement or state changed. Runs with no lock held. */
  std::function<void(const std::optional<membership::UpstreamData>& upstream)> upstream_changed;
  /** @return The worst admission level of the services that the upstream calls. */
  std::function<admission::AdmissionLevel()> level_below;
  OnceHooks once;
};

/** State of the gate, for status and metrics. */
struct GateStatus {
  std::optional<membership::UpstreamData> upstream;
  admission::GateSnapshot admission;
  std::size_t calls = 0;
};

/**
 * Gate of the upstream beside this node: decides which requests run, runs them and answers. Work
 * reaches the upstream only through here, from other nodes and from this one alike. Thread-safe.
 */
class UpstreamGate {
 public:
  UpstreamGate(const NodeServices& services, RunningRequests& running, GateHooks hooks);
  ~UpstreamGate();

  UpstreamGate(const UpstreamGate&) = delete;
  UpstreamGate& operator=(const UpstreamGate&) = delete;

  /**
   * Offers a request.
   * @param deadline When its caller stops waiting.
   * @param respond Receives the answer or the refusal.
   */
  GateCallId Submit(wire::Request request, base::TimePoint deadline, Respond respond);

  /** The caller of a request no longer waits. */
  void Cancel(GateCallId id);

  /** Announces the upstream or renews its lease. */
  membership::AnnounceRefusal Announce(const membership::Announcement& announcement);

  /** The upstream asks to leave. @return Whether there was one. */
  bool Leave();

  /**
   * The operator drains the upstream: it leaves, and its announcements are refused until
   * EndDrain().
   * @return Whether there was one to leave.
   */
  bool Drain();

  /** Ends Drain(): the upstream's next announcement is accepted again. */
  void EndDrain();

  /** The node shuts down. */
  void BeginNodeStop();

  /** Cancels what still runs and waits for it; everything else is refused from now on. */
  void Stop();

  /** Applies the release note in force to the upstream and the bounds of its classes. */
  void ApplyPolicy(const notes::Policy& policy);

  /** Ends leases, queued requests and calls that are due. Call it every few milliseconds. */
  void Tick();

  /** @return Whether nothing is queued or running. */
  bool is_idle() const;

  GateStatus status() const;

 private:
  struct Call {
    GateCallId id{};
    wire::Request request;
    base::TimePoint deadline;
    base::TimePoint arrived;
    base::WallTime arrived_wall;
    Respond respond;
    http::Cancellation cancellation;
    bool is_once = false;
    bool is_running = false;
  };
  using CallPointer = std::shared_ptr<Call>;

  /** Work that a decision left to be done once the lock is released. */
  struct FollowUp {
    std::vector<CallPointer> run;
    std::vector<std::pair<CallPointer, wire::Response>> answers;
  };

  void OfferLocked(const CallPointer& call, const notes::Policy& policy, base::TimePoint now,
                   FollowUp& follow_up);
  void ApplyChangesLocked(const admission::GateChanges& changes, FollowUp& follow_up);
  void StartLocked(const CallPointer& call, FollowUp& follow_up);
  // Takes a pointer of its own: the caller's may be the entry of calls_ that is erased.
  void RefuseLocked(CallPointer call, const char* reason, base::Duration retry_after,
                    FollowUp& follow_up);
  void ConfigureGateLocked(const notes::Policy& policy);
  void BeginLeavingLocked(base::TimePoint now, FollowUp& follow_up);
  wire::LoadReport LoadLocked() const;
  void Carry(FollowUp&& follow_up);
  void DeliverChanges();

  void Run(const CallPointer& call);
  wire::Response Execute(Call& call, base::Duration& service_time, base::Duration& downstream_time,
                         admission::Outcome& outcome);
  http::HttpRequest MakeUpstreamRequest(const Call& call, const tracing::TraceContext& span,
                                        std::uint32_t allowance) const;
  void Finish(const CallPointer& call, wire::Response response, admission::Outcome outcome,
              base::Duration service_time, base::Duration downstream_time);
  void RecordSpan(const Call& call, tracing::SpanKind kind, const tracing::TraceContext& context,
                  base::WallTime start, tracing::SpanStatus status) const;

  const NodeServices& services_;
  RunningRequests& running_;
  const GateHooks hooks_;

  mutable base::RankedMutex mutex_{base::LockRank::kAdmission};
  std::vector<std::optional<membership::UpstreamData>> pending_changes_;
  bool is_delivering_ = false;
  std::uint64_t applied_note_ = 0;
  membership::LocalUpstream upstream_;
  std::optional<admission::AdmissionGate> gate_;
  std::shared_ptr<http::UpstreamClient> client_;
  std::map<GateCallId, CallPointer> calls_;
  std::uint64_t next_call_ = 1;
  bool is_drained_ = false;  // By the operator.
  admission::AdmissionLevel level_below_;

  base::WorkerPool workers_;
};

}  // namespace borageloft::node

#endif  // BORAGELOFT_NODE_UPSTREAM_GATE_H_
