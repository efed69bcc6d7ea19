#include "libraries/base/log.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <mutex>

#include "libraries/base/ranked_mutex.h"

namespace borageloft::base {

namespace {

RankedMutex& LogMutex() {
  static RankedMutex mutex(LockRank::kLog);
  return mutex;
}

LogSink& CurrentSink() {
  static LogSink sink;
  return sink;
}

std::atomic<LogLevel> minimum_level = LogLevel::kInfo;

const char* NameOf(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "error";
}

std::string FormatNow() {
  const auto now =
      std::chrono::time_point_cast<std::chrono::microseconds>(std::chrono::system_clock::now());
  const auto fraction = now.time_since_epoch().count() % 1'000'000;
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:06d}Z",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(now)), fraction);
}

}  // namespace

void ReplaceLogSink(LogSink sink) {
  const std::scoped_lock lock(LogMutex());
  CurrentSink() = std::move(sink);
}

void SetLogLevel(LogLevel level) { minimum_level = level; }

void Log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) {
  if (level < minimum_level) {
    return;
  }
  Json::Value line(Json::objectValue);
  line["time"] = FormatNow();
  line["level"] = NameOf(level);
  line["event"] = std::string(event);
  for (const auto& [name, value] : fields) {
    line[name] = value;
  }
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  const std::string text = Json::writeString(builder, line);
  const std::scoped_lock lock(LogMutex());
  if (CurrentSink()) {
    CurrentSink()(text);
    return;
  }
  fmt::print(stderr, "{}\n", text);
}

}  // namespace borageloft::base
