#include "libraries/mesh/control_service.h"

#include <algorithm>
#include <utility>

#include "libraries/mesh/peer_address.h"

namespace borageloft::mesh {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kTemporaryRedirect = 307;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kPreconditionFailed = 412;
constexpr unsigned kContentTooLarge = 413;
constexpr unsigned kServiceUnavailable = 503;

// Each node renews its record at two control hosts within 1.5 s; the lifetime of three such
// periods tolerates lost renewals.
constexpr std::chrono::milliseconds kRecordLifetime{4500};
constexpr std::chrono::milliseconds kCheckInterval{100};
// Time between two requests for the records of another control host. They only repair losses:
// changes are sent at once.
constexpr std::chrono::milliseconds kExchangeInterval{1000};
// Bounds the size of a log line; more changes than this come from a review of the whole text.
constexpr std::size_t kMaximumLoggedChanges = 12;
// A leader whose lead was confirmed longer ago grants nothing: another one may own the quotas.
constexpr std::chrono::milliseconds kMaximumOwnerAge{1000};
// Ages beyond this make no difference to any node.
constexpr std::int64_t kMaximumAgeMs = 24 * 3600 * 1000;
// Bounds the memory that the departures of a large fleet take.
constexpr std::size_t kMaximumIdBytes = 256;

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

control_member::MemberOptions MemberOptionsOf(const MeshSettings& settings) {
  control_member::MemberOptions options;
  options.address = NodeNameOf(settings);
  options.seeds = SeedNodes(settings);
  options.is_first_start = settings.is_first_start;
  options.tolerated_losses = settings.tolerated_losses;
  return options;
}

control_member::MemberHooks MemberHooksOf(const ControlServiceHooks& hooks) {
  control_member::MemberHooks member_hooks;
  member_hooks.clock = hooks.clock;
  member_hooks.random = hooks.random;
  member_hooks.send = [send = hooks.send](const std::string& address, std::string bytes) {
    send(address, wire::Channel::kReplication, std::move(bytes));
  };
  member_hooks.on_declaration = [] {};
  return member_hooks;
}

}  // namespace

ControlService::ControlService(const MeshSettings& settings, Dialect dialect,
                               ControlServiceHooks hooks, const storage::DataFolder& folder,
                               timer::TimerService& timers)
    : node_(NodeNameOf(settings)),
      zone_(settings.zone),
      call_port_(settings.calls.port),
      dialect_(std::move(dialect)),
      hooks_(std::move(hooks)),
      timers_(timers),
      directory_(hooks_.random() | 1U, kRecordLifetime, hooks_.clock()),
      freshness_(MakeFreshnessHooks()),
      quotas_(settings.quotas),
      member_(MemberOptionsOf(settings), MemberHooksOf(hooks_), folder, timers) {}

ControlService::~ControlService() {
  for (const timer::SubscriptionId subscription : subscriptions_) {
    timers_.Unsubscribe(subscription);
  }
}

void ControlService::Start() {
  member_.Start();
  subscriptions_.push_back(
      timers_.SubscribeEvery(kCheckInterval, [this](base::TimePoint now) { PublishChanges(now); }));
  subscriptions_.push_back(
      timers_.SubscribeEvery(kExchangeInterval, [this](base::TimePoint) { ExchangeRecords(); }));
  subscriptions_.push_back(timers_.SubscribeEvery(FreshnessKeeper::kPollInterval,
                                                  [this](base::TimePoint) { freshness_.Poll(); }));
}

bool ControlService::IsLeader() const {
  return member_.status().replica_host.soft_state.role == consensus::Role::kLeader;
}

FreshnessHooks ControlService::MakeFreshnessHooks() {
  FreshnessHooks hooks;
  hooks.clock = hooks_.suspension_aware_clock;
  hooks.send = [this](const std::string& host, const directory::Message& message) {
    hooks_.send(host, wire::Channel::kMembership, directory::Encode(message));
  };
  hooks.send_to_leader = [this](const directory::Message& message) {
    const std::string leader = member_.status().leader;
    if (!leader.empty() && leader != node_) {
      hooks_.send(leader, wire::Channel::kMembership, directory::Encode(message));
    }
  };
  hooks.read_newest = [this](std::function<void(std::optional<declaration::Version>)> done) {
    member_.ReadNewest([done = std::move(done)](const declaration::DeclarationRegister* newest) {
      done(newest == nullptr ? std::nullopt : std::optional(newest->version()));
    });
  };
  hooks.is_leader = [this] { return IsLeader(); };
  hooks.applied_version = [this] { return member_.applied().version(); };
  return hooks;
}

