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

constexpr std::chrono::milliseconds kCheckInterval{100};
// A peer that leaves a transport heartbeat unanswered for this long gets no new requests until it
// answers. Covers several round trips between zones and the pause of a process that has used up its
// CPU quota.
constexpr std::chrono::milliseconds kPeerSuspectTimeout{200};
// Time for which a draining node keeps running even if it is idle: callers are sent elsewhere only
// after two failed readiness checks, which are 1 s apart.
constexpr std::chrono::milliseconds kMinimumDrainTime{2800};
// Time after the start of a drain at which the gate closes. Nodes that have not learned of the
// withdrawal by then are refused and choose other instances.
constexpr std::chrono::milliseconds kGateCloseDelay{2000};
// Requests run without an outgoing call after which an upstream is assumed to make no calls.
constexpr std::uint64_t kRequestsToAssumeNoCalls = 100;
constexpr std::chrono::milliseconds kHealthCheckTimeout{1000};
// Part of the drain time that is reserved for the shutdown of the process.
constexpr std::chrono::milliseconds kDrainMargin{500};
constexpr std::size_t kMaximumCallBodyBytes = 64 * 1024;
// Bounds of each server that is not for callers: the upstream, the platform and operators need a
// few connections.
constexpr std::size_t kMaximumCallConnections = 256;
constexpr std::size_t kMinimumCallBytes = std::size_t{1} << 20U;
constexpr std::size_t kCallBytesShare = 8;  // Divisor of the bytes held for callers.

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
      held_bytes_(loop.settings().HeldBytes(MachineMemory())),
      random_(base::SeededRandom(std::random_device()())),
      log_(clock_) {
  const MeshSettings& settings = loop_.settings();
  const std::uint64_t epoch = UnixMillisecondsNow();
  presence_ = std::make_unique<NodePresence>(settings, epoch, dialect_, MakePresenceHooks(),
                                             loop_.timers());
  quotas_ = std::make_unique<quota::QuotaClient>(node_, epoch, settings.quotas, MakeQuotaHooks());
  request_path::UpstreamPoolOptions pool_options;
  pool_options.endpoint = settings.upstream;
  pool_options.held_bytes = held_bytes_;
  pool_ = std::make_unique<request_path::UpstreamPool>(
      loop_.context(), pool_options, dialect_.headers, [this] { presence_->instance().Suspect(); },
      [this] { presence_->instance().Suspect(); });
  request_path::LocalGateOptions gate_options;
  gate_options.held_bytes = held_bytes_;
  gate_options.uses_recovery_pace = settings.uses_recovery_pace;
  gate_ = std::make_unique<request_path::LocalGate>(
      gate_options, presence_->instance(), clock_, loop_.timers(),
      [this](wire::Request request, base::TimePoint deadline,
             request_path::ResponseHandler handler) {
        return pool_->Run(std::move(request), deadline, std::move(handler));
      },
      log_);
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
  hooks.take_quota = [this](const std::string& account,
                            std::function<void(const request_path::QuotaDecision&)> handler) {
    TakeQuota(account, std::move(handler));
  };
  hooks.return_quota = [this](const std::string& account) { quotas_->Return(account); };
  hooks.account_demand = [this](const std::string& account) { return quotas_->Demand(account); };
  hooks.are_keys_fresh = [this] { return presence_->AreKeysFresh(); };
  entry_ = std::make_unique<request_path::Entry>(std::move(entry_options), settings.zone,
                                                 std::move(hooks), loop_.timers(), log_);
  entry_->chooser().set_is_silent([this](const std::string& node) {
    return peers_ != nullptr && peers_->SilentFor(node) > kPeerSuspectTimeout;
  });
  gate_->set_downstream_level([this] { return entry_->DownstreamLevel(); });
  Listen();
}

MeshNode::~MeshNode() = default;

NodePresenceHooks MeshNode::MakePresenceHooks() {
  NodePresenceHooks hooks;
  hooks.clock = clock_;
  hooks.suspension_aware_clock = base::SuspensionAwareClock();
  hooks.send = [this](const std::string& host, std::string payload) {
    peers_->SendControl(PeerAddressOf(host), wire::Channel::kMembership, std::move(payload));
  };
  hooks.send_probe = [this](const std::string& path, InstanceProbeHooks::AnswerHandler handler) {
    pool_->AskHealth(path, clock_() + kHealthCheckTimeout, std::move(handler));
  };
  hooks.describe_load = [this](directory::InstanceRecord& record) { DescribeLoad(record); };
  hooks.on_declaration = [this](const declaration::Declaration& declaration) {
    HandleDeclaration(declaration);
  };
  hooks.on_records = [this](const directory::NodeSet& changed) { HandleRecords(changed); };
  hooks.on_own_record = [this](const directory::InstanceRecord& record) {
    if (record.instance.empty()) {
      entry_->chooser().Remove(node_);
    } else {
      entry_->chooser().Set(record);
    }
  };
  hooks.on_instance_lost = [this] { pool_->DropIdle(); };
  hooks.on_quota_answer = [this](const directory::QuotaAnswer& answer) {
    quotas_->HandleAnswer(answer);
  };
  return hooks;
}

