#include "libraries/control_member/member.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <limits>
#include <set>
#include <utility>

namespace borageloft::control_member {

namespace {

constexpr const char* kGroupName = "declaration";
constexpr std::chrono::milliseconds kJoinInterval{150};
// Time between two inquiries of a replica without a leader. An election takes about as long, so few
// are sent while the group has no leader.
constexpr std::chrono::milliseconds kInquiryInterval{1000};
// Separates the address of a host from the random number of its disk in a storage name.
constexpr char kStorageSeparator = '#';
// Begins a departure in the log, and a snapshot with departures. A command begins with its base in
// eight bytes instead, and an earlier snapshot with its version; neither is as high.
constexpr std::string_view kDepartureMark = "\xff\xff\xff\xff\xff\xff\xff\xff";
// Length of the departures in a snapshot, as hexadecimal digits.
constexpr std::size_t kLengthDigits = 8;
constexpr int kLengthBase = 16;

using declaration::ReplaceOutcome;

ReplaceStatus StatusOf(const std::string& result) {
  VERIFY(result.size() == 1);
  switch (static_cast<ReplaceOutcome>(result.front())) {
    case ReplaceOutcome::kAccepted:
    case ReplaceOutcome::kAcceptedEarlier:
      return ReplaceStatus::kAccepted;
    case ReplaceOutcome::kWrongBase:
      return ReplaceStatus::kWrongBase;
    case ReplaceOutcome::kNotAbove:
      return ReplaceStatus::kNotAbove;
  }
  return ReplaceStatus::kUnavailable;
}

std::string StoredGroupName(std::uint64_t generation) {
  return generation == 0 ? kGroupName : fmt::format("{}-{}", kGroupName, generation);
}

// Returns the newest generation that is stored, or 0 if there is none.
std::uint64_t FindNewestGeneration(const storage::DataFolder& folder) {
  const std::vector<std::string> names = folder.file_system().list(folder.path());
  std::uint64_t generation = 0;
  while (std::find(names.begin(), names.end(), StoredGroupName(generation + 1)) != names.end()) {
    ++generation;
  }
  return generation;
}

const char* RoleName(consensus::Role role) {
  switch (role) {
    case consensus::Role::kLeader:
      return "leader";
    case consensus::Role::kFollower:
      return "follower";
    default:
      return "candidate";
  }
}

}  // namespace

std::string AddressOfStorage(const std::string& storage) {
  return storage.substr(0, storage.find(kStorageSeparator));
}

Member::Member(MemberOptions options, MemberHooks hooks, const storage::DataFolder& folder,
               timer::TimerService& timers)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      timers_(timers),
      data_folder_(folder),
      generation_(FindNewestGeneration(folder)) {
  options_.replica.target_voters = RequiredVoters();
  options_.replica.address_of = AddressOfStorage;
  CreateReplicaHost();
}

Member::~Member() {
  if (join_timer_) {
    timers_.Unsubscribe(*join_timer_);
  }
  if (restart_timer_) {
    timers_.Unsubscribe(*restart_timer_);
  }
  if (inquiry_timer_) {
    timers_.Unsubscribe(*inquiry_timer_);
  }
}

void Member::CreateReplicaHost() {
  replica_host_.reset();
  storage_ =
      std::make_unique<replication::GroupStorage>(data_folder_, StoredGroupName(generation_));
  replication::ReplicaHost::Dependencies dependencies;
  dependencies.clock = hooks_.clock;
  dependencies.random = hooks_.random;
  dependencies.timers = &timers_;
  dependencies.storage = storage_->Hooks();
  dependencies.state_machine.apply = [this](consensus::Index, const std::string& command) {
    return Apply(command);
  };
  dependencies.state_machine.snapshot = [this] { return Snapshot(); };
  dependencies.state_machine.restore = [this](const std::string& data) {
    Restore(data);
    hooks_.on_declaration();
  };
  dependencies.send = [this](consensus::ReplicaId to, std::string bytes) {
    const std::string address = AddressOf(to);
    if (!address.empty()) {
      Send(address, ReplicationMessage{replica_host_->status().replica, std::move(bytes)});
    }
  };
  dependencies.on_soft_state = [this](const consensus::SoftState& state) {
    base::Log(base::LogLevel::kInfo, "control_role_changed",
              {{"role", RoleName(state.role)},
               {"leader", AddressOf(state.leader)},
               {"term", static_cast<Json::UInt64>(state.term)}});
  };
  replica_host_ =
      std::make_unique<replication::ReplicaHost>(options_.replica, std::move(dependencies));
}

std::size_t Member::RequiredVoters() const { return 2 * options_.tolerated_losses + 1; }

void Member::Start() {
  inquiry_timer_ = timers_.SubscribeEvery(kInquiryInterval, [this](base::TimePoint) {
    LogWait();
    SendInquiries();
  });
  try {
    if (replication::LoadConsistent(storage_->Hooks())) {
      StartReplica({replication::StartMode::kRestart, consensus::kNoReplica, {}}, "restart");
      return;
    }
  } catch (const base::Error& error) {
    throw ControlMemberError(std::string("cannot start from the stored replica state: ") +
                             error.what());
  }
  // On a first start all hosts have the same seeds, so each seed derives the same initial
  // membership without communication. A seed with an empty disk on any later start may have lost
  // its disk, so it must join.
  std::vector<std::string> founders = options_.seeds;
  std::sort(founders.begin(), founders.end());
  founders.erase(std::unique(founders.begin(), founders.end()), founders.end());
  const auto own_founder = std::find(founders.begin(), founders.end(), options_.address);
  if (options_.is_first_start && own_founder != founders.end()) {
    const auto replica = static_cast<consensus::ReplicaId>(own_founder - founders.begin()) + 1;
    StartReplica(
        {replication::StartMode::kBootstrap, replica, consensus::Membership::OfVoters(founders)},
        "found");
    return;
  }
  BeginJoin();
}

void Member::BeginJoin() {
  storage_name_ = fmt::format("{}{}{:016x}", options_.address, kStorageSeparator, hooks_.random());
  base::Log(base::LogLevel::kInfo, "control_member_joining", {{"storage", storage_name_}});
  SendJoinRequests();
  if (!join_timer_) {
    join_timer_ =
        timers_.SubscribeEvery(kJoinInterval, [this](base::TimePoint) { SendJoinRequests(); });
  }
}

void Member::StartReplica(const replication::StartPlan& plan, const char* mode) {
  replica_host_->Start(plan);
  is_replica_started_ = true;
  base::Log(base::LogLevel::kInfo, "control_member_started",
            {{"mode", mode},
             {"replica", static_cast<Json::UInt64>(replica_host_->status().replica)},
             {"version", static_cast<Json::UInt64>(register_.version())}});
  hooks_.on_declaration();
}

void Member::SendJoinRequests() {
  if (is_replica_started_) {
    return;
  }
  for (const std::string& host : HostsToContact()) {
    Send(host, JoinRequest{storage_name_, false});
  }
}

// The seeds may all be gone or have lost their disks too. The members of the group still send to
// the replica that this host had on its lost disk.
std::set<std::string> Member::HostsToContact() const {
  std::set<std::string> hosts(options_.seeds.begin(), options_.seeds.end());
  for (const auto& [replica, address] : learned_addresses_) {
    hosts.insert(address);
  }
  hosts.erase(options_.address);
  return hosts;
}

void Member::Receive(const std::string& from, std::string_view bytes) {
  try {
    const FormationMessage message = DecodeFormationMessage(bytes);
    if (const auto* replication_message = std::get_if<ReplicationMessage>(&message)) {
      HandleReplicationMessage(from, *replication_message);
    } else if (const auto* request = std::get_if<JoinRequest>(&message)) {
      HandleJoinRequest(from, *request);
    } else if (const auto* answer = std::get_if<JoinAnswer>(&message)) {
      if (!is_replica_started_ && answer->storage == storage_name_) {
        StartReplica({replication::StartMode::kJoin, answer->replica, {}}, "join");
      }
    } else if (const auto* removal = std::get_if<RemovalNotice>(&message)) {
      HandleRemovalNotice(*removal);
    } else if (const auto* inquiry = std::get_if<MembershipInquiry>(&message)) {
      HandleInquiry(from, *inquiry);
    } else if (const auto* notice = std::get_if<StopNotice>(&message)) {
      HandleStopNotice(*notice);
    }
  } catch (const base::Error& error) {
    base::Log(base::LogLevel::kWarning, "control_message_refused",
              {{"from", from}, {"error", error.what()}});
  }
}

void Member::HandleReplicationMessage(const std::string& from, const ReplicationMessage& message) {
  learned_addresses_[message.sender] = from;
  heard_at_[message.sender] = hooks_.clock();
  if (!is_replica_started_) {
    return;
  }
  const replication::HostStatus status = replica_host_->status();
  if (KnowsRemovalOf(message.sender, status)) {
    Send(from, RemovalNotice{message.sender, status.soft_state.term});
    return;
  }
  replica_host_->Receive(message.bytes);
}

bool Member::KnowsRemovalOf(consensus::ReplicaId replica,
                            const replication::HostStatus& status) const {
  // A removal that is not committed may be undone, and the voter would have discarded its disk.
  return is_replica_started_ && replica != consensus::kNoReplica &&
         status.soft_state.role == consensus::Role::kLeader && !status.has_pending_membership &&
         !status.membership.Contains(replica) && replica < status.membership.next_id();
}

void Member::LogWait() const {
  if (IsCurrent()) {
    return;
  }
  const replication::HostStatus status = replica_host_->status();
  const bool has_leader = status.soft_state.leader != consensus::kNoReplica;
  const bool has_failed_storage = status.state == replication::HostState::kFailed;
  Json::Value silent(Json::arrayValue);
  for (const auto& [replica, member] : status.membership.members()) {
    const auto heard = heard_at_.find(replica);
    const bool is_silent =
        heard == heard_at_.end() || hooks_.clock() - heard->second >= kInquiryInterval;
    if (member.is_voter && replica != status.replica && is_silent) {
      silent.append(AddressOfStorage(member.host));
    }
  }
  Json::Value contacted(Json::arrayValue);
  for (const std::string& host : HostsToContact()) {
    contacted.append(host);
  }
  base::Log(base::LogLevel::kInfo, "control_waiting",
            {{"for", !is_replica_started_ ? "admission"
                     : has_failed_storage ? "storage"
                     : has_leader         ? "entries"
                                          : "leader"},
             {"voters", static_cast<Json::UInt64>(status.membership.voter_count())},
             {"silent_voters", silent},
             {"contacted", contacted}});
}

// A removed voter learns of its removal when it campaigns. A removed learner never does, and the
// members that a removed voter knows may all have been replaced.
void Member::SendInquiries() {
  if (!is_replica_started_) {
    return;
  }
  const replication::HostStatus status = replica_host_->status();
  if (status.soft_state.leader != consensus::kNoReplica) {
    return;
  }
  for (const std::string& host : HostsToContact()) {
    Send(host, MembershipInquiry{options_.address, status.replica, false});
  }
}

void Member::HandleStopNotice(const StopNotice& notice) {
  if (!is_replica_started_) {
    return;
  }
  base::Log(base::LogLevel::kInfo, "control_member_stopping",
            {{"host", notice.address}, {"replica", static_cast<Json::UInt64>(notice.replica)}});
  replica_host_->NoteStopping(notice.replica);
}

void Member::HandleInquiry(const std::string& from, const MembershipInquiry& inquiry) {
  if (!is_replica_started_) {
    return;
  }
  const replication::HostStatus status = replica_host_->status();
  if (KnowsRemovalOf(inquiry.replica, status)) {
    Send(inquiry.address, RemovalNotice{inquiry.replica, status.soft_state.term});
    return;
  }
  const std::string leader = AddressOf(status.soft_state.leader);
  if (status.soft_state.role != consensus::Role::kLeader && !inquiry.is_forwarded &&
      !leader.empty() && leader != from) {
    Send(leader, MembershipInquiry{inquiry.address, inquiry.replica, true});
  }
}

// A replica that was removed while it was unreachable rejoins as an empty one. Its old files remain
// on disk; the new replica stores its state under the next generation.
void Member::HandleRemovalNotice(const RemovalNotice& removal) {
  const replication::HostStatus status = replica_host_->status();
  const bool is_applicable =
      is_replica_started_ && !restart_timer_ && removal.replica != consensus::kNoReplica &&
      removal.replica == status.replica && status.soft_state.leader == consensus::kNoReplica;
  if (!is_applicable) {
    return;
  }
  base::Log(base::LogLevel::kWarning, "control_member_removed",
            {{"replica", static_cast<Json::UInt64>(removal.replica)},
             {"term", static_cast<Json::UInt64>(removal.term)}});
  // Deferred to a timer, because the replica host must not be replaced while it handles a message.
  restart_timer_ = timers_.SubscribeOnce(std::chrono::milliseconds(1), [this](base::TimePoint) {
    restart_timer_.reset();
    is_replica_started_ = false;
    ++generation_;
    CreateReplicaHost();
    BeginJoin();
  });
}

void Member::HandleJoinRequest(const std::string& from, const JoinRequest& request) {
  if (!is_replica_started_) {
    return;
  }
  const replication::HostStatus status = replica_host_->status();
  const std::string joiner_address = AddressOfStorage(request.storage);
  if (status.soft_state.role != consensus::Role::kLeader) {
    const std::string leader = AddressOf(status.soft_state.leader);
    if (!request.is_forwarded && !leader.empty() && leader != from) {
      Send(leader, JoinRequest{request.storage, true});
    }
    return;
  }
  // An id from a change that is not committed may never become a member. The joiner asks again.
  if (status.has_pending_membership) {
    return;
  }
  for (const auto& [replica, member] : status.membership.members()) {
    if (member.host == request.storage) {
      if (!member.is_voter) {
        Send(joiner_address, JoinAnswer{request.storage, replica});
      }
      return;
    }
  }
  replica_host_->ProposeMembership(
      {consensus::MembershipChangeKind::kAddLearner, consensus::kNoReplica, request.storage},
      [this, joiner_address,
       storage = request.storage](const replication::ProposalOutcome& outcome) {
        if (outcome.kind == replication::ProposalOutcomeKind::kCommitted) {
          base::Log(
              base::LogLevel::kInfo, "control_learner_added",
              {{"storage", storage}, {"replica", static_cast<Json::UInt64>(outcome.assigned)}});
          Send(joiner_address, JoinAnswer{storage, outcome.assigned});
        }
      });
}

void Member::ApplyDeparture(std::string_view bytes) {
  try {
    const directory::Departure departure = directory::DecodeDeparture(bytes);
    departures_.Add(departure);
    base::Log(base::LogLevel::kInfo, "departure_recorded",
              {{"node", departure.node},
               {"instance", departure.incarnation.instance},
               {"born", static_cast<Json::UInt64>(departure.incarnation.born)}});
  } catch (const directory::DirectoryError& error) {
    // A committed entry is applied by every host at each start, so it must not end the process.
    base::Log(base::LogLevel::kError, "departure_unreadable", {{"error", error.what()}});
  }
}

std::string Member::Apply(const std::string& bytes) {
  if (bytes.starts_with(kDepartureMark)) {
    ApplyDeparture(std::string_view(bytes).substr(kDepartureMark.size()));
    return "";
  }
  const declaration::ReplaceCommand command = declaration::DecodeCommand(bytes);
  const ReplaceOutcome outcome = register_.Apply(command);
  base::Log(base::LogLevel::kInfo, "declaration_applied",
            {{"base", static_cast<Json::UInt64>(command.base)},
             {"version", static_cast<Json::UInt64>(command.version)},
             {"outcome", static_cast<int>(outcome)},
             {"in_force", static_cast<Json::UInt64>(register_.version())}});
  if (outcome == ReplaceOutcome::kAccepted) {
    hooks_.on_declaration();
  }
  return std::string(1, static_cast<char>(outcome));
}

std::string Member::Snapshot() const {
  const std::string departures = departures_.Snapshot();
  return fmt::format("{}{:08x}{}{}", kDepartureMark, departures.size(), departures,
                     register_.Snapshot());
}

void Member::Restore(std::string_view data) {
  std::string_view departures;
  // Snapshots of the earlier release hold the declaration only.
  if (data.starts_with(kDepartureMark)) {
    data.remove_prefix(kDepartureMark.size());
    std::size_t size = 0;
    const char* const end = data.data() + std::min(kLengthDigits, data.size());
    const auto parsed = std::from_chars(data.data(), end, size, kLengthBase);
    if (parsed.ec != std::errc() || parsed.ptr != end || data.size() - kLengthDigits < size) {
      throw ControlMemberError("a snapshot is truncated");
    }
    departures = data.substr(kLengthDigits, size);
    data.remove_prefix(kLengthDigits + size);
  }
  departures_.Restore(departures);
  register_.Restore(data);
}

void Member::RecordDeparture(const directory::Departure& departure, DepartureCallback callback) {
  if (!is_replica_started_) {
    callback(false);
    return;
  }
  replica_host_->Propose(
      std::string(kDepartureMark) + directory::EncodeDeparture(departure),
      [callback = std::move(callback)](const replication::ProposalOutcome& outcome) {
        callback(outcome.kind == replication::ProposalOutcomeKind::kCommitted);
      });
}

void Member::ReadDepartures(DepartureReadCallback callback) {
  if (!is_replica_started_) {
    callback(nullptr);
    return;
  }
  replica_host_->Read(
      [this, callback = std::move(callback)](const replication::ReadOutcome& outcome) {
        callback(outcome.kind == replication::ReadOutcomeKind::kReady ? &departures_ : nullptr);
      });
}

void Member::Replace(const declaration::ReplaceCommand& command, ReplaceCallback callback) {
  const replication::HostStatus status = replica_host_->status();
  if (!is_replica_started_ || status.soft_state.role != consensus::Role::kLeader) {
    callback(ReplaceStatus::kNotLeader);
    return;
  }
  // No declaration builds on the highest version, and its encoding is that of a departure.
  if (command.base == std::numeric_limits<declaration::Version>::max()) {
    callback(ReplaceStatus::kWrongBase);
    return;
  }
  // While one voter is being replaced, a majority of the remaining 2 * tolerated_losses voters
  // still has one disk more than may be lost. Before the first declaration all voters are required,
  // because the group is still forming.
  const std::size_t voters = status.membership.voter_count();
  const std::size_t needed = register_.version() == 0 ? RequiredVoters() : RequiredVoters() - 1;
  if (voters < needed) {
    base::Log(base::LogLevel::kInfo, "declaration_deferred",
              {{"voters", static_cast<Json::UInt64>(voters)},
               {"needed", static_cast<Json::UInt64>(needed)}});
    callback(ReplaceStatus::kUnavailable);
    return;
  }
  replica_host_->Propose(
      declaration::EncodeCommand(command),
      [callback = std::move(callback)](const replication::ProposalOutcome& outcome) {
        switch (outcome.kind) {
          case replication::ProposalOutcomeKind::kCommitted:
            callback(StatusOf(outcome.result));
            return;
          case replication::ProposalOutcomeKind::kNotLeader:
            callback(ReplaceStatus::kNotLeader);
            return;
          case replication::ProposalOutcomeKind::kRefused:
            callback(outcome.status == consensus::ProposalStatus::kTooLarge
                         ? ReplaceStatus::kTooLarge
                         : ReplaceStatus::kUnavailable);
            return;
          default:
            callback(ReplaceStatus::kUnavailable);
        }
      });
}

void Member::ReadNewest(ReadCallback callback) {
  if (!is_replica_started_) {
    callback(nullptr);
    return;
  }
  replica_host_->Read(
      [this, callback = std::move(callback)](const replication::ReadOutcome& outcome) {
        callback(outcome.kind == replication::ReadOutcomeKind::kReady ? &register_ : nullptr);
      });
}

void Member::Shutdown(std::function<void()> done) {
  if (!is_replica_started_) {
    done();
    return;
  }
  const replication::HostStatus status = replica_host_->status();
  for (const std::string& host : ControlHosts()) {
    if (host != options_.address) {
      Send(host, StopNotice{status.replica, options_.address});
    }
  }
  replica_host_->Shutdown(std::move(done));
}

bool Member::IsCurrent() const {
  if (!is_replica_started_) {
    return false;
  }
  const replication::HostStatus status = replica_host_->status();
  // The first entry of a leader's term follows all entries committed in earlier terms, so a host
  // that has applied an entry of the current term has applied those too.
  const bool has_caught_up = status.applied_term == status.soft_state.term;
  return status.soft_state.leader != consensus::kNoReplica && has_caught_up &&
         status.membership.Contains(status.replica);
}

std::vector<std::string> Member::ControlHosts() const {
  std::set<std::string> hosts = {options_.address};
  const replication::HostStatus status = replica_host_->status();
  for (const auto& [replica, member] : status.membership.members()) {
    hosts.insert(AddressOfStorage(member.host));
  }
  return {hosts.begin(), hosts.end()};
}

std::string Member::AddressOf(consensus::ReplicaId replica) const {
  if (replica == consensus::kNoReplica) {
    return "";
  }
  const replication::HostStatus status = replica_host_->status();
  const auto member = status.membership.members().find(replica);
  if (member != status.membership.members().end()) {
    return AddressOfStorage(member->second.host);
  }
  // A learner without log entries has no membership yet and knows the leader's address only from
  // the messages that it received.
  const auto learned = learned_addresses_.find(replica);
  return learned == learned_addresses_.end() ? "" : learned->second;
}

void Member::Send(const std::string& address, const FormationMessage& message) {
  hooks_.send(address, EncodeFormationMessage(message));
}

MemberStatus Member::status() const {
  MemberStatus status;
  status.replica_host = replica_host_->status();
  status.is_formed =
      register_.version() > 0 || status.replica_host.membership.voter_count() >= RequiredVoters();
  status.leader = AddressOf(status.replica_host.soft_state.leader);
  return status;
}

}  // namespace borageloft::control_member
