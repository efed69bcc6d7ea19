#include "libraries/mesh/instance_probe.h"

#include <charconv>
#include <utility>

namespace borageloft::mesh {

namespace {

constexpr unsigned kOk = 200;
// Time after the start during which probes are sent. After two heartbeat intervals the upstream has
// announced itself, and a probe is unnecessary.
constexpr std::chrono::seconds kProbePeriod{3};
// Minimum time between two probes, because each probe takes a slot of the upstream.
constexpr std::chrono::milliseconds kProbeInterval{300};
// Slots assumed for an upstream that does not report its load, until its first heartbeat.
constexpr std::uint32_t kDefaultSlots = 8;

/** Parses the slots of a load report of the form "running,waiting,slots"; @p report may be null. */
std::uint32_t ParseSlots(const std::string* report) {
  std::uint32_t slots = 0;
  const auto separator = report == nullptr ? std::string::npos : report->rfind(',');
  if (separator != std::string::npos) {
    std::from_chars(report->data() + separator + 1, report->data() + report->size(), slots);
  }
  return slots == 0 ? kDefaultSlots : slots;
}

}  // namespace

InstanceProbe::InstanceProbe(directory::LocalInstance& instance,
                             const request_path::HeaderNames& names, InstanceProbeHooks hooks,
                             base::TimePoint start)
    : instance_(instance), names_(names), hooks_(std::move(hooks)), start_(start) {}

void InstanceProbe::Check(const std::string& path, base::TimePoint now) {
  if (path.empty() || names_.instance.empty() || instance_.has_been_heard() || is_probing_ ||
      now < next_probe_ || now - start_ > kProbePeriod) {
    return;
  }
  is_probing_ = true;
  next_probe_ = now + kProbeInterval;
  hooks_.send_probe(
      path, [this, now](const http_stream::ResponseMessage& answer) { HandleAnswer(answer, now); });
}

void InstanceProbe::HandleAnswer(const http_stream::ResponseMessage& answer,
                                 base::TimePoint probed_at) {
  is_probing_ = false;
  const std::string* id = http_stream::FindField(answer.fields, names_.instance);
  const bool is_healthy = answer.status == kOk && id != nullptr && !id->empty();
  const bool is_adopted =
      is_healthy &&
      instance_.Adopt(*id, ParseSlots(http_stream::FindField(answer.fields, names_.upstream_load)),
                      probed_at);
  base::Log(
      base::LogLevel::kInfo, "instance_probed",
      {{"status", answer.status}, {"instance", id == nullptr ? "" : *id}, {"adopted", is_adopted}});
  if (is_adopted) {
    hooks_.on_found();
  }
}

}  // namespace borageloft::mesh
