#include "libraries/mesh/instance_probe.h"

#include <charconv>
#include <utility>

namespace borageloft::mesh {

namespace {

constexpr unsigned kOk = 200;
// Time after the start in which heartbeats make the probe unnecessary at the latest: two intervals.
constexpr std::chrono::seconds kProbeSpan{3};
// Pause between probes, which take a slot of the upstream each.
constexpr std::chrono::milliseconds kProbeInterval{300};
// Slots assumed of an upstream that does not tell its load, until its heartbeat states them.
constexpr std::uint32_t kAssumedSlots = 8;

/** Slots in a load report of the form "running,waiting,slots". */
std::uint32_t SlotsOf(const std::string* report) {
  std::uint32_t slots = 0;
  const auto place = report == nullptr ? std::string::npos : report->rfind(',');
  if (place != std::string::npos) {
    std::from_chars(report->data() + place + 1, report->data() + report->size(), slots);
  }
  return slots == 0 ? kAssumedSlots : slots;
}

}  // namespace

InstanceProbe::InstanceProbe(directory::LocalInstance& instance,
                             const request_path::HeaderNames& names, InstanceProbeHooks hooks,
                             base::TimePoint start)
    : instance_(instance), names_(names), hooks_(std::move(hooks)), start_(start) {}

void InstanceProbe::Check(const std::string& path, base::TimePoint now) {
  if (path.empty() || names_.instance.empty() || instance_.has_been_heard() || is_asking_ ||
      now < next_ || now - start_ > kProbeSpan) {
    return;
  }
  is_asking_ = true;
  next_ = now + kProbeInterval;
  hooks_.ask(
      path, [this, now](const http_stream::ResponseMessage& answer) { HandleAnswer(answer, now); });
}

void InstanceProbe::HandleAnswer(const http_stream::ResponseMessage& answer,
                                 base::TimePoint asked) {
  is_asking_ = false;
  const std::string* id = http_stream::FindField(answer.fields, names_.instance);
  const bool is_healthy = answer.status == kOk && id != nullptr && !id->empty();
  base::Log(base::LogLevel::kInfo, "instance_probed",
            {{"status", answer.status}, {"instance", id == nullptr ? "" : *id}});
  if (!is_healthy) {
    return;
  }
  const std::uint32_t slots = SlotsOf(http_stream::FindField(answer.fields, names_.upstream_load));
  if (instance_.Adopt(*id, slots, asked)) {
    hooks_.on_found();
  }
}

}  // namespace borageloft::mesh