quota::QuotaHooks MeshNode::MakeQuotaHooks() {
  quota::QuotaHooks hooks;
  hooks.clock = base::SuspensionAwareClock();
  hooks.random = random_;
  hooks.send = [this](const directory::QuotaRequest& request) {
    presence_->SendToQuotaOwner(request);
  };
  return hooks;
}

void MeshNode::TakeQuota(const std::string& account,
                         std::function<void(const request_path::QuotaDecision& decision)> handler) {
  quotas_->Request(account, [handler = std::move(handler)](const quota::QuotaVerdict& verdict) {
    using request_path::Refusal;
    const Refusal refusal = verdict.outcome == quota::QuotaOutcome::kAdmitted ? Refusal::kNone
                            : verdict.outcome == quota::QuotaOutcome::kExceeded
                                ? Refusal::kQuotaExceeded
                                : Refusal::kQuotaUnknown;
    handler({refusal, verdict.retry_after});
  });
}

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
    presence_->HandleControl(from, payload);
  };
  transport::TransportOptions peer_options = PeerOptions(settings);
  // Traffic within a zone is cheap; traffic between zones is worth the CPU time to compress it.
  peer_options.crosses_zones = [this](const std::string& node) {
    const auto& records = presence_->view().records();
    const auto record = records.find(node);
    return record == records.end() || record->second.zone != loop_.settings().zone;
  };
  peers_ = std::make_unique<transport::PeerTransport>(loop_.context(), std::move(peer_options),
                                                      std::move(hooks));
  peers_->Listen(settings.peers);

  http_stream::ServerLimits limits;
  limits.connections = settings.connections;
  limits.connections_per_address = settings.connections_per_address;
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
  call_limits.connections = kMaximumCallConnections;
  call_limits.connections_per_address = kMaximumCallConnections;
  call_limits.held_bytes = std::max(kMinimumCallBytes, held_bytes_ / kCallBytesShare);
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
  loop_.timers().SubscribeEvery(kCheckInterval, [this](base::TimePoint) {
    peers_->CheckHeartbeats();
    quotas_->Poll();
    CheckDrained();
  });
  presence_->Start();
  base::Log(base::LogLevel::kInfo, "node_started",
            {{"node", node_},
             {"name", settings.name},
             {"zone", settings.zone},
             {"service", settings.service}});
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
    const bool is_ready = entry_->version() > 0 && !draining_since_ && presence_->AreKeysFresh();
    status = is_ready ? kOk : kServiceUnavailable;
  } else if (const auto* heartbeat = std::get_if<HeartbeatCall>(&call)) {
    presence_->HandleHeartbeat(heartbeat->heartbeat, RespondToAnnouncement(exchange));
    return;
  } else if (const auto* leave = std::get_if<LeaveCall>(&call)) {
    presence_->HandleLeave(leave->incarnation, RespondToAnnouncement(exchange));
    return;
  } else if (const auto* refused = std::get_if<RefusedCall>(&call)) {
    status = refused->status;
    body = refused->reason;
    base::Log(base::LogLevel::kInfo, "call_refused",
              {{"target", message.target}, {"status", status}, {"reason", refused->reason}});
  }
  exchange.Respond(MakeResponse(status, std::move(body), dialect_.content_type));
}

