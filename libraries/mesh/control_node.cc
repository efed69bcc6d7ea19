#include "libraries/mesh/control_node.h"

#include <algorithm>
#include <random>
#include <utility>

#include "libraries/mesh/metrics_text.h"
#include "libraries/mesh/peer_address.h"

namespace borageloft::mesh {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kTemporaryRedirect = 307;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kPreconditionFailed = 412;
constexpr unsigned kServiceUnavailable = 503;

// Each node renews its record at two control hosts within 1.5 s; the lifetime of three such
// periods tolerates lost renewals.
constexpr std::chrono::milliseconds kRecordLifetime{4500};
constexpr std::chrono::milliseconds kCheckInterval{100};
// Time between two requests for the records of another control host. They only repair losses:
// changes are sent at once.
constexpr std::chrono::milliseconds kExchangeInterval{1000};
constexpr std::chrono::milliseconds kMaximumStopTime{1500};
// Bounds the size of a log line; more changes than this come from a review of the whole text.
constexpr std::size_t kMaximumLoggedChanges = 12;
// Bounds the memory that the departures of a large fleet take.
constexpr std::size_t kMaximumIdBytes = 256;
constexpr std::size_t kMaximumDeclarationBytes = std::size_t{4} << 20U;

std::uint64_t RandomEpoch() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | (device() & 0xfffffff0U);
}

void LogChanges(declaration::Version version, const declaration::DeclarationChanges& changes) {
  Json::Value entries(Json::arrayValue);
  for (const std::string& entry : changes.entries) {
    entries.append(entry);
  }
  base::Log(base::LogLevel::kInfo, "declaration_changed",
            {{"version", static_cast<Json::UInt64>(version)},
             {"changes", static_cast<Json::UInt64>(changes.count)},
             {"entries", entries}});
}

}  // namespace

ControlNode::ControlNode(NodeLoop& loop, Dialect dialect)
    : loop_(loop),
      dialect_(std::move(dialect)),
      node_(NodeNameOf(loop.settings())),
      file_system_(storage::PosixFileSystem()),
      data_folder_(file_system_, loop.settings().data_folder),
      directory_(RandomEpoch(), kRecordLifetime, clock_()) {
  const MeshSettings& settings = loop_.settings();
  transport::TransportHooks hooks;
  hooks.handle_request = [](const std::string&, transport::InboundRequestId, const wire::Request&,
                            const transport::Responder& respond) {
    wire::Response response;
    response.outcome = wire::Outcome::kNotRun;
    response.reason = std::string(request_path::TextOf(request_path::Refusal::kInstanceGone));
    respond(std::move(response));
  };
  hooks.handle_cancel = [](transport::InboundRequestId) {};
  hooks.handle_control = [this](const std::string& from, wire::Channel channel,
                                const std::string& payload) {
    HandleControl(from, channel, payload);
  };
  transport::TransportOptions peer_options = PeerOptions(settings);
  peer_options.crosses_zones = [](const std::string&) { return true; };
  peers_ = std::make_unique<transport::PeerTransport>(loop_.context(), std::move(peer_options),
                                                      std::move(hooks));
  control_member::MemberOptions options;
  options.address = node_;
  options.seeds = SeedNodes(settings);
  options.is_first_start = settings.is_first_start;
  options.tolerated_losses = settings.tolerated_losses;
  control_member::MemberHooks member_hooks;
  member_hooks.clock = clock_;
  member_hooks.random = base::SeededRandom(RandomEpoch());
  member_hooks.send = [this](const std::string& address, std::string bytes) {
    peers_->SendControl(PeerAddressOf(address), wire::Channel::kReplication, std::move(bytes));
  };
  member_hooks.on_declaration = [] {};
  member_ = std::make_unique<control_member::Member>(std::move(options), std::move(member_hooks),
                                                     data_folder_, loop_.timers());
  peers_->Listen(settings.peers);
  http_stream::ServerLimits limits;
  limits.message.body_bytes = kMaximumDeclarationBytes;
  call_server_ = std::make_unique<http_stream::Server>(
      loop_.context(), limits,
      [this](const http_stream::RequestMessage& message, base::TimePoint,
             const http_stream::Exchange& exchange) { HandleCall(message, exchange); });
  call_server_->Listen(settings.calls);
  if (settings.metrics) {
    metrics_server_ = std::make_unique<http_stream::Server>(
        loop_.context(), limits,
        [this](const http_stream::RequestMessage&, base::TimePoint,
               const http_stream::Exchange& exchange) { RespondMetrics(exchange); });
    metrics_server_->Listen(*settings.metrics);
  }
  member_->Start();
  loop_.timers().SubscribeEvery(kCheckInterval, [this](base::TimePoint now) {
    peers_->CheckHeartbeats();
    directory_.Expire(now);
    if (directory_.has_changes()) {
      SendToControlHosts(directory_.TakeChanges());
    }
    CheckStopped();
  });
  loop_.timers().SubscribeEvery(kExchangeInterval, [this](base::TimePoint) {
    for (const std::string& host : OtherControlHosts()) {
      peers_->SendControl(PeerAddressOf(host), wire::Channel::kMembership,
                          directory::Encode(directory_.ExchangeRequest(host)));
    }
  });
  base::Log(base::LogLevel::kInfo, "control_started",
            {{"node", node_}, {"name", settings.name}, {"zone", settings.zone}});
}

