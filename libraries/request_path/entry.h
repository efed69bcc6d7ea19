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

/** Delivers the answer to the sender of a request. */
using AnswerHook = std::function<void(http_stream::ResponseMessage response)>;

/** Decision of the quota of a client account on one request. */
struct QuotaDecision {
  Refusal refusal = Refusal::kNone;  ///< kNone, kQuotaExceeded or kQuotaUnknown.
  base::Duration retry_after{};      ///< When the account will have room again.
};

/** Settings of an entry. */
struct EntryOptions {
  /** Service on this host, sent to upstreams as the calling service. */
  std::string service;
  HeaderNames names;
  RetryBudgetOptions budget;
  /** Time limit of a request where the caller states no timeout or the route has none. */
  base::Duration default_deadline = std::chrono::seconds(10);
  /** Maximum bytes of requests in memory; a request beyond that is refused. */
  std::size_t held_bytes = std::size_t{48} << 20U;
};

/** Dependencies of an entry, replaced in tests. */
struct EntryHooks {
  base::Clock clock;
  base::Random random;
  /**
   * Sends a request to the gate of an instance. The returned hook cancels it; the handler then
   * still receives a response, which tells whether the request may have run.
   */
  std::function<CancelHook(const directory::InstanceRecord& instance, wire::Request request,
                           ResponseHandler handler)>
      send;
  /** Finds the request with this id that runs at the local upstream; null if there is none. */
  std::function<const wire::Placement*(const std::string& request_id)> find_running;
  /** Called when a call made by the running request with this id failed. May be empty. */
  std::function<void(const std::string& request_id)> on_call_failed = {};
  /**
   * Takes a request from the quota of a client account; the handler is called exactly once,
   * possibly before this returns. Empty: no account has a quota.
   */
  std::function<void(const std::string& account,
                     std::function<void(const QuotaDecision& decision)> handler)>
      take_quota = {};
  /** Gives back what was taken for a request that has not run. Set together with `take_quota`. */
  std::function<void(const std::string& account)> return_quota = {};
  /** Demand for a client account over all nodes, in requests per second; 0 if it is not known. May
   * be empty. */
  std::function<double(const std::string& account)> account_demand = {};
  /** Whether no withdrawal of a key can be unknown to this node for too long. Empty: always. */
  std::function<bool()> are_keys_fresh = {};
};

/** Counters of an entry, for metrics. */
struct EntryCounters {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;   // With an answer of an upstream.
  std::uint64_t abandoned = 0;  // The caller disconnected first.
  std::uint64_t repeats = 0;    // Retries sent, with those that no upstream had seen before.
  std::map<std::string, std::uint64_t> refused;  // By reason.
  std::map<std::string, std::uint64_t> failed;   // By reason.
};

class RequestRun;

/**
 * Accepts requests from callers and from the upstream on this host and routes them. A request is
 * sent to one instance at a time until it is answered, refused or cancelled. The entry alone owns
 * the attempts of a request; an at-most-once request is retried only if it is known not to have
 * run. Runs on one thread; not thread-safe.
 */
class Entry {
 public:
  /** @param zone This node's availability zone. */
  Entry(EntryOptions options, const std::string& zone, EntryHooks hooks,
        timer::TimerService& timers, DecisionLog& log);
  ~Entry();

  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  /**
   * Applies a declaration to all further requests.
   * @param declaration Its version is higher than the one in force.
   */
  void SetDeclaration(const declaration::Declaration& declaration);

  /** Refuses all further requests; those in progress continue. */
  void StopTaking() { is_taking_ = false; }

  /**
   * Handles a request.
   * @param received When its last byte arrived.
   * @param answer Called exactly once, possibly before this returns, unless the request is
   *     abandoned.
   * @return Hook that abandons the request without an answer because the caller has disconnected.
   *     Empty if the request was refused before it was routed.
   */
  CancelHook Handle(http_stream::RequestMessage message, base::TimePoint received,
                    AnswerHook answer);

  /**
   * @param runs Calls of other upstreams that the local upstream has run.
   * @return Mean number of calls, rounded, that one such run makes to services without an instance
   *     in this zone. 0 while there are too few runs for a mean.
   */
  std::uint32_t RemoteCalls(std::uint64_t runs) const;

  /** @return Whether the local upstream has made a call. */
  bool has_seen_calls() const { return !called_services_.empty(); }

  /** @return Most restrictive admission level of the services that the local upstream calls. */
  admission::AdmissionLevel DownstreamLevel() const;

  InstanceChooser& chooser() { return chooser_; }
  RetryBudget& budget() { return budget_; }
  const EntryCounters& counters() const { return counters_; }
  /** @return Declaration version in force; 0 before the first declaration. */
  declaration::Version version() const { return version_; }
  std::size_t runs_in_progress() const { return runs_.size(); }

 private:
  friend class RequestRun;

  void RecordCall(const std::string& service, const wire::Placement& parent);
  void ReportFailedCall(const std::string& request_id) const;
  const wire::Placement* FindParent(const std::string& request_id) const;
  Refusal FindAccount(const http_stream::RequestMessage& message, const std::string& request_id,
                      bool is_public, const declaration::ClientAccount*& account) const;
  std::uint64_t FairKeyOf(const std::string& account, std::uint64_t root_hash, base::TimePoint now);
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
  std::vector<std::string> called_services_;  // By the local upstream.
  // Calls to each of `called_services_` that were made while the local upstream ran a call itself.
  std::vector<std::uint64_t> calls_below_calls_;
  std::unique_ptr<declaration::RouteTable> routes_;
  std::unique_ptr<declaration::AccountTable> accounts_;
  bool requires_keys_ = false;
  std::unique_ptr<declaration::PriorityRanks> ranks_;  // Only with accounts.
  admission::FairShare fair_share_;
  declaration::Version version_ = 0;
  bool is_taking_ = true;
  std::map<std::uint64_t, std::shared_ptr<RequestRun>> runs_;
  std::uint64_t next_run_ = 1;
  std::size_t held_bytes_ = 0;
  EntryCounters counters_;
};

}  // namespace borageloft::request_path

#endif  // BORAGELOFT_REQUEST_PATH_ENTRY_H_
