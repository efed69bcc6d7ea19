#include "libraries/mesh/node_presence.h"

#include <utility>

#include "libraries/mesh/peer_address.h"

namespace borageloft::mesh {

namespace {

// Heartbeat intervals without a heartbeat after which an instance is considered gone.
constexpr int kMissedHeartbeats = 3;
constexpr std::chrono::milliseconds kCheckInterval{100};
// Time after the start of a drain at which the record of the local upstream changes to leaving. The
// rest of the minimum drain time suffices to propagate the change and to finish the work begun.
constexpr std::chrono::milliseconds kWithdrawalDelay{1300};
// Time without an answer after which the owner of the quotas is looked for again.
constexpr std::chrono::milliseconds kQuotaOwnerTimeout{200};
// Share of the revocation time for which keys are accepted without contact to the control hosts.
// The rest is a margin for requests that are under way.
constexpr double kMaximumAgeShare = 0.6;

DirectorySyncHooks SyncHooksOf(
    const NodePresenceHooks& hooks,
    std::function<void(std::uint64_t version, const std::string& text)> on_declaration) {
  DirectorySyncHooks sync_hooks;
  sync_hooks.clock = hooks.clock;
  sync_hooks.suspension_aware_clock = hooks.suspension_aware_clock;
  sync_hooks.send = hooks.send;
  sync_hooks.on_records = hooks.on_records;
  sync_hooks.on_declaration = std::move(on_declaration);
  return sync_hooks;
}

}  // namespace

NodePresence::NodePresence(const MeshSettings& settings, std::uint64_t epoch, Dialect dialect,
                           NodePresenceHooks hooks, timer::TimerService& timers)
    : node_(NodeNameOf(settings)),
      zone_(settings.zone),
      service_(settings.service),
      epoch_(epoch),
      revocation_time_(settings.revocation_time),
      dialect_(std::move(dialect)),
      hooks_(std::move(hooks)),
      timers_(timers),
      instance_(settings.service, kMissedHeartbeats * settings.heartbeat_interval),
      probe_(instance_, dialect_.headers, {hooks_.send_probe, [this] { PublishRecord(); }},
             hooks_.clock()),
      sync_(settings.zone, SeedNodes(settings),
            SyncHooksOf(hooks_,
                        [this](std::uint64_t version, const std::string& text) {
                          HandleDeclaration(version, text);
                        })),
      departures_(node_, epoch_, instance_,
                  {hooks_.clock,
                   [this](const std::string& bytes) {
                     for (const std::string& host : sync_.HostsToReach()) {
                       hooks_.send(host, bytes);
                     }
                   }}),
      startup_report_(hooks_.clock()) {
  // The first declaration may require keys.
  sync_.set_needs_age(revocation_time_.has_value());
}

NodePresence::~NodePresence() {
  if (poll_subscription_) {
    timers_.Unsubscribe(*poll_subscription_);
  }
  for (const timer::SubscriptionId subscription : subscriptions_) {
    timers_.Unsubscribe(subscription);
  }
}

void NodePresence::Start() {
  PollControlHosts();
  departures_.Start();
  subscriptions_.push_back(timers_.SubscribeEvery(DepartureKeeper::kPollInterval,
                                                  [this](base::TimePoint) { departures_.Poll(); }));
  subscriptions_.push_back(
      timers_.SubscribeEvery(kCheckInterval, [this](base::TimePoint) { Check(); }));
  PublishRecord();
}

void NodePresence::PollControlHosts() {
  sync_.Poll();
  poll_subscription_ =
      timers_.SubscribeOnce(sync_.poll_interval(), [this](base::TimePoint) { PollControlHosts(); });
}

void NodePresence::HandleControl(const std::string& from, const std::string& payload) {
  try {
    const directory::Message message = directory::Decode(payload);
    if (const auto* answer = std::get_if<directory::SyncAnswer>(&message)) {
      sync_.Receive(from, *answer);
    } else if (const auto* quotas = std::get_if<directory::QuotaAnswer>(&message)) {
      quota_owner_ = from;
      quota_asked_at_.reset();
      if (hooks_.on_quota_answer) {
        hooks_.on_quota_answer(*quotas);
      }
    } else if (const auto* departures = std::get_if<directory::DepartureAnswer>(&message)) {
      const bool had_recalled = departures_.has_recalled();
      departures_.Receive(*departures);
      if (!had_recalled) {
        PublishRecord();
      }
    }
  } catch (const directory::DirectoryError& error) {
    base::Log(base::LogLevel::kWarning, "directory_message_refused",
              {{"from", from}, {"error", error.what()}});
  }
}

void NodePresence::HandleDeclaration(std::uint64_t version, const std::string& text) {
  try {
    const declaration::Declaration declaration = dialect_.decode_declaration(text);
    version_ = declaration.version;
    requires_keys_ = declaration.accounts.has_value();
    sync_.set_needs_age(requires_keys_ && revocation_time_.has_value());
    hooks_.on_declaration(declaration);
    for (const declaration::ServiceEntry& service : declaration.services) {
      if (service.name == service_) {
        health_path_ = service.health_path;
      }
    }
    Check();
    base::Log(base::LogLevel::kInfo, "declaration_in_force",
              {{"version", static_cast<Json::UInt64>(version)},
               {"routes", static_cast<Json::UInt64>(declaration.routes.size())}});
  } catch (const declaration::DeclarationError& error) {
    base::Log(base::LogLevel::kError, "declaration_unreadable",
              {{"version", static_cast<Json::UInt64>(version)}, {"error", error.what()}});
  }
}

void NodePresence::HandleHeartbeat(const directory::Heartbeat& heartbeat,
                                   const AnnouncementCallback& callback) {
  const std::string previous_instance = instance_.instance();
  const bool was_leaving = instance_.leaving_since().has_value();
  const directory::HeartbeatOutcome outcome = instance_.HandleHeartbeat(heartbeat, hooks_.clock());
  if (outcome == directory::HeartbeatOutcome::kOtherService) {
    callback(AnnouncementOutcome::kOtherService);
    return;
  }
  if (outcome == directory::HeartbeatOutcome::kTaken) {
    const bool is_replaced = previous_instance != instance_.instance();
    if (is_replaced) {
      hooks_.on_instance_lost();
    }
    if (is_replaced || was_leaving != instance_.leaving_since().has_value()) {
      base::Log(base::LogLevel::kInfo, "instance_heard",
                {{"instance", instance_.instance()},
                 {"before", previous_instance},
                 {"leaving", instance_.leaving_since().has_value()},
                 {"sequence", static_cast<Json::UInt64>(heartbeat.sequence)},
                 {"born", static_cast<Json::UInt64>(heartbeat.born)},
                 {"slots", heartbeat.slots}});
    }
  }
  PublishRecord();
  if (heartbeat.state == directory::InstanceState::kLeaving) {
    AcknowledgeDeparture({heartbeat.instance, heartbeat.born}, callback);
  } else {
    callback(AnnouncementOutcome::kTaken);
  }
}

void NodePresence::HandleLeave(const directory::Incarnation& incarnation,
                               const AnnouncementCallback& callback) {
  const bool is_known = instance_.HandleLeave(incarnation, hooks_.clock());
  const directory::Incarnation departed =
      incarnation.born == 0 ? instance_.Identify(incarnation.instance) : incarnation;
  base::Log(base::LogLevel::kInfo, "instance_left",
            {{"instance", departed.instance},
             {"born", static_cast<Json::UInt64>(departed.born)},
             {"known", is_known}});
  PublishRecord();
  AcknowledgeDeparture(departed, callback);
}

// The sender counts on an acknowledged departure, so it is recorded where it outlives this process.
void NodePresence::AcknowledgeDeparture(const directory::Incarnation& departed,
                                        const AnnouncementCallback& callback) {
  if (departed.born == 0) {
    // Without its start the process cannot be told from its successor. Its next heartbeat states
    // it, and the announcement is repeated as long as it is not acknowledged.
    callback(AnnouncementOutcome::kNotRecorded);
    return;
  }
  departures_.Record(departed, [callback](RecordOutcome outcome) {
    callback(outcome == RecordOutcome::kRecorded ? AnnouncementOutcome::kTaken
                                                 : AnnouncementOutcome::kNotRecorded);
  });
}

void NodePresence::PublishRecord() {
  directory::InstanceRecord record;
  record.node = node_;
  record.zone = zone_;
  record.epoch = epoch_;
  if (instance_.is_known() && !instance_.is_suspect()) {
    record.service = instance_.service();
    record.instance = instance_.instance();
    record.born = instance_.incarnation().born;
    record.slots = instance_.slots();
    const bool is_leaving = instance_.leaving_since() || IsWithdrawn();
    record.state =
        is_leaving ? directory::InstanceState::kLeaving : directory::InstanceState::kServing;
    record.warm_up_left_ms = instance_.WarmUpLeft(hooks_.clock()) > base::Duration::zero() ? 1 : 0;
    hooks_.describe_load(record);
  }
  record.revision = record_revision_;
  if (record == record_ && record_revision_ > 0) {
    return;
  }
  record.revision = ++record_revision_;
  record_ = record;
  sync_.SetRecord(record_);
  hooks_.on_own_record(record_);
}

bool NodePresence::IsWithdrawn() const {
  return draining_since_ && hooks_.clock() - *draining_since_ >= kWithdrawalDelay;
}

void NodePresence::Check() {
  if (!draining_since_) {
    probe_.Check(health_path_, hooks_.clock());
  }
  const std::string instance = instance_.instance();
  if (instance_.ExpireIfSilent(hooks_.clock())) {
    base::Log(base::LogLevel::kWarning, "instance_silent", {{"instance", instance}});
    hooks_.on_instance_lost();
  }
  PublishRecord();
  startup_report_.Check(startup_state(), hooks_.clock());
}

StartupState NodePresence::startup_state() const {
  StartupState state;
  state.control_hosts = sync_.reachable_hosts();
  state.has_declaration = version_ > 0;
  state.has_recalled_departures = departures_.has_recalled();
  state.has_instance = instance_.is_known();
  state.instances = sync_.view().records().size();
  return state;
}

void NodePresence::SendToQuotaOwner(const directory::QuotaRequest& request) {
  const base::TimePoint now = hooks_.clock();
  quota_asked_at_ = quota_asked_at_.value_or(now);
  if (now - *quota_asked_at_ >= kQuotaOwnerTimeout) {
    quota_owner_.clear();
  }
  const std::string& host = quota_owner_.empty() ? sync_.preferred_host() : quota_owner_;
  if (!host.empty()) {
    hooks_.send(host, directory::Encode(request));
  }
}

bool NodePresence::AreKeysFresh() const {
  if (!requires_keys_ || !revocation_time_) {
    return true;
  }
  const std::optional<base::Duration> age = sync_.Age();
  return age && *age < kMaximumAgeShare * *revocation_time_;
}

void NodePresence::HandleSettings(const MeshSettings& settings) {
  sync_.SetSeeds(SeedNodes(settings));
}

void NodePresence::BeginDrain() {
  draining_since_ = hooks_.clock();
  PublishRecord();
}

}  // namespace borageloft::mesh
