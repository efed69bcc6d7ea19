#include <fmt/format.h>

#include "tests/membership/measure.h"

namespace borageloft::membership {
namespace {

/** Prints one figure as a JSON line, in the form of meta/bench.sh. */
void Print(const std::string& name, double value, const char* unit) {
  fmt::print("{{\"name\": \"{}\", \"value\": {:.3f}, \"unit\": \"{}\"}}\n", name, value, unit);
}

void PrintTraffic(const WorldSize& size) {
  const auto [node, host] = MeasureSteadyTraffic(size);
  const std::string label =
      fmt::format("nodes={},registries={},services={},subscriptions={}", size.nodes * size.regions,
                  size.registries * size.regions, size.services, size.subscriptions);
  Print("node_bytes_per_s," + label, static_cast<double>(node.bytes), "B/s");
  Print("node_messages_per_s," + label, static_cast<double>(node.messages), "1/s");
  Print("registry_bytes_per_s," + label, static_cast<double>(host.bytes), "B/s");
  Print("registry_messages_per_s," + label, static_cast<double>(host.messages), "1/s");
}

/** Prints the time until a leaving upstream is known to all its callers. */
void PrintLeaveTimes() {
  for (const double loss : {0.0, 0.01, 0.05}) {
    const std::vector<double> times = MeasureLeaves(loss, 1000);
    const std::string label = fmt::format("leave_known_ms,loss={}", loss);
    Print(label + ",p50", times[times.size() / 2], "ms");
    Print(label + ",p99", times[times.size() * 99 / 100], "ms");
    Print(label + ",max", times.back(), "ms");
  }
}

// Prints how the steady traffic grows.
void PrintSteadyTraffic() {
  for (const int nodes : {15, 50, 150, 500, 1000}) {
    PrintTraffic({2, 3, nodes, std::max(5, nodes / 3), 4});
  }
  for (const int services : {10, 50, 150}) {
    PrintTraffic({2, 3, 150, services, 4});
  }
  for (const int subscriptions : {1, 4, 16, 32}) {
    PrintTraffic({2, 3, 150, 50, subscriptions});
  }
  for (const int registries : {3, 5, 7}) {
    PrintTraffic({2, registries, 150, 50, 4});
  }
}

}  // namespace
}  // namespace borageloft::membership

/** Prints the steady traffic and the time until a leaving upstream is known. */
int main() {
  borageloft::base::SetLogLevel(borageloft::base::LogLevel::kError);
  borageloft::membership::PrintLeaveTimes();
  borageloft::membership::PrintSteadyTraffic();
  return 0;
}
