#ifndef BORAGELOFT_WORKBENCH_LOAD_REPORT_H_
#define BORAGELOFT_WORKBENCH_LOAD_REPORT_H_

#include <json/json.h>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libraries/base/base.h"
#include "libraries/workbench/goodput_series.h"
#include "libraries/workbench/latency_histogram.h"
#include "libraries/workbench/load_options.h"

namespace borageloft::workbench {

/** Part of a run, relative to the trigger. Without a trigger all of the run is kBefore. */
enum class Phase { kBefore, kDuring, kAfter };

/** What the caller knows about a request after all its attempts. */
enum class RequestOutcome {
  kNotRun,   ///< Every attempt was answered with not-run.
  kRan,      ///< An attempt was answered with ran, or with a whole answer.
  kUnknown,  ///< An attempt may have run: unknown, without an answer or without the header.
};

/** Result of one request after all its attempts. */
struct RequestResult {
  base::Duration intended{0};     ///< From the start of the run.
  base::Duration latency{0};      ///< From the intended start to the end of the last attempt.
  base::Duration start_delay{0};  ///< From the intended start until a sender was free.
  bool is_whole = false;          ///< The last answer was 2xx, complete and the request's own.
  bool is_late = false;           ///< The latency exceeds the caller's timeout.
  bool is_damaged = false;        ///< The last answer was 2xx but truncated or altered.
  bool is_foreign = false;        ///< The last answer was 2xx but belongs to another request.
  bool is_unsent = false;         ///< All senders were busy until the caller's timeout.
  int status = 0;                 ///< Of the last answer; 0 without one.
  RequestOutcome outcome = RequestOutcome::kUnknown;
  unsigned attempts = 0;
};

/** Counts of one kind of request in one phase. */
struct PhaseCounts {
  std::uint64_t offered = 0;
  std::uint64_t good = 0;  ///< Whole answers in time.
  std::uint64_t late = 0;  ///< Whole answers after the caller's timeout.
  std::uint64_t damaged = 0;
  std::uint64_t foreign = 0;
  std::uint64_t unsent = 0;
  std::uint64_t unanswered = 0;
  std::uint64_t attempts = 0;
  std::uint64_t not_run = 0;
  std::uint64_t ran = 0;
  std::uint64_t unknown = 0;
  std::map<int, std::uint64_t> statuses;
  LatencyHistogram latency;  ///< Of good requests.
  /** Of all requests. Far above the timer's precision it shows that the generator itself is too
   * slow or has too few senders. */
  LatencyHistogram start_delay;

  /** Counts one request. */
  void Add(const RequestResult& result);

  /** Adds all counts of another phase. */
  void Merge(const PhaseCounts& other);
};

/** Result of a load run. Not thread-safe. */
class LoadReport {
 public:
  /** @param options Options of the run; kinds, trigger and recovery level are copied. */
  explicit LoadReport(const LoadOptions& options);

  /** Adds one request. @param kind Index into LoadOptions::kinds. */
  void Add(std::size_t kind, const RequestResult& result);

  /** Adds all requests of a report with the same options. */
  void Merge(const LoadReport& other);

  /** @return Counts of one kind in one phase. */
  const PhaseCounts& counts(std::size_t kind, Phase phase) const;

  /** @return Counts of all kinds in all phases. */
  PhaseCounts Total() const;

  /** @return Time from the trigger's end to recovery of all kinds together, if they did. */
  std::optional<base::Duration> RecoveryTime() const;

  /** @return Length of a phase. */
  base::Duration LengthOf(Phase phase) const;

  /** @return The report as a JSON object; times in milliseconds, rates per second. */
  Json::Value ToJson() const;

  /** @return ToJson() as one line, numbers with six digits. */
  std::string ToJsonLine() const;

  /** @return The report as a table for a terminal, lines ended by a line feed. */
  std::string ToTable() const;

 private:
  static constexpr std::size_t kPhases = 3;

  Phase PhaseOf(base::Duration intended) const;
  Json::Value ToJson(const PhaseCounts& counts, Phase phase) const;

  std::vector<std::string> labels_;
  base::Duration duration_;
  std::optional<TriggerWindow> trigger_;
  base::Duration recovery_window_;
  double recovery_level_;
  std::vector<std::array<PhaseCounts, kPhases>> counts_;
  GoodputSeries series_;
};

}  // namespace borageloft::workbench

#endif  // BORAGELOFT_WORKBENCH_LOAD_REPORT_H_