void ControlService::PublishChanges(base::TimePoint now) {
  BeginQuotaTerm();
  directory_.Expire(now);
  if (directory_.has_changes()) {
    SendToControlHosts(directory_.TakeChanges());
  }
}

void ControlService::ExchangeRecords() {
  for (const std::string& host : OtherControlHosts()) {
    hooks_.send(host, wire::Channel::kMembership,
                directory::Encode(directory_.ExchangeRequest(host)));
  }
}

void ControlService::HandleSettings(const MeshSettings& settings) {
  member_.set_seeds(SeedNodes(settings));
}

void ControlService::Shutdown(std::function<void()> done) { member_.Shutdown(std::move(done)); }

void ControlService::HandleControl(const std::string& from, wire::Channel channel,
                                   const std::string& payload) {
  if (channel == wire::Channel::kReplication) {
    member_.Receive(from, payload);
    return;
  }
  try {
    const directory::Message message = directory::Decode(payload);
    if (const auto* request = std::get_if<directory::SyncRequest>(&message)) {
      HandleSync(from, *request);
    } else if (const auto* departure = std::get_if<directory::DepartureRequest>(&message)) {
      HandleDeparture(*departure);
    } else if (const auto* quota_request = std::get_if<directory::QuotaRequest>(&message)) {
      HandleQuotaRequest(from, *quota_request);
    } else if (const auto* question = std::get_if<directory::FreshnessRequest>(&message)) {
      freshness_.HandleRequest(from, *question);
    } else if (const auto* freshness = std::get_if<directory::FreshnessAnswer>(&message)) {
      freshness_.HandleAnswer(*freshness);
    } else if (const auto* records = std::get_if<directory::SyncAnswer>(&message)) {
      if (!OtherControlHosts().contains(from)) {
        throw directory::DirectoryError("records from a node that is no control host");
      }
      directory_.Receive(from, *records, hooks_.clock());
    } else {
      throw directory::DirectoryError("a message that is for nodes");
    }
  } catch (const directory::DirectoryError& error) {
    base::Log(base::LogLevel::kWarning, "directory_message_refused",
              {{"from", from}, {"error", error.what()}});
  }
}

void ControlService::HandleSync(const std::string& from, const directory::SyncRequest& request) {
  const bool is_exchange = request.kind == directory::SyncKind::kExchange;
  if (!is_exchange && request.record.node == from) {
    directory_.Renew(request.record, hooks_.clock());
  }
  directory::SyncAnswer answer;
  directory_.FillAnswer(request, answer);
  if (is_exchange) {
    hooks_.send(from, wire::Channel::kMembership, directory::Encode(answer));
    return;
  }
  answer.zone = zone_;
  answer.is_current = member_.IsCurrent();
  const declaration::DeclarationRegister& applied = member_.applied();
  answer.version = applied.version();
  if (applied.version() > request.known_version) {
    answer.declaration = applied.text();
  }
  answer.control_hosts = member_.ControlHosts();
  if (request.sent_at > 0) {
    freshness_.RecordInterest();
    answer.request_sent_at = request.sent_at;
    answer.age_ms = AgeInMilliseconds();
  }
  hooks_.send(from, wire::Channel::kMembership, directory::Encode(answer));
}

// Quotas are owned by the leader. A former leader that has not noticed is told by the age of its
// knowledge, which a majority must have confirmed lately.
void ControlService::HandleQuotaRequest(const std::string& from,
                                        const directory::QuotaRequest& request) {
  if (request.node.size() > kMaximumIdBytes || (!request.is_forwarded && request.node != from)) {
    throw directory::DirectoryError("a quota request of another node");
  }
  const control_member::MemberStatus status = member_.status();
  if (!IsLeader()) {
    if (!request.is_forwarded && !status.leader.empty()) {
      directory::QuotaRequest forwarded = request;
      forwarded.is_forwarded = true;
      hooks_.send(status.leader, wire::Channel::kMembership, directory::Encode(forwarded));
    }
    return;
  }
  freshness_.RecordInterest();
  const std::optional<base::Duration> age = freshness_.Age();
  if (!age || *age > kMaximumOwnerAge) {
    return;
  }
  BeginQuotaTerm();
  const base::TimePoint now = hooks_.suspension_aware_clock();
  UpdateQuotas(now);
  hooks_.send(request.node, wire::Channel::kMembership,
              directory::Encode(quotas_.Handle(request, now)));
}

