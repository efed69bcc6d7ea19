#include "libraries/mesh/mesh_node.h"

#include <unistd.h>

#include <algorithm>
#include <random>
#include <utility>

#include "libraries/mesh/metrics_text.h"
#include "libraries/mesh/peer_address.h"

namespace borageloft::mesh {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kServiceUnavailable = 503;

// Heartbeat intervals without a heartbeat after which an instance is considered gone.
constexpr int kMissedHeartbeats = 3;
constexpr std::chrono::milliseconds kCheckInterval{100};
// A peer that leaves a transport heartbeat unanswered for this long gets no new requests until it
// answers. Covers several round trips between zones and the pause of a process that has used up its
// CPU quota.
constexpr std::chrono::milliseconds kPeerSuspectTimeout{200};
// Time for which a draining node keeps running even if it is idle: callers are sent elsewhere only
// after two failed readiness checks, which are 1 s apart.
constexpr std::chrono::milliseconds kMinimumDrainTime{2800};
// Time after the start of a drain at which the record of the local upstream changes to leaving. The
// rest of the minimum drain time suffices to propagate the change and to finish the work begun.
constexpr std::chrono::milliseconds kWithdrawalDelay{1300};
// Time after the start of a drain at which the gate closes. Nodes that have not learned of the
// withdrawal by then are refused and choose other instances.
constexpr std::chrono::milliseconds kGateCloseDelay{2000};
// Requests run without an outgoing call after which an upstream is assumed to make no calls.
constexpr std::uint64_t kRequestsToAssumeNoCalls = 100;
constexpr std::chrono::milliseconds kHealthCheckTimeout{1000};
// Part of the drain time that is reserved for the shutdown of the process.
constexpr std::chrono::milliseconds kDrainMargin{500};
constexpr std::size_t kMaximumCallBodyBytes = 64 * 1024;

std::uint64_t UnixMillisecondsNow() {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                        base::SystemWallClock()().time_since_epoch())
                                        .count());
}

std::size_t MachineMemory() {
  return static_cast<std::size_t>(std::max(0L, ::sysconf(_SC_PHYS_PAGES))) *
         static_cast<std::size_t>(std::max(0L, ::sysconf(_SC_PAGESIZE)));
}

wire::Response ToResponse(transport::CallResult result) {
  if (auto* response = std::get_if<wire::Response>(&result)) {
    return std::move(*response);
  }
  wire::Response response;
  const bool is_unsent =
      std::get<transport::CallFailure>(result) == transport::CallFailure::kNotSent;
  response.outcome = is_unsent ? wire::Outcome::kNotRun : wire::Outcome::kUnknown;
  response.reason = std::string(request_path::TextOf(
      is_unsent ? request_path::Refusal::kNotSent : request_path::Refusal::kConnectionLost));
  return response;
}

http_stream::ResponseMessage MakeResponse(unsigned status, std::string body,
                                          const std::string& content_type) {
  http_stream::ResponseMessage response;
  response.status = status;
  response.body = std::move(body);
  response.fields.push_back({"Content-Type", content_type});
  return response;
}

}  // namespace

