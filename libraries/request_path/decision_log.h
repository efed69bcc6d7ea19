#ifndef BORAGELOFT_REQUEST_PATH_DECISION_LOG_H_
#define BORAGELOFT_REQUEST_PATH_DECISION_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string_view>

#include "libraries/base/base.h"

namespace borageloft::request_path {

/** Which of the decisions of one kind are logged. */
enum class LogSampling {
  kAlways,   // Each, up to the limit per second: refusals, failures, retries.
  kSampled,  // One in kSampleInterval: forwarded answers, abandoned requests.
};

/**
 * Rate-limited log of decisions about single requests. The limit per second keeps a burst of
 * refusals from blocking requests or using up the processor. Lines above the limit are dropped and
 * counted; the count is logged with the first line of a later second. Not thread-safe.
 */
class DecisionLog {
 public:
  explicit DecisionLog(base::Clock clock) : clock_(std::move(clock)) {}

  /**
   * Writes a line unless the sampling or the limit per second drops it.
   * @param event Stable event name.
   */
  void Write(LogSampling sampling, std::string_view event,
             std::initializer_list<base::LogField> fields);

  /** @return Lines dropped by the limit since construction. */
  std::uint64_t dropped() const { return dropped_; }

 private:
  // A line takes 20 us, so the log uses about 0.3% of the processor time of a small node.
  static constexpr std::uint64_t kLinesPerSecond = 60;
  static constexpr std::uint64_t kSampleInterval = 100;

  base::Clock clock_;
  base::TimePoint second_start_{};
  std::uint64_t lines_in_second_ = 0;
  std::uint64_t dropped_in_second_ = 0;
  std::uint64_t dropped_ = 0;
  std::uint64_t samples_ = 0;
};

}  // namespace borageloft::request_path

#endif  // BORAGELOFT_REQUEST_PATH_DECISION_LOG_H_
