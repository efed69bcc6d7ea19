#include "libraries/node/node.h"

#include <asio.hpp>
#include <fstream>
#include <iterator>
#include <optional>
#include <random>
#include <thread>
#include <utility>
#include <vector>

#include "libraries/control_rpc/control_rpc.h"
#include "libraries/node/attempt_loop.h"
#include "libraries/node/call_sender.h"
#include "libraries/node/control_channel.h"
#include "libraries/node/dissemination_table.h"
#include "libraries/node/group_client.h"
#include "libraries/node/group_hub.h"
#include "libraries/node/inbound_calls.h"
#include "libraries/node/ledger_control.h"
#include "libraries/node/ledger_table.h"
#include "libraries/node/membership_table.h"
#include "libraries/node/node_http.h"
#include "libraries/node/note_control.h"
#include "libraries/node/note_table.h"
#include "libraries/node/operator_api.h"
#include "libraries/node/request_entry.h"
#include "libraries/node/routing_table.h"
#include "libraries/node/upstream_gate.h"
#include "libraries/transport/transport.h"

namespace borageloft::node {

namespace {

using std::chrono::milliseconds;

// The gate drops late work and ends leases at this grain; a finer one wakes idle nodes for nothing.
constexpr base::Duration kGateTick = milliseconds(5);
constexpr base::Duration kMembershipTick = milliseconds(50);
constexpr base::Duration kControlTick = milliseconds(10);
// Half the bound of the tree, since each level of it waits for a tick before it reports.
constexpr base::Duration kDisseminationTick = milliseconds(25);
constexpr base::Duration kRoutingTick = milliseconds(1000);
constexpr base::Duration kDrainCheck = milliseconds(10);
// Time for the other nodes to hear that this one leaves before its last connection is closed.
constexpr base::Duration kFarewell = milliseconds(200);
constexpr const char* kNotesFile = "notes-in-force";
constexpr std::size_t kSpanQueue = 65'536;

base::Random ThreadRandom() {
  return [] {
    thread_local std::mt19937_64 engine = [] {
      std::random_device device;
      std::seed_seq seed{device(), device(), device(), device()};
      return std::mt19937_64(seed);
    }();
    return engine();
  };
}

transport::TransportOptions MakeTransportOptions(const settings::NodeSettings& settings,
                                                 std::uint64_t incarnation) {
  transport::TransportOptions options;
  options.node = settings.node;
  options.incarnation = incarnation;
  options.frame_bytes = static_cast<std::size_t>(settings.limits.frame_bytes);
  options.streams = static_cast<std::size_t>(settings.limits.streams);
  options.connections = static_cast<std::size_t>(settings.limits.peer_connections);
  options.ping_interval = settings.transport.ping_interval;
  options.silence_timeout = settings.transport.silence_timeout;
  options.connect_timeout = settings.transport.connect_timeout;
  return options;
}

std::vector<std::string> ControlHostsOf(const settings::NodeSettings& settings) {
  std::vector<std::string> hosts;
  for (const settings::ControlPeer& peer : settings.control_peers) {
    hosts.push_back(peer.node);
  }
  return hosts;
}

// On a host with a disk the notes in force survive a restart without a quorum.
note_log::NoteStorage MakeNoteStorage(const storage::DataFolder* folder) {
  if (folder == nullptr) {
    return {[] { return std::nullopt; }, [](const std::string&) {}};
  }
  return {[folder]() -> std::optional<std::string> {
            std::ifstream stream(folder->path() + "/" + kNotesFile, std::ios::binary);
            if (!stream) {
              return std::nullopt;
            }
            return std::string(std::istreambuf_iterator<char>(stream), {});
          },
          [folder](const std::string& bytes) {
            storage::WriteFileAtomically(folder->file_system(), folder->path(), kNotesFile, bytes);
          }};
}

http::HttpServerOptions MakeHttpOptions(const settings::NodeSettings& settings) {
  http::HttpServerOptions options;
  options.connections = static_cast<std::size_t>(settings.limits.caller_connections);
  options.header_bytes = static_cast<std::size_t>(settings.limits.header_bytes);
  options.body_bytes = static_cast<std::size_t>(settings.limits.body_bytes);
  return options;
}

}  // namespace

struct Node::State {
  struct Unstarted {};

