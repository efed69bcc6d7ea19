#include "libraries/mesh/metrics_text.h"

#include <prometheus/text_serializer.h>

#include <utility>

namespace borageloft::mesh {

namespace {

prometheus::MetricFamily MakeFamily(const std::string& name, const std::string& help) {
  prometheus::MetricFamily family;
  family.name = name;
  family.help = help;
  family.type =
      name.ends_with("_total") ? prometheus::MetricType::Counter : prometheus::MetricType::Gauge;
  return family;
}

prometheus::ClientMetric MakeMetric(const prometheus::MetricFamily& family, std::uint64_t value) {
  prometheus::ClientMetric metric;
  if (family.type == prometheus::MetricType::Counter) {
    metric.counter.value = static_cast<double>(value);
  } else {
    metric.gauge.value = static_cast<double>(value);
  }
  return metric;
}

}  // namespace

void MetricsText::Add(const std::string& name, const std::string& help, std::uint64_t value) {
  prometheus::MetricFamily family = MakeFamily(name, help);
  family.metric.push_back(MakeMetric(family, value));
  families_.push_back(std::move(family));
}

void MetricsText::Add(const std::string& name, const std::string& help, const std::string& label,
                      const std::map<std::string, std::uint64_t>& values) {
  prometheus::MetricFamily family = MakeFamily(name, help);
  for (const auto& [label_value, value] : values) {
    prometheus::ClientMetric metric = MakeMetric(family, value);
    metric.label.push_back({label, label_value});
    family.metric.push_back(std::move(metric));
  }
  families_.push_back(std::move(family));
}

void MetricsText::AddTraffic(const transport::TrafficCounters& traffic) {
  const auto by_name = [](const transport::BytesByKind& bytes) {
    std::map<std::string, std::uint64_t> named;
    for (std::size_t kind = 0; kind < bytes.size(); ++kind) {
      named.emplace(transport::NameOf(static_cast<transport::TrafficKind>(kind)), bytes.at(kind));
    }
    return named;
  };
  Add("borageloft_peer_bytes_within_zone_total", "Bytes sent to nodes in this zone", "kind",
      by_name(traffic.within_zone));
  Add("borageloft_peer_bytes_across_zones_total",
      "Bytes sent to nodes in other zones, or in zones not known yet", "kind",
      by_name(traffic.across_zones));
}

std::string MetricsText::Serialize() const {
  return prometheus::TextSerializer().Serialize(families_);
}

}  // namespace borageloft::mesh