MeshNode::MeshNode(NodeLoop& loop, Dialect dialect)
    : loop_(loop),
      dialect_(std::move(dialect)),
      node_(NodeNameOf(loop.settings())),
      epoch_(UnixMillisecondsNow()),
      held_bytes_(loop.settings().HeldBytes(MachineMemory())),
      random_(base::SeededRandom(std::random_device()())),
      log_(clock_),
      instance_(loop.settings().service, kMissedHeartbeats * loop.settings().heartbeat_interval) {
  const MeshSettings& settings = loop_.settings();
  request_path::UpstreamPoolOptions pool_options;
  pool_options.endpoint = settings.upstream;
  pool_options.held_bytes = held_bytes_;
  pool_ = std::make_unique<request_path::UpstreamPool>(
      loop_.context(), pool_options, dialect_.headers, [this] { instance_.Suspect(); },
      [this] { instance_.Suspect(); });
  request_path::LocalGateOptions gate_options;
  gate_options.held_bytes = held_bytes_;
  gate_ = std::make_unique<request_path::LocalGate>(
      gate_options, instance_, clock_, loop_.timers(),
      [this](wire::Request request, base::TimePoint deadline,
             request_path::ResponseHandler handler) {
        return pool_->Run(std::move(request), deadline, std::move(handler));
      },
      log_);
  InstanceProbeHooks probe_hooks;
  probe_hooks.send_probe = [this](const std::string& path,
                                  InstanceProbeHooks::AnswerHandler handler) {
    pool_->AskHealth(path, clock_() + kHealthCheckTimeout, std::move(handler));
  };
  probe_hooks.on_found = [this] { PublishRecord(); };
  probe_ = std::make_unique<InstanceProbe>(instance_, dialect_.headers, std::move(probe_hooks),
                                           clock_());
  request_path::EntryOptions entry_options;
  entry_options.service = settings.service;
  entry_options.names = dialect_.headers;
  entry_options.budget = settings.retries;
  entry_options.held_bytes = held_bytes_;
  request_path::EntryHooks hooks;
  hooks.clock = clock_;
  hooks.random = random_;
  hooks.send = [this](const directory::InstanceRecord& instance, wire::Request request,
                      request_path::ResponseHandler handler) {
    return Send(instance, std::move(request), std::move(handler));
  };
  hooks.find_running = [this](const std::string& request_id) {
    return gate_->FindRunning(request_id);
  };
  hooks.on_call_failed = [this](const std::string& request_id) {
    gate_->NoteFailedCall(request_id);
  };
  entry_ = std::make_unique<request_path::Entry>(std::move(entry_options), settings.zone,
                                                 std::move(hooks), loop_.timers(), log_);
  entry_->chooser().set_is_silent([this](const std::string& node) {
    return peers_ != nullptr && peers_->SilentFor(node) > kPeerSuspectTimeout;
  });
  gate_->set_downstream_level([this] { return entry_->DownstreamLevel(); });
  Listen();
}

MeshNode::~MeshNode() = default;

void MeshNode::Listen() {
  const MeshSettings& settings = loop_.settings();
  transport::TransportHooks hooks;
  hooks.handle_request = [this](const std::string&, transport::InboundRequestId id,
                                wire::Request request, transport::Responder respond) {
    HandlePeerRequest(id, std::move(request), std::move(respond));
  };
  hooks.handle_cancel = [this](transport::InboundRequestId id) { HandlePeerCancel(id); };
  hooks.handle_control = [this](const std::string& from, wire::Channel,
                                const std::string& payload) {
    try {
      const directory::Message message = directory::Decode(payload);
      if (const auto* answer = std::get_if<directory::SyncAnswer>(&message)) {
        sync_->Receive(from, *answer);
      } else if (const auto* departures = std::get_if<directory::DepartureAnswer>(&message)) {
        const bool had_recalled = departures_->has_recalled();
        departures_->Receive(*departures);
        if (!had_recalled) {
          PublishRecord();
        }
      }
    } catch (const directory::DirectoryError& error) {
      base::Log(base::LogLevel::kWarning, "directory_message_refused",
                {{"from", from}, {"error", error.what()}});
    }
  };
  DirectorySyncHooks sync_hooks;
  sync_hooks.clock = clock_;
  sync_hooks.send = [this](const std::string& address, std::string bytes) {
    peers_->SendControl(PeerAddressOf(address), wire::Channel::kMembership, std::move(bytes));
  };
  sync_hooks.on_records = [this](const directory::NodeSet& changed) { HandleRecords(changed); };
  sync_hooks.on_declaration = [this](std::uint64_t version, const std::string& text) {
    HandleDeclaration(version, text);
  };
  sync_ =
      std::make_unique<DirectorySync>(settings.zone, SeedNodes(settings), std::move(sync_hooks));
  DepartureKeeperHooks departure_hooks;
  departure_hooks.clock = clock_;
  departure_hooks.send = [this](const std::string& bytes) {
    for (const std::string& host : sync_->HostsToReach()) {
      peers_->SendControl(PeerAddressOf(host), wire::Channel::kMembership, bytes);
    }
  };
  departures_ =
      std::make_unique<DepartureKeeper>(node_, epoch_, instance_, std::move(departure_hooks));
  transport::TransportOptions peer_options = PeerOptions(settings);
  // Traffic within a zone is cheap; traffic between zones is worth the CPU time to compress it.
  peer_options.crosses_zones = [this](const std::string& node) {
    const auto& records = sync_->view().records();
    const auto record = records.find(node);
    return record == records.end() || record->second.zone != loop_.settings().zone;
  };
  peers_ = std::make_unique<transport::PeerTransport>(loop_.context(), std::move(peer_options),
                                                      std::move(hooks));
  peers_->Listen(settings.peers);

  http_stream::ServerLimits limits;
  limits.connections = settings.connections;
  limits.held_bytes = held_bytes_;
  caller_server_ = std::make_unique<http_stream::Server>(
      loop_.context(), limits,
      [this](http_stream::RequestMessage message, base::TimePoint received,
             const http_stream::Exchange& exchange) {
        HandleCallerRequest(std::move(message), received, exchange);
      });
  caller_server_->Listen(settings.callers);
  http_stream::ServerLimits call_limits;
  call_limits.message.body_bytes = kMaximumCallBodyBytes;
  const auto handle_call = [this](const http_stream::RequestMessage& message, base::TimePoint,
                                  const http_stream::Exchange& exchange) {
    HandleCall(message, exchange);
  };
  readiness_server_ =
      std::make_unique<http_stream::Server>(loop_.context(), call_limits, handle_call);
  readiness_server_->Listen(settings.readiness);
  call_server_ = std::make_unique<http_stream::Server>(loop_.context(), call_limits, handle_call);
  call_server_->Listen(settings.calls);
  if (settings.metrics) {
    metrics_server_ = std::make_unique<http_stream::Server>(
        loop_.context(), call_limits,
        [this](const http_stream::RequestMessage&, base::TimePoint,
               const http_stream::Exchange& exchange) { RespondMetrics(exchange); });
    metrics_server_->Listen(*settings.metrics);
  }
  PollControlHosts();
  departures_->Start();
  loop_.timers().SubscribeEvery(DepartureKeeper::kPollInterval,
                                [this](base::TimePoint) { departures_->Poll(); });
  loop_.timers().SubscribeEvery(kCheckInterval, [this](base::TimePoint) {
    peers_->CheckHeartbeats();
    CheckInstance();
    startup_report_.Check(startup_state(), clock_());
    CheckDrained();
  });
  PublishRecord();
  base::Log(base::LogLevel::kInfo, "node_started",
            {{"node", node_},
             {"name", settings.name},
             {"zone", settings.zone},
             {"service", settings.service},
             {"epoch", static_cast<Json::UInt64>(epoch_)}});
}

