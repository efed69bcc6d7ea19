#ifndef BORAGELOFT_WORKBENCH_EXECUTION_RECORD_H_
#define BORAGELOFT_WORKBENCH_EXECUTION_RECORD_H_

#include <json/json.h>

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

#include "libraries/base/base.h"

namespace borageloft::workbench {

/** Counts of a stand-in. */
struct ExecutionCounts {
  std::uint64_t received = 0;       ///< Requests that reached the stand-in.
  std::uint64_t executed = 0;       ///< Requests whose execution began.
  std::uint64_t completed = 0;      ///< Executions that ended.
  std::uint64_t distinct_keys = 0;  ///< Idempotency keys seen at least once.
  std::uint64_t repeated_keys = 0;  ///< Idempotency keys executed more than once.
  std::uint64_t executing = 0;      ///< Executions now in progress.
  std::uint64_t highest_executing = 0;
  std::uint64_t wasted = 0;             ///< Executions that ended after the caller's deadline.
  std::uint64_t failed_fast = 0;        ///< Requests answered with an error without execution.
  std::uint64_t silenced = 0;           ///< Requests held without an answer.
  std::uint64_t failed_downstream = 0;  ///< Executions whose own call failed.
  /** Age of the leave command when an execution last began; nothing if none began after it. */
  std::optional<base::Duration> last_begun_after_leave;
};

/** What a stand-in has executed. Thread-safe. */
class ExecutionRecord {
 public:
  /**
   * @param path File that each executed key is appended to, one "key service" line each, written
   *             before the execution begins so that it survives a kill; empty for none.
   * @param service Service named in the file.
   * @throws Error If the file cannot be opened.
   */
  ExecutionRecord(const std::string& path, std::string service);
  ~ExecutionRecord();
  ExecutionRecord(const ExecutionRecord&) = delete;
  ExecutionRecord& operator=(const ExecutionRecord&) = delete;

  /** Counts a request that reached the stand-in. */
  void Receive();

  /** Counts the start of an execution. @param key Idempotency key; empty if there is none. */
  void Begin(const std::string& key, base::TimePoint now);

  /** Counts the end of an execution. @param is_wasted Whether the caller's deadline has passed. */
  void Finish(bool is_wasted);

  /** Counts a request answered with an error without execution. */
  void FailFast();

  /** Counts a request held without an answer. */
  void Silence();

  /** Counts an execution whose own call failed. */
  void FailDownstream();

  /** Notes the time of the leave command; nothing clears it. */
  void SetLeaving(std::optional<base::TimePoint> since);

  /** @return The counts now. */
  ExecutionCounts counts() const;

  /** @return The counts as a JSON object; times in milliseconds. */
  Json::Value ToJson() const;

 private:
  void AppendKey(const std::string& key);

  mutable std::mutex mutex_;
  std::string service_;
  int file_ = -1;
  ExecutionCounts counts_;
  std::optional<base::TimePoint> leaving_since_;
  std::unordered_map<std::string, std::uint32_t> keys_;
};

}  // namespace borageloft::workbench

#endif  // BORAGELOFT_WORKBENCH_EXECUTION_RECORD_H_
