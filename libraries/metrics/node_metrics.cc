#include "libraries/metrics/node_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace borageloft::metrics {

namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;
using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;

Histogram::BucketBoundaries SecondsBuckets() {
  return {0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0};
}

double ToSeconds(base::Duration time) { return std::chrono::duration<double>(time).count(); }

}  // namespace

struct NodeMetrics::State {
  prometheus::Registry registry;
  Family<Counter>& entries = BuildCounter()
                                 .Name("borageloft_requests_total")
                                 .Help("Requests at their entry by class and outcome.")
                                 .Register(registry);
  Family<Histogram>& latency = BuildHistogram()
                                   .Name("borageloft_request_seconds")
                                   .Help("Time from entry to answer by class.")
                                   .Register(registry);
  Family<Counter>& admitted = BuildCounter()
                                  .Name("borageloft_admitted_total")
                                  .Help("Requests that the gate let run, by class.")
                                  .Register(registry);
  Family<Histogram>& queue_delay = BuildHistogram()
                                       .Name("borageloft_queue_seconds")
                                       .Help("Time admitted requests waited, by class.")
                                       .Register(registry);
  Family<Counter>& shed = BuildCounter()
                              .Name("borageloft_shed_total")
                              .Help("Requests that were not run, by class and reason.")
                              .Register(registry);
  Family<Counter>& retries = BuildCounter()
                                 .Name("borageloft_retries_total")
                                 .Help("Attempts after the first, by service.")
                                 .Register(registry);
  Family<Counter>& refused_retries = BuildCounter()
                                         .Name("borageloft_retries_refused_total")
                                         .Help("Retries not made, by service and reason.")
                                         .Register(registry);
  Family<Gauge>& gauges = BuildGauge()
                              .Name("borageloft_node")
                              .Help("State of the node; the label names the value.")
                              .Register(registry);

  void SetGauge(const std::string& name, double value) { gauges.Add({{"value", name}}).Set(value); }
};

NodeMetrics::NodeMetrics() : state_(std::make_unique<State>()) {}

NodeMetrics::~NodeMetrics() = default;

void NodeMetrics::CountEntry(const std::string& class_name, const std::string& outcome,
                             base::Duration latency) {
  state_->entries.Add({{"class", class_name}, {"outcome", outcome}}).Increment();
  state_->latency.Add({{"class", class_name}}, SecondsBuckets()).Observe(ToSeconds(latency));
}

void NodeMetrics::CountAdmitted(const std::string& class_name, base::Duration queue_delay) {
  state_->admitted.Add({{"class", class_name}}).Increment();
  state_->queue_delay.Add({{"class", class_name}}, SecondsBuckets())
      .Observe(ToSeconds(queue_delay));
}

void NodeMetrics::CountShed(const std::string& class_name, const std::string& reason) {
  state_->shed.Add({{"class", class_name}, {"reason", reason}}).Increment();
}

void NodeMetrics::CountRetry(const std::string& service) {
  state_->retries.Add({{"service", service}}).Increment();
}

void NodeMetrics::CountRefusedRetry(const std::string& service, const std::string& reason) {
  state_->refused_retries.Add({{"service", service}, {"reason", reason}}).Increment();
}

std::string NodeMetrics::Collect(const NodeGauges& gauges) {
  state_->SetGauge("in_flight", gauges.in_flight);
  state_->SetGauge("limit", gauges.limit);
  state_->SetGauge("queued", gauges.queued);
  state_->SetGauge("note_number", gauges.note_number);
  state_->SetGauge("peer_connections", gauges.peer_connections);
  state_->SetGauge("lease_age_seconds", gauges.lease_age_seconds);
  state_->SetGauge("has_quorum", gauges.has_quorum);
  state_->SetGauge("spans_dropped", gauges.spans_dropped);
  state_->SetGauge("control_bytes_sent", gauges.control_bytes_sent);
  return prometheus::TextSerializer().Serialize(state_->registry.Collect());
}

}  // namespace borageloft::metrics