void MeshNode::PollControlHosts() {
  sync_->Poll();
  loop_.timers().SubscribeOnce(sync_->poll_interval(),
                               [this](base::TimePoint) { PollControlHosts(); });
}

void MeshNode::HandleCallerRequest(http_stream::RequestMessage message, base::TimePoint received,
                                   const http_stream::Exchange& exchange) {
  request_path::CancelHook cancel = entry_->Handle(
      std::move(message), received,
      [exchange](http_stream::ResponseMessage response) { exchange.Respond(std::move(response)); });
  if (cancel) {
    exchange.NotifyAbandoned(std::move(cancel));
  }
}

void MeshNode::HandleCall(const http_stream::RequestMessage& message,
                          const http_stream::Exchange& exchange) {
  const NodeCall call = dialect_.decode_call(message);
  unsigned status = kNotFound;
  std::string body;
  if (std::holds_alternative<ReadinessCall>(call)) {
    const bool is_ready = entry_->version() > 0 && !draining_since_;
    status = is_ready ? kOk : kServiceUnavailable;
  } else if (const auto* heartbeat = std::get_if<HeartbeatCall>(&call)) {
    HandleHeartbeat(*heartbeat, exchange);
    return;
  } else if (const auto* leave = std::get_if<LeaveCall>(&call)) {
    HandleLeave(*leave, exchange);
    return;
  } else if (const auto* refused = std::get_if<RefusedCall>(&call)) {
    status = refused->status;
    body = refused->reason;
    base::Log(base::LogLevel::kInfo, "call_refused",
              {{"target", message.target}, {"status", status}, {"reason", refused->reason}});
  }
  exchange.Respond(MakeResponse(status, std::move(body), dialect_.content_type));
}