ControlNode::~ControlNode() = default;

void ControlNode::HandleControl(const std::string& from, wire::Channel channel,
                                const std::string& payload) {
  if (channel == wire::Channel::kReplication) {
    member_->Receive(from, payload);
    return;
  }
  try {
    const directory::Message message = directory::Decode(payload);
    if (const auto* request = std::get_if<directory::SyncRequest>(&message)) {
      HandleSync(from, *request);
    } else if (const auto* departure = std::get_if<directory::DepartureRequest>(&message)) {
      HandleDeparture(*departure);
    } else if (std::holds_alternative<directory::DepartureAnswer>(message)) {
      throw directory::DirectoryError("departures are for nodes");
    } else if (OtherControlHosts().contains(from)) {
      directory_.Receive(from, std::get<directory::SyncAnswer>(message), clock_());
    } else {
      throw directory::DirectoryError("records from a node that is no control host");
    }
  } catch (const directory::DirectoryError& error) {
    base::Log(base::LogLevel::kWarning, "directory_message_refused",
              {{"from", from}, {"error", error.what()}});
  }
}

void ControlNode::HandleSync(const std::string& from, const directory::SyncRequest& request) {
  const bool is_exchange = request.kind == directory::SyncKind::kExchange;
  if (!is_exchange && request.record.node == from) {
    directory_.Renew(request.record, clock_());
  }
  directory::SyncAnswer answer;
  directory_.FillAnswer(request, answer);
  if (is_exchange) {
    peers_->SendControl(PeerAddressOf(from), wire::Channel::kMembership, directory::Encode(answer));
    return;
  }
  answer.zone = loop_.settings().zone;
  answer.is_current = member_->IsCurrent();
  const declaration::DeclarationRegister& applied = member_->applied();
  answer.version = applied.version();
  if (applied.version() > request.known_version) {
    answer.declaration = applied.text();
  }
  answer.control_hosts = member_->ControlHosts();
  peers_->SendControl(PeerAddressOf(from), wire::Channel::kMembership, directory::Encode(answer));
}

void ControlNode::HandleDeparture(const directory::DepartureRequest& request) {
  if (request.node.size() > kMaximumIdBytes || request.departed.instance.size() > kMaximumIdBytes) {
    throw directory::DirectoryError("the name of a node or an instance is too long");
  }
  const control_member::MemberStatus status = member_->status();
  if (status.replica_host.soft_state.role != consensus::Role::kLeader) {
    if (!request.is_forwarded && !status.leader.empty()) {
      directory::DepartureRequest forwarded = request;
      forwarded.is_forwarded = true;
      peers_->SendControl(PeerAddressOf(status.leader), wire::Channel::kMembership,
                          directory::Encode(forwarded));
    }
    return;
  }
  const directory::Departure departure{request.node, request.departed};
  if (request.departed.instance.empty() || member_->departures().Contains(departure)) {
    SendDepartures(request.node, request.epoch);
    return;
  }
  if (std::find(proposed_departures_.begin(), proposed_departures_.end(), departure) !=
      proposed_departures_.end()) {
    return;
  }
  proposed_departures_.push_back(departure);
  member_->RecordDeparture(departure, [this, departure, epoch = request.epoch](bool is_recorded) {
    std::erase(proposed_departures_, departure);
    if (is_recorded) {
      SendDepartures(departure.node, epoch);
    }
  });
}