AnnouncementCallback MeshNode::RespondToAnnouncement(const http_stream::Exchange& exchange) const {
  return [this, exchange](AnnouncementOutcome outcome) {
    switch (outcome) {
      case AnnouncementOutcome::kTaken:
        exchange.Respond(MakeResponse(kOk, dialect_.acknowledgement, dialect_.content_type));
        return;
      case AnnouncementOutcome::kOtherService:
        exchange.Respond(MakeResponse(kBadRequest, "", dialect_.content_type));
        return;
      case AnnouncementOutcome::kNotRecorded:
        exchange.Respond(MakeResponse(kServiceUnavailable, "the departure is not recorded",
                                      dialect_.content_type));
        return;
    }
  };
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

void MeshNode::HandleDeclaration(const declaration::Declaration& declaration) {
  entry_->SetDeclaration(declaration);
  quotas_->SetAccounts(AccountsOf(declaration));
  http_stream::ServerLimits limits;
  limits.connections = loop_.settings().connections;
  limits.connections_per_address = loop_.settings().connections_per_address;
  limits.held_bytes = held_bytes_;
  const declaration::CallerLimits& declared = declaration.limits;
  limits.message.header_bytes = declared.header_bytes.value_or(limits.message.header_bytes);
  // A body that this node cannot hold is refused as not run: another node may have more room.
  limits.message.body_bytes = declared.body_bytes.value_or(limits.message.body_bytes);
  limits.header_timeout = declared.header_timeout.value_or(limits.header_timeout);
  limits.idle_timeout = declared.idle_timeout.value_or(limits.idle_timeout);
  caller_server_->set_limits(limits);
}

void MeshNode::HandleRecords(const directory::NodeSet& changed) {
  const std::map<std::string, directory::InstanceRecord>& records = presence_->view().records();
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
  quotas_->set_nodes(records.size() + own);
}

void MeshNode::DescribeLoad(directory::InstanceRecord& record) const {
  record.remote_calls = entry_->RemoteCalls(gate_->counters().calls_started);
  record.slowdown_steps = gate_->slowdown_steps();
  if (entry_->has_seen_calls()) {
    record.calls = directory::CallUse::kSome;
  } else if (gate_->counters().started >= kRequestsToAssumeNoCalls) {
    record.calls = directory::CallUse::kNone;
  }
}

void MeshNode::HandleSettings(const MeshSettings& settings) { presence_->HandleSettings(settings); }

void MeshNode::BeginDrain() {
  if (draining_since_) {
    return;
  }
  draining_since_ = clock_();
  base::Log(base::LogLevel::kInfo, "node_draining",
            {{"exchanges", static_cast<Json::UInt64>(caller_server_->exchanges_in_progress())},
             {"running", static_cast<Json::UInt64>(gate_->running())}});
  caller_server_->BeginDrain();
  presence_->BeginDrain();
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
  text.Add("borageloft_request_bytes_held", "Size of the callers' requests held",
           caller_server_->held_bytes());
  text.Add("borageloft_response_bytes_unread", "Size of the responses that callers have not read",
           caller_server_->unread_bytes());
  text.Add("borageloft_closed_slow_readers_total",
           "Connections closed because their responses were not read",
           caller_server_->counters().closed_slow_readers);
  text.Add("borageloft_closed_stalled_bodies_total",
           "Connections closed because their caller stopped in the middle of a body",
           caller_server_->counters().closed_stalled_bodies);
  text.Add("borageloft_closed_stalled_senders_total",
           "Connections closed because their incomplete requests kept others out",
           caller_server_->counters().closed_stalled_senders);
  text.Add("borageloft_caller_connections_refused_total",
           "Connections refused because there were too many",
           caller_server_->counters().connections_refused);
  text.Add("borageloft_refused_for_bytes_total", "Requests refused because of the bytes held",
           caller_server_->counters().refused_for_bytes);
  text.Add("borageloft_caller_connections", "Open connections of callers",
           caller_server_->connection_count());
  text.Add("borageloft_declaration_version", "Declaration in force", entry_->version());
  text.Add("borageloft_instances_known", "Instances in the directory",
           presence_->view().records().size());
  text.Add("borageloft_startup_waits", "Things that the node lacks to answer requests",
           FindWaits(presence_->startup_state()).size());
  text.Add("borageloft_control_hosts", "Control hosts that answered lately",
           presence_->reachable_control_hosts());
  const quota::QuotaClientCounters& quotas = quotas_->counters();
  text.Add("borageloft_quota_admitted_total", "Requests that the quota of an account admitted",
           quotas.admitted);
  text.Add("borageloft_quota_exceeded_total", "Requests beyond the quota of an account",
           quotas.exceeded);
  text.Add("borageloft_quota_unknown_total", "Requests refused because no owner answered",
           quotas.unknown);
  text.Add("borageloft_quota_own_share_total", "Requests admitted from the node's own share",
           quotas.own_share);
  text.Add("borageloft_quota_waiting", "Requests that wait for the owner of the quotas",
           quotas_->waiting());
  text.Add("borageloft_log_lines_dropped_total", "Log lines beyond the bound", log_.dropped());
  exchange.Respond(MakeResponse(kOk, text.Serialize(), "text/plain; version=0.0.4"));
}

}  // namespace borageloft::mesh
