#ifndef BORAGELOFT_MESH_METRICS_TEXT_H_
#define BORAGELOFT_MESH_METRICS_TEXT_H_

#include <prometheus/metric_family.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libraries/transport/transport.h"

namespace borageloft::mesh {

/** Collects counters and gauges and serializes them in the Prometheus text format. */
class MetricsText {
 public:
  /** Adds one value. A metric whose name ends in "_total" is a counter, any other one a gauge. */
  void Add(const std::string& name, const std::string& help, std::uint64_t value);

  /** Adds a metric with one value for each value of @p label. */
  void Add(const std::string& name, const std::string& help, const std::string& label,
           const std::map<std::string, std::uint64_t>& values);

  /** Adds the bytes sent to other nodes, by the kind of traffic. */
  void AddTraffic(const transport::TrafficCounters& traffic);

  std::string Serialize() const;

 private:
  std::vector<prometheus::MetricFamily> families_;
};

}  // namespace borageloft::mesh

#endif  // BORAGELOFT_MESH_METRICS_TEXT_H_