void ControlNode::SendDepartures(const std::string& node, std::uint64_t epoch) {
  member_->ReadDepartures([this, node, epoch](const directory::DepartureRegister* newest) {
    if (newest != nullptr) {
      peers_->SendControl(
          PeerAddressOf(node), wire::Channel::kMembership,
          directory::Encode(directory::DepartureAnswer{epoch, newest->DeparturesAt(node)}));
    }
  });
}

std::set<std::string> ControlNode::OtherControlHosts() const {
  const std::vector<std::string> hosts = member_->ControlHosts();
  std::set<std::string> others(hosts.begin(), hosts.end());
  others.erase(node_);
  return others;
}

void ControlNode::SendToControlHosts(const directory::SyncAnswer& changes) {
  const std::string bytes = directory::Encode(changes);
  for (const std::string& host : OtherControlHosts()) {
    peers_->SendControl(PeerAddressOf(host), wire::Channel::kMembership, bytes);
  }
}

void ControlNode::HandleCall(const http_stream::RequestMessage& message,
                             const http_stream::Exchange& exchange) {
  const NodeCall call = dialect_.decode_call(message);
  if (const auto* replace = std::get_if<ReplaceCall>(&call)) {
    HandleReplace(*replace, message.target, exchange);
  } else if (std::holds_alternative<ReadCall>(call)) {
    HandleRead(message.target, exchange);
  } else if (std::holds_alternative<ReadinessCall>(call)) {
    Respond(exchange, member_->IsCurrent() ? kOk : kServiceUnavailable, "");
  } else if (const auto* refused = std::get_if<RefusedCall>(&call)) {
    base::Log(
        base::LogLevel::kInfo, "call_refused",
        {{"target", message.target}, {"status", refused->status}, {"reason", refused->reason}});
    Respond(exchange, refused->status, refused->reason);
  } else {
    Respond(exchange, kNotFound, "this host has no upstream");
  }
}

void ControlNode::HandleReplace(const ReplaceCall& call, const std::string& target,
                                const http_stream::Exchange& exchange) {
  if (member_->status().replica_host.soft_state.role != consensus::Role::kLeader) {
    Redirect(target, exchange);
    return;
  }
  const std::optional<std::string> fault = declaration::FindFault(call.declaration);
  if (fault) {
    base::Log(base::LogLevel::kInfo, "declaration_refused",
              {{"version", static_cast<Json::UInt64>(call.command.version)}, {"reason", *fault}});
    Respond(exchange, kBadRequest, *fault);
    return;
  }
  member_->Replace(
      call.command, [this, exchange, target, command = call.command,
                     changes = ChangesOf(call.declaration)](control_member::ReplaceStatus status) {
        base::Log(base::LogLevel::kInfo, "declaration_order",
                  {{"base", static_cast<Json::UInt64>(command.base)},
                   {"version", static_cast<Json::UInt64>(command.version)},
                   {"status", static_cast<int>(status)}});
        switch (status) {
          case control_member::ReplaceStatus::kAccepted:
            LogChanges(command.version, changes);
            Respond(exchange, kOk, dialect_.acknowledgement);
            return;
          case control_member::ReplaceStatus::kWrongBase:
            Respond(exchange, kPreconditionFailed, "another version is in force");
            return;
          case control_member::ReplaceStatus::kNotAbove:
            Respond(exchange, kBadRequest, "the version is not above the one in force");
            return;
          case control_member::ReplaceStatus::kNotLeader:
            Redirect(target, exchange);
            return;
          case control_member::ReplaceStatus::kUnavailable:
            Respond(exchange, kServiceUnavailable, "the group cannot accept now");
            return;
        }
      });
}

