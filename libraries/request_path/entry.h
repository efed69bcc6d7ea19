#ifndef BORAGELOFT_REQUEST_PATH_ENTRY_H_
#define BORAGELOFT_REQUEST_PATH_ENTRY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "libraries/admission/admission.h"
#include "libraries/declaration/declaration.h"
#include "libraries/http_stream/http_stream.h"
#include "libraries/request_path/decision_log.h"
#include "libraries/request_path/header_names.h"
#include "libraries/request_path/instance_chooser.h"
#include "libraries/request_path/local_gate.h"
#include "libraries/request_path/retry_budget.h"
#include "libraries/timer/timer.h"

namespace borageloft::request_path {

/** Delivers the answer to a caller. */
using AnswerHook = std::function<void(http_stream::ResponseMessage response)>;

/** Settings of an entry. */
struct EntryOptions {
  /** Service on this host, which upstreams are told as the origin of a request. */
  std::string service;
  HeaderNames names;
  RetryBudgetOptions budget;
  /** Deadline of a request that states none and whose route states no timeout. */
  base::Duration default_deadline = std::chrono::seconds(10);
  /** Bytes of request bodies held at once; more is refused. */
  std::size_t held_bytes = std::size_t{48} << 20U;
};

/** Everything of an entry that varies between production and tests. */
struct EntryHooks {
  base::Clock clock;
  base::Random random;
  /** Sends a request to the gate of an instance. */
  std::function<CancelHook(const directory::InstanceRecord& instance, wire::Request request,
                           ResponseHandler handler)>
      send;
  /** Finds the request that runs at the local upstream under this id; null if none does. */
  std::function<const wire::Placement*(const std::string& request_id)> find_running;
  /** Told that a call made by the request that runs under this id failed. May be empty. */
  std::function<void(const std::string& request_id)> on_call_failed = {};
};

/** Counters of an entry, for metrics. */
struct EntryCounters {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::uint64_t abandoned = 0;
  std::uint64_t repeats = 0;
  std::map<std::string, std::uint64_t> refused;  // By reason.
  std::map<std::string, std::uint64_t> failed;   // By reason.
};

class RequestRun;

/**
 * Takes the requests of the callers and of the upstream on this host, and sends each to one
 * instance after the other until it is answered, refused or given up. The entry owns a caller's
 * attempt: an at-most-once request is sent again only after word that it has not run. Driven by one
 * thread; not thread-safe.
 */
class Entry {
 public:
  /** @param zone This node's availability zone. */
  Entry(EntryOptions options, const std::string& zone, EntryHooks hooks,
        timer::TimerService& timers, DecisionLog& log);
  ~Entry();

  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  /** Puts a declaration in force for the requests from now on. */
  void SetDeclaration(const declaration::Declaration& declaration);

  /** Refuses every further request; those in progress go on. */
  void StopTaking() { is_taking_ = false; }

  /**
   * Takes a request.
   * @param received When its last byte arrived.
   * @param answer Called exactly once, unless the request is abandoned.
   * @return Abandons the request, because the caller has left.
   */
  CancelHook Handle(http_stream::RequestMessage message, base::TimePoint received,
                    AnswerHook answer);

  /**
   * @param runs Calls of other upstreams that the local one has run.
   * @return Calls that one of them makes to services without an instance in this zone, rounded.
   */
  std::uint32_t RemoteCalls(std::uint64_t runs) const;

  /** @return Whether the local upstream has made a call. */
  bool has_seen_calls() const { return !called_services_.empty(); }

  /** @return Worst admission level of the services that the local upstream calls. */
  admission::AdmissionLevel DownstreamLevel() const;

  InstanceChooser& chooser() { return chooser_; }
  RetryBudget& budget() { return budget_; }
  const EntryCounters& counters() const { return counters_; }
  /** @return Version in force, 0 before the first one. */
  declaration::Version version() const { return version_; }
  std::size_t runs_in_progress() const { return runs_.size(); }

 private:
  friend class RequestRun;

  void RecordCall(const std::string& service, const wire::Placement& parent);
  void NoteFailedCall(const std::string& request_id) const;
  const wire::Placement* FindParent(const std::string& request_id) const;
  void Refuse(const http_stream::RequestMessage& message, Refusal refusal,
              const AnswerHook& answer);
  void EndRun(std::uint64_t id);

  EntryOptions options_;
  EntryHooks hooks_;
  timer::TimerService& timers_;
  DecisionLog& log_;
  InstanceChooser chooser_;
  RetryBudget budget_;
  admission::LoadLevelMap levels_;
  std::vector<std::string> called_services_;      // By the local upstream.
  std::vector<std::uint64_t> calls_below_calls_;  // Made to each of those while running a call.
  std::unique_ptr<declaration::RouteTable> routes_;
  declaration::Version version_ = 0;
  bool is_taking_ = true;
  std::map<std::uint64_t, std::shared_ptr<RequestRun>> runs_;
  std::uint64_t next_run_ = 1;
  std::size_t held_bytes_ = 0;
  EntryCounters counters_;
};

}  // namespace borageloft::request_path

#endif  // BORAGELOFT_REQUEST_PATH_ENTRY_H_
