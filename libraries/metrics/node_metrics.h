#ifndef BORAGELOFT_METRICS_NODE_METRICS_H_
#define BORAGELOFT_METRICS_NODE_METRICS_H_

#include <memory>
#include <string>

#include "libraries/base/base.h"

namespace borageloft::metrics {

/** Gauges of a node, read when the metrics are collected. */
struct NodeGauges {
  double in_flight = 0;
  double limit = 0;
  double queued = 0;
  double note_number = 0;
  double peer_connections = 0;
  double lease_age_seconds = 0;
  double has_quorum = 0;
  double spans_dropped = 0;
  double control_bytes_sent = 0;
};

/** The metrics of one node, listed in docs/OPERATIONS.md. Thread-safe. */
class NodeMetrics {
 public:
  NodeMetrics();
  ~NodeMetrics();

  NodeMetrics(const NodeMetrics&) = delete;
  NodeMetrics& operator=(const NodeMetrics&) = delete;

  /** Counts a request at its entry. @param outcome Word of the Borageloft-Outcome header. */
  void CountEntry(const std::string& class_name, const std::string& outcome,
                  base::Duration latency);

  /** Counts a request that a gate admitted, with the time it waited. */
  void CountAdmitted(const std::string& class_name, base::Duration queue_delay);

  /** Counts a request that was shed. */
  void CountShed(const std::string& class_name, const std::string& reason);

  /** Counts an attempt after the first. */
  void CountRetry(const std::string& service);

  /** Counts a retry that was not made. */
  void CountRefusedRetry(const std::string& service, const std::string& reason);

  /** @return All metrics in the Prometheus text format. */
  std::string Collect(const NodeGauges& gauges);

 private:
  struct State;

  std::unique_ptr<State> state_;
};

}  // namespace borageloft::metrics

#endif  // BORAGELOFT_METRICS_NODE_METRICS_H_
