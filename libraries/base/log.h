#ifndef BORAGELOFT_BASE_LOG_H_
#define BORAGELOFT_BASE_LOG_H_

#include <json/json.h>

#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace borageloft::base {

/** Severity of a log line. */
enum class LogLevel { kDebug, kInfo, kWarning, kError };

/** One named value of a log line. */
using LogField = std::pair<const char*, Json::Value>;

/** Receives each finished log line, without a line end. */
using LogSink = std::function<void(std::string_view line)>;

/** Replaces the sink of log lines; an empty one restores standard error. */
void ReplaceLogSink(LogSink sink);

/** Sets the lowest level that is written. The default is kInfo. */
void SetLogLevel(LogLevel level);

/**
 * Writes one JSON line.
 * @param level Severity; lines below the set level are dropped.
 * @param event Stable name of the event in lower snake case, documented in docs/OPERATIONS.md.
 * @param fields Further values. Credentials must never be among them.
 */
void Log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

}  // namespace borageloft::base

#endif  // BORAGELOFT_BASE_LOG_H_