// The term begins when this host is elected, not with the first request: the longer it lasts, the
// less of the quotas can have been spent without its knowledge.
void ControlService::BeginQuotaTerm() {
  const consensus::Term term = member_.status().replica_host.soft_state.term;
  if (!IsLeader() || term == quota_term_) {
    return;
  }
  quota_term_ = term;
  quotas_.BeginTerm(hooks_.suspension_aware_clock());
}

void ControlService::UpdateQuotas(base::TimePoint now) {
  const declaration::DeclarationRegister& applied = member_.applied();
  if (quota_version_ == applied.version()) {
    return;
  }
  quota_version_ = applied.version();
  try {
    quotas_.SetAccounts(AccountsOf(dialect_.decode_declaration(applied.text())), now);
  } catch (const declaration::DeclarationError& error) {
    base::Log(base::LogLevel::kError, "declaration_unreadable",
              {{"version", static_cast<Json::UInt64>(quota_version_)}, {"error", error.what()}});
  }
}

std::optional<std::uint32_t> ControlService::AgeInMilliseconds() {
  const std::optional<base::Duration> age = freshness_.Age();
  if (!age) {
    return std::nullopt;
  }
  const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(*age).count();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(milliseconds, 0, kMaximumAgeMs));
}

void ControlService::HandleDeparture(const directory::DepartureRequest& request) {
  if (request.node.size() > kMaximumIdBytes || request.departed.instance.size() > kMaximumIdBytes) {
    throw directory::DirectoryError("the name of a node or an instance is too long");
  }
  const control_member::MemberStatus status = member_.status();
  if (!IsLeader()) {
    if (!request.is_forwarded && !status.leader.empty()) {
      directory::DepartureRequest forwarded = request;
      forwarded.is_forwarded = true;
      hooks_.send(status.leader, wire::Channel::kMembership, directory::Encode(forwarded));
    }
    return;
  }
  const directory::Departure departure{request.node, request.departed};
  if (request.departed.instance.empty() || member_.departures().Contains(departure)) {
    SendDepartures(request.node, request.epoch);
    return;
  }
  if (std::find(proposed_departures_.begin(), proposed_departures_.end(), departure) !=
      proposed_departures_.end()) {
    return;
  }
  proposed_departures_.push_back(departure);
  member_.RecordDeparture(departure, [this, departure, epoch = request.epoch](bool is_recorded) {
    std::erase(proposed_departures_, departure);
    if (is_recorded) {
      SendDepartures(departure.node, epoch);
    }
  });
}

void ControlService::SendDepartures(const std::string& node, std::uint64_t epoch) {
  member_.ReadDepartures([this, node, epoch](const directory::DepartureRegister* newest) {
    if (newest != nullptr) {
      hooks_.send(node, wire::Channel::kMembership,
                  directory::Encode(directory::DepartureAnswer{epoch, newest->DeparturesAt(node)}));
    }
  });
}

std::set<std::string> ControlService::OtherControlHosts() const {
  const std::vector<std::string> hosts = member_.ControlHosts();
  std::set<std::string> others(hosts.begin(), hosts.end());
  others.erase(node_);
  return others;
}

void ControlService::SendToControlHosts(const directory::Message& message) {
  const std::string bytes = directory::Encode(message);
  for (const std::string& host : OtherControlHosts()) {
    hooks_.send(host, wire::Channel::kMembership, bytes);
  }
}