void MeshNode::HandleHeartbeat(const HeartbeatCall& call, const http_stream::Exchange& exchange) {
  const std::string previous_instance = instance_.instance();
  const bool was_leaving = instance_.leaving_since().has_value();
  const directory::HeartbeatOutcome outcome = instance_.HandleHeartbeat(call.heartbeat, clock_());
  if (outcome == directory::HeartbeatOutcome::kOtherService) {
    exchange.Respond(MakeResponse(kBadRequest, "", dialect_.content_type));
    return;
  }
  if (outcome == directory::HeartbeatOutcome::kTaken) {
    const bool is_replaced = previous_instance != instance_.instance();
    if (is_replaced) {
      pool_->DropIdle();
    }
    if (is_replaced || was_leaving != instance_.leaving_since().has_value()) {
      base::Log(base::LogLevel::kInfo, "instance_heard",
                {{"instance", instance_.instance()},
                 {"before", previous_instance},
                 {"leaving", instance_.leaving_since().has_value()},
                 {"sequence", static_cast<Json::UInt64>(call.heartbeat.sequence)},
                 {"born", static_cast<Json::UInt64>(call.heartbeat.born)},
                 {"slots", call.heartbeat.slots}});
    }
  }
  PublishRecord();
  if (call.heartbeat.state == directory::InstanceState::kLeaving) {
    AcknowledgeDeparture({call.heartbeat.instance, call.heartbeat.born}, exchange);
  } else {
    Acknowledge(exchange);
  }
}

void MeshNode::HandleLeave(const LeaveCall& call, const http_stream::Exchange& exchange) {
  const bool is_known = instance_.HandleLeave(call.incarnation, clock_());
  base::Log(base::LogLevel::kInfo, "instance_left",
            {{"instance", call.incarnation.instance},
             {"born", static_cast<Json::UInt64>(call.incarnation.born)},
             {"known", is_known}});
  PublishRecord();
  directory::Incarnation departed = call.incarnation;
  if (departed.born == 0 && is_known) {
    departed = instance_.incarnation();
  }
  AcknowledgeDeparture(departed, exchange);
}

// The sender counts on an acknowledged departure, so it is recorded where it outlives this process.
void MeshNode::AcknowledgeDeparture(const directory::Incarnation& departed,
                                    const http_stream::Exchange& exchange) {
  if (departed.born == 0) {
    // Without its start the process cannot be told from its successor, so there is nothing to keep.
    Acknowledge(exchange);
    return;
  }
  departures_->Record(departed, [this, exchange](RecordOutcome outcome) {
    if (outcome == RecordOutcome::kRecorded) {
      Acknowledge(exchange);
    } else {
      exchange.Respond(MakeResponse(kServiceUnavailable, "the departure is not recorded",
                                    dialect_.content_type));
    }
  });
}

void MeshNode::Acknowledge(const http_stream::Exchange& exchange) {
  exchange.Respond(MakeResponse(kOk, dialect_.acknowledgement, dialect_.content_type));
}

request_path::CancelHook MeshNode::Send(const directory::InstanceRecord& instance,
                                        wire::Request request,
                                        request_path::ResponseHandler handler) {
  if (instance.node == node_) {
    const request_path::GateTicket ticket = gate_->Submit(std::move(request), std::move(handler));
    return [this, ticket] { gate_->Cancel(ticket); };
  }
  const transport::CallId call =
      peers_->SendRequest(PeerAddressOf(instance.node), std::move(request),
                          [handler = std::move(handler)](transport::CallResult result) {
                            handler(ToResponse(std::move(result)));
                          });
  return [this, call] { peers_->CancelCall(call); };
}

void MeshNode::HandlePeerRequest(const transport::InboundRequestId& id, wire::Request request,
                                 transport::Responder respond) {
  const auto has_ended = std::make_shared<bool>(false);
  const request_path::GateTicket ticket =
      gate_->Submit(std::move(request),
                    [this, id, has_ended, respond = std::move(respond)](wire::Response response) {
                      *has_ended = true;
                      inbound_.erase(id);
                      respond(std::move(response));
                    });
  if (!*has_ended) {
    inbound_.emplace(id, ticket);
  }
}

void MeshNode::HandlePeerCancel(const transport::InboundRequestId& id) {
  const auto found = inbound_.find(id);
  if (found == inbound_.end()) {
    return;
  }
  const request_path::GateTicket ticket = found->second;
  inbound_.erase(found);
  gate_->Cancel(ticket);
}

