#ifndef BORAGELOFT_TESTS_NODE_TEST_NODE_H_
#define BORAGELOFT_TESTS_NODE_TEST_NODE_H_

#include <atomic>
#include <future>
#include <initializer_list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "libraries/node/attempt_loop.h"
#include "libraries/node/call_sender.h"
#include "libraries/node/inbound_calls.h"
#include "libraries/node/request_entry.h"
#include "libraries/node/routing_table.h"
#include "libraries/node/upstream_gate.h"

namespace borageloft::node {

/** Hooks that permit each non-idempotent request. */
OnceHooks PermitAll();

/** The request path of a node without membership and notes: a test tells it both. */
class TestNode {
 public:
  explicit TestNode(const std::string& name, OnceHooks once = PermitAll(),
                    const std::string& zone = "z");
  ~TestNode();
  TestNode(const TestNode&) = delete;
  TestNode& operator=(const TestNode&) = delete;

  /** Puts the next release note in force. */
  void ApplyNote(const std::string& sections);

  /** Starts an upstream and announces it. @return Its address. */
  settings::Endpoint Serve(const std::string& service, http::HttpHandler handler,
                           std::uint32_t slots = 4);

  /** Announces an upstream at @p address. */
  membership::AnnounceRefusal Announce(const std::string& service,
                                       const settings::Endpoint& address, std::uint32_t slots = 4);

  /** Tells this node which nodes have an upstream of @p service. */
  void Learn(const std::string& service, std::initializer_list<const TestNode*> nodes);

  /** Gives a request to the gate. */
  std::future<wire::Response> Submit(const wire::Request& request,
                                     base::Duration timeout = std::chrono::seconds(60),
                                     GateCallId* id = nullptr);

  /** @return States that the gate reported; nothing for gone. */
  std::vector<std::optional<membership::UpstreamData>> changes() const;

  /** Runs before each report of the gate is recorded. Set it before the first one. */
  std::function<void()> before_change;

  /** Moves the clock of this node forward. */
  void Advance(base::Duration time) { clock_offset_ += time.count(); }

  /** Runs when a note is in force and before the gate applies it. */
  std::function<void()> before_apply;

  std::atomic<std::int64_t> clock_offset_ = 0;  // Nanoseconds.
  settings::NodeSettings settings;
  asio::io_context context;
  asio::executor_work_guard<asio::io_context::executor_type> work{asio::make_work_guard(context)};
  timer::TimerService timers{base::SystemClock()};
  transport::TimerDriver driver{context, timers};
  PolicyTable policies;
  metrics::NodeMetrics metrics;
  tracing::SpanExporter spans;
  NodeServices services;
  RunningRequests running;
  RoutingTable routes;
  UpstreamGate gate;
  InboundCalls inbound;
  transport::PeerTransport transport;
  settings::Endpoint peers;
  CallSender sender;
  AttemptLoop attempts;
  RequestEntry entry;

 private:
  GateHooks MakeHooks(OnceHooks once);
  transport::TransportHooks MakeTransportHooks();

  mutable std::mutex mutex_;
  std::vector<std::optional<membership::UpstreamData>> changes_;
  std::unique_ptr<http::HttpServer> upstream_;
  std::vector<std::thread> threads_;
};

/** @return A request for @p service as it reaches a gate. */
wire::Request MakeGateRequest(const std::string& service, const std::string& path = "/");

/** @return A request as a caller sends it. */
http::HttpRequest MakeCall(const std::string& target, http::Headers headers = {},
                           const std::string& method = "GET");

/** @return The Borageloft-Outcome header. */
std::string OutcomeOf(const http::HttpResponse& response);

/** @return The reason of a problem answer, or "". */
std::string ReasonOf(const http::HttpResponse& response);

/** Upstream of raw bytes: sends a fixed answer to each request and closes the connection. */
class RawUpstream {
 public:
  explicit RawUpstream(std::string answer);
  ~RawUpstream();
  RawUpstream(const RawUpstream&) = delete;
  RawUpstream& operator=(const RawUpstream&) = delete;

  const settings::Endpoint& endpoint() const { return endpoint_; }

 private:
  void Serve();

  const std::string answer_;
  int listener_ = -1;
  settings::Endpoint endpoint_;
  std::thread thread_;
};

}  // namespace borageloft::node

#endif  // BORAGELOFT_TESTS_NODE_TEST_NODE_H_
