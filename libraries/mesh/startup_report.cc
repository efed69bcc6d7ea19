#include "libraries/mesh/startup_report.h"

namespace borageloft::mesh {

std::vector<std::string> FindWaits(const StartupState& state) {
  std::vector<std::string> waits;
  if (state.control_hosts == 0) {
    waits.emplace_back("control_host");
  }
  if (!state.has_declaration) {
    waits.emplace_back("declaration");
  }
  if (!state.has_recalled_departures) {
    waits.emplace_back("departures");
  }
  if (!state.has_instance) {
    waits.emplace_back("upstream");
  }
  if (state.instances == 0) {
    waits.emplace_back("instances");
  }
  return waits;
}

void StartupReport::Check(const StartupState& state, base::TimePoint now) {
  const std::vector<std::string> waits = FindWaits(state);
  const auto elapsed_ms = static_cast<Json::Int64>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now - start_).count());
  if (is_complete_) {
    return;
  }
  if (waits.empty()) {
    is_complete_ = true;
    base::Log(base::LogLevel::kInfo, "node_serving", {{"after_ms", elapsed_ms}});
    return;
  }
  if (now < next_log_) {
    return;
  }
  next_log_ = now + kLogInterval;
  Json::Value names(Json::arrayValue);
  for (const std::string& wait : waits) {
    names.append(wait);
  }
  base::Log(base::LogLevel::kInfo, "node_waiting",
            {{"for", names},
             {"after_ms", elapsed_ms},
             {"control_hosts", static_cast<Json::UInt64>(state.control_hosts)},
             {"instances", static_cast<Json::UInt64>(state.instances)}});
}

}  // namespace borageloft::mesh