declaration::DeclarationChanges ControlNode::ChangesOf(const declaration::Declaration& next) const {
  declaration::Declaration before;
  try {
    if (member_->applied().version() > 0) {
      before = dialect_.decode_declaration(member_->applied().text());
    }
  } catch (const declaration::DeclarationError& error) {
    base::Log(base::LogLevel::kWarning, "declaration_unreadable",
              {{"version", static_cast<Json::UInt64>(member_->applied().version())},
               {"error", error.what()}});
  }
  return declaration::FindChanges(before, next, kMaximumLoggedChanges);
}

void ControlNode::HandleRead(const std::string& target, const http_stream::Exchange& exchange) {
  if (member_->status().replica_host.soft_state.role != consensus::Role::kLeader) {
    Redirect(target, exchange);
    return;
  }
  member_->ReadNewest([this, exchange](const declaration::DeclarationRegister* newest) {
    if (newest == nullptr || newest->version() == 0) {
      Respond(exchange, kServiceUnavailable, "the newest declaration is not known");
      return;
    }
    Respond(exchange, kOk, newest->text());
  });
}

void ControlNode::Redirect(const std::string& target, const http_stream::Exchange& exchange) {
  const std::string leader = member_->status().leader;
  const auto endpoint = settings::ParseEndpoint(leader);
  if (!endpoint || leader == node_) {
    Respond(exchange, kServiceUnavailable, "no leader is known");
    return;
  }
  http_stream::ResponseMessage response;
  response.status = kTemporaryRedirect;
  // All control hosts serve calls on the same port.
  const settings::Endpoint calls{endpoint->address, loop_.settings().calls.port};
  response.fields.push_back({"Location", "http://" + settings::FormatEndpoint(calls) + target});
  exchange.Respond(std::move(response));
}

void ControlNode::Respond(const http_stream::Exchange& exchange, unsigned status,
                          std::string body) {
  http_stream::ResponseMessage response;
  response.status = status;
  response.body = std::move(body);
  response.fields.push_back({"Content-Type", dialect_.content_type});
  exchange.Respond(std::move(response));
}

void ControlNode::HandleSettings(const MeshSettings& settings) {
  member_->set_seeds(SeedNodes(settings));
}

void ControlNode::BeginDrain() {
  if (is_draining_) {
    return;
  }
  is_draining_ = true;
  draining_since_ = clock_();
  base::Log(base::LogLevel::kInfo, "control_draining");
  call_server_->BeginDrain();
  member_->Shutdown([this] { is_stopped_ = true; });
}

void ControlNode::CheckStopped() {
  if (!is_draining_) {
    return;
  }
  const base::Duration since = clock_() - draining_since_;
  if ((is_stopped_ && call_server_->exchanges_in_progress() == 0) || since >= kMaximumStopTime) {
    base::Log(base::LogLevel::kInfo, "control_stopped");
    loop_.Stop();
  }
}

void ControlNode::RespondMetrics(const http_stream::Exchange& exchange) {
  const control_member::MemberStatus status = member_->status();
  MetricsText text;
  text.AddTraffic(peers_->counters().traffic);
  text.Add("borageloft_control_term", "Term of the replica",
           static_cast<std::uint64_t>(status.replica_host.soft_state.term));
  text.Add("borageloft_control_is_leader", "Whether this host leads",
           status.replica_host.soft_state.role == consensus::Role::kLeader ? 1 : 0);
  text.Add("borageloft_control_voters", "Voters of the group",
           status.replica_host.membership.voter_count());
  text.Add("borageloft_control_commit", "Committed index", status.replica_host.commit);
  text.Add("borageloft_control_log_bytes", "Size of the log in memory",
           status.replica_host.log_bytes);
  text.Add("borageloft_control_applied", "Applied index", status.replica_host.applied);
  text.Add("borageloft_control_storage_failures_total", "Failures of the storage",
           status.replica_host.storage_failures);
  text.Add("borageloft_declaration_version", "Declaration applied", member_->applied().version());
  text.Add("borageloft_instances_known", "Instances in the directory", directory_.size());
  http_stream::ResponseMessage response;
  response.status = kOk;
  response.body = text.Serialize();
  response.fields.push_back({"Content-Type", "text/plain; version=0.0.4"});
  exchange.Respond(std::move(response));
}

}  // namespace borageloft::mesh