  explicit State(settings::NodeSettings node_settings);
  // Delegated to, so that a start that fails half way is undone by the destructor.
  State(settings::NodeSettings node_settings, Unstarted unstarted);
  ~State() { Stop(); }

  transport::TransportHooks MakeTransportHooks();
  GateHooks MakeGateHooks();
  void SubscribeTimers();
  void StartThreads();
  void StartServers();
  void StartControl();
  DisseminationHooks MakeDisseminationHooks();
  metrics::NodeGauges Gauges() const;
  bool Drain();
  void Stop();

  const settings::NodeSettings settings;
  asio::io_context context;
  asio::executor_work_guard<asio::io_context::executor_type> work{asio::make_work_guard(context)};
  timer::TimerService timers{base::SystemClock()};
  transport::TimerDriver driver{context, timers};
  PolicyTable policies;
  metrics::NodeMetrics metrics;
  tracing::SpanExporter spans;
  const NodeServices services;
  membership::Incarnation incarnation;

  ControlChannel channel;
  GroupHub group_hub;
  // Before the gate, whose workers use it until they have ended.
  LedgerTable ledger_table;
  RunningRequests running;
  RoutingTable routes;
  UpstreamGate gate;
  InboundCalls inbound;
  transport::PeerTransport transport;
  NodeEndpoints endpoints;
  std::unique_ptr<MembershipTable> members;
  const storage::FileSystem file_system = storage::PosixFileSystem();
  std::unique_ptr<storage::DataFolder> folder;  // Null on a host without a data folder.
  std::unique_ptr<NoteTable> note_table;
  std::unique_ptr<DisseminationTable> dissemination;
  GroupClient note_client;
  std::unique_ptr<NoteControl> note_control;      // Null on a node that is no control host.
  std::unique_ptr<LedgerControl> ledger_control;  // Likewise.
  CallSender sender;
  AttemptLoop attempts;
  RequestEntry entry;
  LocalHttp local_http;
  std::unique_ptr<OperatorApi> operator_api;
  http::HttpServer caller_server;
  http::HttpServer local_server;
  std::unique_ptr<control_rpc::RpcServer> operator_server;
  std::vector<std::thread> threads;
  bool is_stopped = false;
};

Node::State::State(settings::NodeSettings node_settings, Unstarted /*unstarted*/)
    : settings(std::move(node_settings)),
      spans(settings.node, tracing::WriteLinesTo(settings.span_file), kSpanQueue),
      services{settings,
               base::SystemClock(),
               base::SystemWallClock(),
               ThreadRandom(),
               policies,
               metrics,
               spans,
               timers},
      incarnation(base::SystemWallClock()),
      channel(settings.node, settings.control_peers,
              [this](std::function<void()> task) { asio::post(context, std::move(task)); }),
      group_hub(channel),
      ledger_table(services, group_hub, incarnation.Next()),
      routes(services),
      gate(services, running, MakeGateHooks()),
      inbound(services, gate),
      transport(context, MakeTransportOptions(settings, incarnation.Next()), MakeTransportHooks()),
      note_client(services, group_hub, kNoteGroup, ControlHostsOf(settings)),
      sender(services, gate, transport),
      attempts(services, routes, sender,
               [this](const std::string& service, base::TimePoint until) {
                 members->Discover(service, until);
               }),
      entry(services, routes, running, attempts),
      local_http(entry, gate,
                 {[this] { return metrics.Collect(Gauges()); },
                  [this] {
                    return policies.current()->number() > 0 && members->has_been_served() &&
                           !gate.status().admission.is_leaving;
                  }}),
      caller_server(MakeHttpOptions(settings),
                    [this](const http::HttpRequest& request) {
                      return entry.Handle(request, CallerKind::kOutside);
                    }),
      local_server(MakeHttpOptions(settings), [this](const http::HttpRequest& request) {
        return local_http.Handle(request);
      }) {}

Node::State::State(settings::NodeSettings node_settings)
    : State(std::move(node_settings), Unstarted()) {
  if (settings.is_control_host()) {
    folder = std::make_unique<storage::DataFolder>(file_system, settings.data_folder);
  }
  channel.Attach(transport);
  endpoints.peers = transport.Listen(settings.peers);
  members =
      std::make_unique<MembershipTable>(services, incarnation, endpoints.peers, channel, routes);
  policies.AddListener([this](const notes::Policy& policy) {
    ledger_table.ApplyPolicy(policy);
    gate.ApplyPolicy(policy);
  });
  note_table = std::make_unique<NoteTable>(MakeNoteStorage(folder.get()), policies);
  dissemination = std::make_unique<DisseminationTable>(
      services, incarnation.current(), endpoints.peers, *note_table, MakeDisseminationHooks());
  StartControl();
  operator_api = std::make_unique<OperatorApi>(
      services, OperatorApi::Parts{*note_table, note_client, note_control.get(), *dissemination,
                                   *members, gate});
  SubscribeTimers();
  StartThreads();
  StartServers();
  base::Log(base::LogLevel::kInfo, "node_started",
            {{"node", settings.node},
             {"zone", settings.zone},
             {"callers", settings::FormatEndpoint(endpoints.callers)},
             {"local", settings::FormatEndpoint(endpoints.local)},
             {"peers", settings::FormatEndpoint(endpoints.peers)},
             {"operators", settings::FormatEndpoint(endpoints.operators)}});
}

transport::TransportHooks Node::State::MakeTransportHooks() {
  transport::TransportHooks hooks;
  hooks.handle_request = [this](const std::string&, transport::InboundRequestId id,
                                wire::Request request, transport::Responder respond) {
    inbound.Start(id, std::move(request), std::move(respond));
  };
  hooks.handle_cancel = [this](transport::InboundRequestId id) { inbound.Cancel(id); };
  hooks.handle_control = [this](const std::string& from, wire::Channel control_channel,
                                const std::string& payload) {
    channel.Receive(from, control_channel, payload);
  };
  return hooks;
}

GateHooks Node::State::MakeGateHooks() {
  GateHooks hooks;
  hooks.upstream_changed = [this](const std::optional<membership::UpstreamData>& upstream) {
    members->SetUpstream(upstream);
  };
  hooks.level_below = [this] {
    const auto data = gate.status().upstream;
    if (!data) {
      return admission::AdmissionLevel();
    }
    return routes.WorstAlong(policies.current()->FindCallsBelow(data->service));
  };
  hooks.once = ledger_table.Hooks();
  return hooks;
}

void Node::State::StartControl() {
  if (folder == nullptr) {
    return;
  }
  note_control = std::make_unique<NoteControl>(
      services, *folder, group_hub, ControlHostsOf(settings),
      NoteControl::Listener{
          [this](const note_log::Note& note) { dissemination->Accept(note); },
          [this](const note_log::PolicyChain& chain) { dissemination->AcceptSnapshot(chain); }});
  note_control->Start();
  ledger_control = std::make_unique<LedgerControl>(services, *folder, group_hub);
  ledger_control->Start();
}

DisseminationHooks Node::State::MakeDisseminationHooks() {
  channel.Handle(wire::Channel::kDissemination,
                 [this](const std::string& from, const std::string& payload) {
                   dissemination->Receive(from, payload);
                 });
  DisseminationHooks hooks;
  hooks.send = [this](const std::string& to, std::string payload) {
    channel.Send(to, wire::Channel::kDissemination, std::move(payload));
  };
  hooks.learn = [this](const std::string& node, const settings::Endpoint& endpoint) {
    channel.Learn(node, endpoint);
  };
  hooks.view_region = [this] {
    return RegionView{members->RegionNodes(), members->is_registry_settled()};
  };
  return hooks;
}

void Node::State::SubscribeTimers() {
  timers.SubscribeEvery(kGateTick, [this](base::TimePoint) { gate.Tick(); });
  timers.SubscribeEvery(kMembershipTick, [this](base::TimePoint) { members->Tick(); });
  timers.SubscribeEvery(kControlTick, [this](base::TimePoint) {
    note_client.Tick();
    ledger_table.Tick();
    if (note_control != nullptr) {
      note_control->Tick();
      ledger_control->Tick();
    }
  });
  timers.SubscribeEvery(kDisseminationTick, [this](base::TimePoint) { dissemination->Tick(); });
  timers.SubscribeEvery(kRoutingTick, [this](base::TimePoint) { routes.Expire(); });
  timers.SubscribeEvery(settings.transport.ping_interval,
                        [this](base::TimePoint) { transport.CheckHeartbeats(); });
}

void Node::State::StartThreads() {
  driver.Start();
  for (std::int64_t i = 0; i < settings.transport.io_threads; ++i) {
    threads.emplace_back([this] { context.run(); });
  }
}

void Node::State::StartServers() {
  endpoints.callers = caller_server.Start(settings.callers);
  endpoints.local = local_server.Start(settings.local);
  operator_server = std::make_unique<control_rpc::RpcServer>(
      control_rpc::LoadToken(settings.token_file), operator_api->Methods());
  endpoints.operators = operator_server->Start(settings.operators);
}

metrics::NodeGauges Node::State::Gauges() const {
  const GateStatus status = gate.status();
  const transport::TransportCounters counters = transport.counters();
  metrics::NodeGauges gauges;
  gauges.in_flight = static_cast<double>(status.admission.running);
  gauges.limit = static_cast<double>(status.admission.limit);
  gauges.queued = static_cast<double>(status.admission.waiting);
  gauges.note_number = static_cast<double>(policies.current()->number());
  gauges.peer_connections = static_cast<double>(transport.connection_count());
  gauges.lease_age_seconds = std::chrono::duration<double>(members->view_age()).count();
  gauges.has_quorum = note_control != nullptr && !note_control->status().leader.empty() ? 1 : 0;
  gauges.spans_dropped = static_cast<double>(spans.dropped());
  gauges.control_bytes_sent = static_cast<double>(counters.control_bytes_sent);
  return gauges;
}

bool Node::State::Drain() {
  entry.BeginLeaving();
  members->SetNodeState(membership::NodeState::kLeaving);
  gate.BeginNodeStop();
  const base::TimePoint limit = services.clock() + settings.drain_timeout;
  while ((!gate.is_idle() || entry.in_progress() > 0) && services.clock() < limit) {
    std::this_thread::sleep_for(kDrainCheck);
  }
  const bool is_drained = gate.is_idle() && entry.in_progress() == 0;
  members->SetNodeState(membership::NodeState::kStopped);
  dissemination->Leave();
  std::this_thread::sleep_for(kFarewell);
  return is_drained;
}

void Node::State::Stop() {
  if (is_stopped) {
    return;
  }
  is_stopped = true;
  ledger_table.Stop();
  if (operator_server != nullptr) {
    operator_server->Stop();
  }
  if (!threads.empty()) {
    driver.Stop();
  }
  // Hands leadership over while messages still travel.
  ledger_control.reset();
  note_control.reset();
  caller_server.Stop();
  local_server.Stop();
  // What the gate reports needs the parts that are destroyed before it.
  gate.Stop();
  transport.Stop();
  work.reset();
  for (std::thread& thread : threads) {
    thread.join();
  }
}

Node::Node(settings::NodeSettings settings)
    : state_(std::make_unique<State>(std::move(settings))) {}

Node::~Node() = default;

const NodeEndpoints& Node::endpoints() const { return state_->endpoints; }

bool Node::Drain() { return state_->Drain(); }

}  // namespace borageloft::node