void ControlService::HandleCall(const http_stream::RequestMessage& message,
                                const CallResponder& respond) {
  const NodeCall call = dialect_.decode_call(message);
  if (const auto* replace = std::get_if<ReplaceCall>(&call)) {
    HandleReplace(*replace, message.target, respond);
  } else if (std::holds_alternative<ReadCall>(call)) {
    HandleRead(message.target, respond);
  } else if (std::holds_alternative<ReadinessCall>(call)) {
    respond(MakeResponse(member_.IsCurrent() ? kOk : kServiceUnavailable, ""));
  } else if (const auto* refused = std::get_if<RefusedCall>(&call)) {
    base::Log(
        base::LogLevel::kInfo, "call_refused",
        {{"target", message.target}, {"status", refused->status}, {"reason", refused->reason}});
    respond(MakeResponse(refused->status, refused->reason));
  } else {
    respond(MakeResponse(kNotFound, "this host has no upstream"));
  }
}

void ControlService::HandleReplace(const ReplaceCall& call, const std::string& target,
                                   const CallResponder& respond) {
  if (!IsLeader()) {
    Redirect(target, respond);
    return;
  }
  const std::optional<std::string> fault = declaration::FindFault(call.declaration);
  if (fault) {
    base::Log(base::LogLevel::kInfo, "declaration_refused",
              {{"version", static_cast<Json::UInt64>(call.command.version)}, {"reason", *fault}});
    respond(MakeResponse(kBadRequest, *fault));
    return;
  }
  member_.Replace(
      call.command, [this, respond, target, command = call.command,
                     changes = ChangesOf(call.declaration)](control_member::ReplaceStatus status) {
        base::Log(base::LogLevel::kInfo, "declaration_order",
                  {{"base", static_cast<Json::UInt64>(command.base)},
                   {"version", static_cast<Json::UInt64>(command.version)},
                   {"status", static_cast<int>(status)}});
        switch (status) {
          case control_member::ReplaceStatus::kAccepted:
            LogChanges(command.version, changes);
            respond(MakeResponse(kOk, dialect_.acknowledgement));
            return;
          case control_member::ReplaceStatus::kWrongBase:
            respond(MakeResponse(kPreconditionFailed, "another version is in force"));
            return;
          case control_member::ReplaceStatus::kNotAbove:
            respond(MakeResponse(kBadRequest, "the version is not above the one in force"));
            return;
          case control_member::ReplaceStatus::kTooLarge:
            respond(MakeResponse(kContentTooLarge, "the declaration is too large even compressed"));
            return;
          case control_member::ReplaceStatus::kNotLeader:
            Redirect(target, respond);
            return;
          case control_member::ReplaceStatus::kUnavailable:
            respond(MakeResponse(kServiceUnavailable, "the group cannot accept now"));
            return;
        }
      });
}

declaration::DeclarationChanges ControlService::ChangesOf(
    const declaration::Declaration& next) const {
  declaration::Declaration before;
  try {
    if (member_.applied().version() > 0) {
      before = dialect_.decode_declaration(member_.applied().text());
    }
  } catch (const declaration::DeclarationError& error) {
    base::Log(base::LogLevel::kWarning, "declaration_unreadable",
              {{"version", static_cast<Json::UInt64>(member_.applied().version())},
               {"error", error.what()}});
  }
  return declaration::FindChanges(before, next, kMaximumLoggedChanges);
}

void ControlService::HandleRead(const std::string& target, const CallResponder& respond) {
  if (!IsLeader()) {
    Redirect(target, respond);
    return;
  }
  member_.ReadNewest([this, respond](const declaration::DeclarationRegister* newest) {
    if (newest == nullptr || newest->version() == 0) {
      respond(MakeResponse(kServiceUnavailable, "the newest declaration is not known"));
      return;
    }
    respond(MakeResponse(kOk, newest->text()));
  });
}

void ControlService::Redirect(const std::string& target, const CallResponder& respond) const {
  const std::string leader = member_.status().leader;
  const auto endpoint = settings::ParseEndpoint(leader);
  if (!endpoint || leader == node_) {
    respond(MakeResponse(kServiceUnavailable, "no leader is known"));
    return;
  }
  http_stream::ResponseMessage response;
  response.status = kTemporaryRedirect;
  const settings::Endpoint calls{endpoint->address, call_port_};
  response.fields.push_back({"Location", "http://" + settings::FormatEndpoint(calls) + target});
  respond(std::move(response));
}

http_stream::ResponseMessage ControlService::MakeResponse(unsigned status, std::string body) const {
  http_stream::ResponseMessage response;
  response.status = status;
  response.body = std::move(body);
  response.fields.push_back({"Content-Type", dialect_.content_type});
  return response;
}

}  // namespace borageloft::mesh