void MeshNode::HandleDeclaration(std::uint64_t version, const std::string& text) {
  try {
    const declaration::Declaration declaration = dialect_.decode_declaration(text);
    entry_->SetDeclaration(declaration);
    http_stream::ServerLimits limits;
    limits.connections = loop_.settings().connections;
    limits.held_bytes = held_bytes_;
    const declaration::CallerLimits& declared = declaration.limits;
    limits.message.header_bytes = declared.header_bytes.value_or(limits.message.header_bytes);
    limits.message.body_bytes = std::min(limits.message.body_bytes,
                                         declared.body_bytes.value_or(limits.message.body_bytes));
    limits.header_timeout = declared.header_timeout.value_or(limits.header_timeout);
    limits.idle_timeout = declared.idle_timeout.value_or(limits.idle_timeout);
    caller_server_->set_limits(limits);
    for (const declaration::ServiceEntry& service : declaration.services) {
      if (service.name == loop_.settings().service) {
        health_path_ = service.health_path;
      }
    }
    CheckInstance();
    base::Log(base::LogLevel::kInfo, "declaration_in_force",
              {{"version", static_cast<Json::UInt64>(version)},
               {"routes", static_cast<Json::UInt64>(declaration.routes.size())}});
  } catch (const declaration::DeclarationError& error) {
    base::Log(base::LogLevel::kError, "declaration_unreadable",
              {{"version", static_cast<Json::UInt64>(version)}, {"error", error.what()}});
  }
}

void MeshNode::HandleRecords(const directory::NodeSet& changed) {
  const std::map<std::string, directory::InstanceRecord>& records = sync_->view().records();
  for (const std::string& node : changed) {
    if (node == node_) {
      continue;  // The node's own record is newer than the copy that the control hosts return.
    }
    if (const auto record = records.find(node); record != records.end()) {
      entry_->chooser().Set(record->second);
    } else {
      entry_->chooser().Remove(node);
    }
  }
  const std::size_t own = records.contains(node_) ? 0 : 1;
  entry_->budget().set_nodes(records.size() + own);
}

void MeshNode::PublishRecord() {
  directory::InstanceRecord record;
  record.node = node_;
  record.zone = loop_.settings().zone;
  record.epoch = epoch_;
  if (instance_.is_known() && !instance_.is_suspect()) {
    record.service = instance_.service();
    record.instance = instance_.instance();
    record.born = instance_.incarnation().born;
    record.slots = instance_.slots();
    const bool is_leaving = instance_.leaving_since() || IsWithdrawn();
    record.state =
        is_leaving ? directory::InstanceState::kLeaving : directory::InstanceState::kServing;
    record.remote_calls = entry_->RemoteCalls(gate_->counters().calls_started);
    record.slowdown_steps = gate_->slowdown_steps();
    if (entry_->has_seen_calls()) {
      record.calls = directory::CallUse::kSome;
    } else if (gate_->counters().started >= kRequestsToAssumeNoCalls) {
      record.calls = directory::CallUse::kNone;
    }
    record.warm_up_left_ms = instance_.WarmUpLeft(clock_()) > base::Duration::zero() ? 1 : 0;
  }
  record.revision = record_revision_;
  if (record == record_ && record_revision_ > 0) {
    return;
  }
  record.revision = ++record_revision_;
  record_ = record;
  sync_->SetRecord(record_);
  if (record_.instance.empty()) {
    entry_->chooser().Remove(node_);
  } else {
    entry_->chooser().Set(record_);
  }
}

bool MeshNode::IsWithdrawn() const {
  return draining_since_ && clock_() - *draining_since_ >= kWithdrawalDelay;
}

void MeshNode::CheckInstance() {
  if (!draining_since_) {
    probe_->Check(health_path_, clock_());
  }
  const std::string instance = instance_.instance();
  if (instance_.ExpireIfSilent(clock_())) {
    base::Log(base::LogLevel::kWarning, "instance_silent", {{"instance", instance}});
    pool_->DropIdle();
  }
  PublishRecord();
}

StartupState MeshNode::startup_state() const {
  StartupState state;
  state.control_hosts = sync_->reachable_hosts();
  state.has_declaration = entry_->version() > 0;
  state.has_recalled_departures = departures_->has_recalled();
  state.has_instance = instance_.is_known();
  state.instances = sync_->view().records().size();
  return state;
}

void MeshNode::HandleSettings(const MeshSettings& settings) {
  sync_->SetSeeds(SeedNodes(settings));
}

