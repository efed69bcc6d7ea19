#include "libraries/workbench/execution_record.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

#include "libraries/workbench/error.h"

namespace borageloft::workbench {

ExecutionRecord::ExecutionRecord(const std::string& path, std::string service)
    : service_(std::move(service)) {
  if (!path.empty()) {
    file_ = open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (file_ < 0) {
      throw Error(fmt::format("cannot open record file {}: {}", path, std::strerror(errno)));
    }
  }
}

ExecutionRecord::~ExecutionRecord() {
  if (file_ >= 0) {
    close(file_);
  }
}

void ExecutionRecord::Receive() {
  const std::scoped_lock lock(mutex_);
  ++counts_.received;
}

void ExecutionRecord::Begin(const std::string& key, base::TimePoint now) {
  const std::scoped_lock lock(mutex_);
  ++counts_.executed;
  ++counts_.executing;
  counts_.highest_executing = std::max(counts_.highest_executing, counts_.executing);
  if (leaving_since_) {
    counts_.last_begun_after_leave = now - *leaving_since_;
  }
  if (key.empty()) {
    return;
  }
  const std::uint32_t runs = ++keys_[key];
  counts_.distinct_keys += runs == 1 ? 1 : 0;
  counts_.repeated_keys += runs == 2 ? 1 : 0;
  AppendKey(key);
}

void ExecutionRecord::Finish(bool is_wasted) {
  const std::scoped_lock lock(mutex_);
  VERIFY(counts_.executing > 0);
  --counts_.executing;
  ++counts_.completed;
  counts_.wasted += is_wasted ? 1 : 0;
}

void ExecutionRecord::FailFast() {
  const std::scoped_lock lock(mutex_);
  ++counts_.failed_fast;
}

void ExecutionRecord::Silence() {
  const std::scoped_lock lock(mutex_);
  ++counts_.silenced;
}

void ExecutionRecord::FailDownstream() {
  const std::scoped_lock lock(mutex_);
  ++counts_.failed_downstream;
}

void ExecutionRecord::SetLeaving(std::optional<base::TimePoint> since) {
  const std::scoped_lock lock(mutex_);
  leaving_since_ = since;
  counts_.last_begun_after_leave.reset();
}

ExecutionCounts ExecutionRecord::counts() const {
  const std::scoped_lock lock(mutex_);
  return counts_;
}

Json::Value ExecutionRecord::ToJson() const {
  const ExecutionCounts now = counts();
  Json::Value json(Json::objectValue);
  const auto put = [&](const char* name, std::uint64_t value) {
    json[name] = static_cast<Json::UInt64>(value);
  };
  put("received", now.received);
  put("executed", now.executed);
  put("completed", now.completed);
  put("distinct_keys", now.distinct_keys);
  put("repeated_keys", now.repeated_keys);
  put("executing", now.executing);
  put("highest_executing", now.highest_executing);
  put("wasted", now.wasted);
  put("failed_fast", now.failed_fast);
  put("silenced", now.silenced);
  put("failed_downstream", now.failed_downstream);
  if (now.last_begun_after_leave) {
    json["last_begun_after_leave_ms"] =
        std::chrono::duration<double, std::milli>(*now.last_begun_after_leave).count();
  }
  return json;
}

void ExecutionRecord::AppendKey(const std::string& key) {
  if (file_ < 0) {
    return;
  }
  const std::string line = fmt::format("{} {}\n", key, service_);
  // A single write with O_APPEND keeps the line whole when the process is killed in between.
  if (write(file_, line.data(), line.size()) != static_cast<ssize_t>(line.size())) {
    base::Log(base::LogLevel::kError, "record_write_failed", {{"error", std::strerror(errno)}});
  }
}

}  // namespace borageloft::workbench
