#ifndef BORAGELOFT_WORKBENCH_STAND_IN_H_
#define BORAGELOFT_WORKBENCH_STAND_IN_H_

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <stop_token>
#include <string>

#include "libraries/base/base.h"
#include "libraries/workbench/execution_record.h"
#include "libraries/workbench/execution_slots.h"
#include "libraries/workbench/http_caller.h"
#include "libraries/workbench/http_listener.h"
#include "libraries/workbench/service_time.h"
#include "libraries/workbench/stand_in_command.h"
#include "libraries/workbench/stand_in_options.h"
#include "libraries/workbench/upstream_announcer.h"

namespace borageloft::workbench {

/**
 * Upstream for measurements: serves every path with a chosen service time, announces itself to a
 * node, calls further services through it, and misbehaves on command.
 *
 * - POST /stand-in/command takes a StandInCommand.
 * - GET /stand-in/record answers the counts of ExecutionRecord.
 * - GET /stand-in/load answers the load that the stand-in reports, true or false.
 *
 * These paths are served on the main address and on the command address. Each answer carries the
 * header `Borageloft-Load: in_flight=<n>;limit=<n>`. Thread-safe.
 */
class StandIn {
 public:
  /**
   * Listens and, if a node is set, announces itself.
   * @throws Error If an option is out of range or the address cannot be listened on.
   */
  explicit StandIn(StandInOptions options);
  ~StandIn();
  StandIn(const StandIn&) = delete;
  StandIn& operator=(const StandIn&) = delete;

  /** Serves until @p stop is requested or the command "stop" arrives, then leaves and stops. */
  void Run(const std::stop_token& stop);

  /** Withdraws the announcement, waits for executions in progress and stops listening. */
  void Stop();

  /** Carries out a command. */
  void Apply(const StandInCommand& command);

  /** @return Address with the port that was bound. */
  const Address& address() const { return listener_->address(); }

  /** @return Address for commands and the record, with the port that was bound. */
  const Address& command_address() const { return command_listener_->address(); }

  /** @return What has been executed. */
  const ExecutionRecord& record() const { return record_; }

 private:
  struct LoadReport {
    std::uint64_t in_flight = 0;
    std::uint64_t limit = 0;
  };

  /** One request that is being executed. */
  struct Execution {
    const HttpRequest& request;
    std::string request_id;
    std::string key;
    std::optional<base::TimePoint> deadline;
  };

  HttpResponse Handle(const HttpRequest& request);
  std::optional<HttpResponse> HandleOperator(const HttpRequest& request);
  HttpResponse HandleCommand(const HttpRequest& request);
  HttpResponse HandleRequest(const HttpRequest& request);
  HttpResponse Execute(const Execution& execution);
  std::optional<HttpResponse> CallDownstream(const Execution& execution);
  HttpCall BuildDownstreamCall(const Execution& execution, const DownstreamCall& target,
                               base::Duration timeout) const;
  HttpResponse BuildResponse(const Execution& execution);
  HttpResponse WaitInSilence();
  bool IsSilenced(const std::string& connection);
  bool DrawShare(double share);
  base::Duration DrawDemand();
  LoadReport CurrentLoad();

  StandInOptions options_;
  base::Clock clock_ = base::SystemClock();
  ExecutionRecord record_;
  ExecutionSlots slots_;

  std::mutex mutex_;  // Guards the members below, up to the next blank line.
  std::condition_variable changed_;
  bool is_stopping_ = false;
  bool is_stop_commanded_ = false;
  double fail_share_ = 0;
  double truncate_share_ = 0;
  SilenceScope silence_ = SilenceScope::kNone;
  std::map<std::string, std::uint64_t> connection_generations_;
  std::uint64_t generation_ = 0;
  std::optional<LoadReport> false_load_;
  base::TimePoint warm_at_;
  ServiceTime service_time_;
  base::Random random_;

  std::unique_ptr<HttpCaller> node_;
  std::unique_ptr<UpstreamAnnouncer> announcer_;
  std::unique_ptr<HttpListener> listener_;
  std::unique_ptr<HttpListener> command_listener_;
};

}  // namespace borageloft::workbench

#endif  // BORAGELOFT_WORKBENCH_STAND_IN_H_
