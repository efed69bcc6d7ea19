#include "libraries/request_path/decision_log.h"

namespace borageloft::request_path {

void DecisionLog::Write(LogSampling sampling, std::string_view event,
                        std::initializer_list<base::LogField> fields) {
  if (sampling == LogSampling::kSampled && samples_++ % kSampleInterval != 0) {
    return;
  }
  const base::TimePoint now = clock_();
  if (now - second_start_ >= std::chrono::seconds(1)) {
    if (dropped_in_second_ > 0) {
      base::Log(base::LogLevel::kWarning, "log_lines_dropped",
                {{"lines", static_cast<Json::UInt64>(dropped_in_second_)}});
    }
    second_start_ = now;
    lines_in_second_ = 0;
    dropped_in_second_ = 0;
  }
  if (lines_in_second_ >= kLinesPerSecond) {
    ++dropped_in_second_;
    ++dropped_;
    return;
  }
  ++lines_in_second_;
  base::Log(base::LogLevel::kInfo, event, fields);
}

}  // namespace borageloft::request_path