void MeshNode::BeginDrain() {
  if (draining_since_) {
    return;
  }
  draining_since_ = clock_();
  base::Log(base::LogLevel::kInfo, "node_draining",
            {{"exchanges", static_cast<Json::UInt64>(caller_server_->exchanges_in_progress())},
             {"running", static_cast<Json::UInt64>(gate_->running())}});
  caller_server_->BeginDrain();
  PublishRecord();
}

void MeshNode::CheckDrained() {
  if (!draining_since_) {
    return;
  }
  const base::Duration since = clock_() - *draining_since_;
  if (since >= kGateCloseDelay) {
    gate_->StopTaking();
  }
  if (since >= kMinimumDrainTime) {
    // A request accepted later might not finish before the process must exit.
    entry_->StopTaking();
  }
  const bool is_idle = caller_server_->exchanges_in_progress() == 0 &&
                       caller_server_->unfinished_responses() == 0 && gate_->running() == 0 &&
                       gate_->waiting() == 0;
  if ((is_idle && since >= kMinimumDrainTime) ||
      since >= loop_.settings().drain_time - kDrainMargin) {
    base::Log(base::LogLevel::kInfo, "node_stopped",
              {{"idle", is_idle},
               {"exchanges", static_cast<Json::UInt64>(caller_server_->exchanges_in_progress())}});
    loop_.Stop();
  }
}

void MeshNode::RespondMetrics(const http_stream::Exchange& exchange) {
  MetricsText text;
  text.AddTraffic(peers_->counters().traffic);
  const request_path::EntryCounters& entry = entry_->counters();
  text.Add("borageloft_requests_total", "Requests received", entry.requests);
  text.Add("borageloft_answers_total", "Answers of upstreams passed on", entry.answered);
  text.Add("borageloft_abandoned_total", "Requests whose caller left", entry.abandoned);
  text.Add("borageloft_repeats_total", "Requests sent once more", entry.repeats);
  text.Add("borageloft_refused_total", "Requests refused as not run", "reason", entry.refused);
  text.Add("borageloft_failed_total", "Requests that failed otherwise", "reason", entry.failed);
  const request_path::GateCounters& gate = gate_->counters();
  text.Add("borageloft_gate_started_total", "Requests given to the upstream", gate.started);
  text.Add("borageloft_gate_refused_total", "Requests refused at the gate", gate.refused);
  text.Add("borageloft_gate_rejected_total", "Requests rejected by the upstream", gate.rejected);
  text.Add("borageloft_gate_lost_total", "Requests without a whole answer", gate.lost);
  text.Add("borageloft_gate_running", "Requests that run", gate_->running());
  text.Add("borageloft_gate_waiting", "Requests that wait for a slot", gate_->waiting());
  const request_path::UpstreamPoolCounters& pool = pool_->counters();
  text.Add("borageloft_upstream_connections_total", "Connections opened to the upstream",
           pool.connections_opened);
  text.Add("borageloft_upstream_reuses_total", "Requests sent on a kept connection", pool.reused);
  text.Add("borageloft_upstream_unreadable_rates_total", "Answers whose named rate is no rate",
           pool.unreadable_rates);
  text.Add("borageloft_upstream_rate_limit",
           "Requests per second that the upstream names, in 1/1000",
           gate_->Load().rate_limit_milli);
  text.Add("borageloft_request_bytes_held", "Size of the callers' request bodies held",
           caller_server_->held_bytes());
  text.Add("borageloft_refused_for_bytes_total", "Requests refused because of the bytes held",
           caller_server_->counters().refused_for_bytes);
  text.Add("borageloft_caller_connections", "Open connections of callers",
           caller_server_->connection_count());
  text.Add("borageloft_declaration_version", "Declaration in force", entry_->version());
  text.Add("borageloft_instances_known", "Instances in the directory",
           sync_->view().records().size());
  text.Add("borageloft_startup_waits", "Things that the node lacks to answer requests",
           FindWaits(startup_state()).size());
  text.Add("borageloft_control_hosts", "Control hosts that answered lately",
           sync_->reachable_hosts());
  text.Add("borageloft_log_lines_dropped_total", "Log lines beyond the bound", log_.dropped());
  exchange.Respond(MakeResponse(kOk, text.Serialize(), "text/plain; version=0.0.4"));
}

}  // namespace borageloft::mesh
