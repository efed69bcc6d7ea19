#ifndef BORAGELOFT_WORKBENCH_LOAD_GENERATOR_H_
#define BORAGELOFT_WORKBENCH_LOAD_GENERATOR_H_

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <stop_token>
#include <string>
#include <vector>

#include "libraries/base/base.h"
#include "libraries/workbench/arrival_schedule.h"
#include "libraries/workbench/http_caller.h"
#include "libraries/workbench/idempotency_key_source.h"
#include "libraries/workbench/load_options.h"
#include "libraries/workbench/load_report.h"

namespace borageloft::workbench {

/**
 * Open-loop load generator: requests start at times drawn in advance and do not wait for earlier
 * answers. A fixed pool of sender threads sends them; when all are busy an arrival waits, and its
 * latency still counts from the intended start. Run() may be called once.
 */
class LoadGenerator {
 public:
  /** @throws Error If an option is out of range or the record file cannot be opened. */
  explicit LoadGenerator(LoadOptions options);
  ~LoadGenerator();
  LoadGenerator(const LoadGenerator&) = delete;
  LoadGenerator& operator=(const LoadGenerator&) = delete;

  /**
   * Runs to the end of the schedule plus at most the longest timeout of a kind, twice. Shows a
   * progress line on standard error if that is a terminal.
   * @param stop Ends the run early; the report then covers what has been sent.
   */
  LoadReport Run(const std::stop_token& stop);

 private:
  void RunSender(std::size_t number, LoadReport& report, const std::stop_token& stop);
  void RunCommands(const std::stop_token& stop);
  void RunProgress(const std::stop_token& stop);
  std::optional<Arrival> TakeArrival(const std::stop_token& stop);
  bool WaitUntil(base::Duration offset, const std::stop_token& stop);
  RequestResult Send(const Arrival& arrival, const std::string& key);
  HttpCall BuildCall(const RequestKind& kind, const std::string& request_id, const std::string& key,
                     base::Duration remaining) const;
  void RecordKey(const std::string& key, RequestOutcome outcome);
  base::Duration Elapsed() const { return clock_() - start_; }

  LoadOptions options_;
  base::Clock clock_ = base::SystemClock();
  std::string run_id_;
  std::vector<std::unique_ptr<HttpCaller>> targets_;
  int record_file_ = -1;
  base::TimePoint start_;

  std::mutex schedule_mutex_;
  ArrivalSchedule schedule_;

  std::mutex wait_mutex_;
  std::condition_variable_any waiting_;

  std::atomic<std::uint64_t> started_ = 0;
  std::atomic<std::uint64_t> good_ = 0;
};

}  // namespace borageloft::workbench

#endif  // BORAGELOFT_WORKBENCH_LOAD_GENERATOR_H_
