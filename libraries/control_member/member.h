#ifndef BORAGELOFT_CONTROL_MEMBER_MEMBER_H_
#define BORAGELOFT_CONTROL_MEMBER_MEMBER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libraries/control_member/formation_message.h"
#include "libraries/declaration/declaration.h"
#include "libraries/directory/directory.h"
#include "libraries/replication/replication.h"
#include "libraries/storage/storage.h"
#include "libraries/timer/timer.h"

namespace borageloft::control_member {

/** Settings of a Member. */
struct MemberOptions {
  /** Address at which other control hosts reach this one, which is also its name. */
  std::string address;
  /** Addresses of the control hosts to contact first; the same on all hosts on a first start. */
  std::vector<std::string> seeds;
  /** Whether the whole system starts for the first time, with empty disks on all hosts. */
  bool is_first_start = false;
  /** Number of disks that may be lost at the same time without losing a declaration. */
  std::size_t tolerated_losses = 0;
  replication::ReplicaHostOptions replica;
};

/** Hooks of a Member. */
struct MemberHooks {
  base::Clock clock;
  base::Random random;
  /** Sends bytes to the control host at an address; they may be lost. */
  std::function<void(const std::string& address, std::string bytes)> send;
  /** Called after each change of the declaration applied on this host. */
  std::function<void()> on_declaration;
};

/** Outcome of a request to replace the declaration. */
enum class ReplaceStatus {
  kAccepted,     // Stored durably on a majority, and in force.
  kWrongBase,    // Refused: another version is in force.
  kNotAbove,     // Refused: the new version is not above the one in force.
  kTooLarge,     // Refused: its entry does not fit the replicated log.
  kNotLeader,    // No effect; MemberStatus names the leader if it is known.
  kUnavailable,  // No effect, or unknown: the group cannot accept a declaration now.
};

/** Receives the outcome of a replacement. Called exactly once. */
using ReplaceCallback = std::function<void(ReplaceStatus status)>;

/** Receives the newest declaration, or null if this host cannot confirm that it is the newest. */
using ReadCallback = std::function<void(const declaration::DeclarationRegister* newest)>;

/** Receives whether a departure is recorded. Called exactly once. */
using DepartureCallback = std::function<void(bool is_recorded)>;

/** Receives the newest departures, or null if this host cannot confirm that they are. */
using DepartureReadCallback = std::function<void(const directory::DepartureRegister* newest)>;

/** State of a Member, for status, metrics and logs. */
struct MemberStatus {
  replication::HostStatus replica_host;
  bool is_formed = false;  ///< Whether the group has had the voters that tolerated_losses requires.
  std::string leader;      ///< Address of the leader, or empty if it is not known.
};

/**
 * A control host as a member of the replicated group that stores the declaration and which instance
 * processes have left.
 *
 * On a first start the seeds form the group. Every other host, and every host whose disk is empty
 * on a later start, joins as a learner under a random name for its disk, so that a host that lost
 * its disk never votes again under its old replica id. The first declaration is accepted once the
 * group has 2 * tolerated_losses + 1 voters. Not thread-safe.
 */
class Member {
 public:
  /**
   * @param folder Data folder for the exclusive use of this member; must outlive it.
   * @param timers Timers that drive the member; must outlive it.
   */
  Member(MemberOptions options, MemberHooks hooks, const storage::DataFolder& folder,
         timer::TimerService& timers);
  ~Member();

  Member(const Member&) = delete;
  Member& operator=(const Member&) = delete;

  /**
   * Restarts from the stored state. Without one, forms the group on a first start as a seed, or
   * asks the seeds, and the hosts that send to its lost disk, to join.
   * @throws ControlMemberError if the stored state cannot be loaded.
   */
  void Start();

  /** Handles a message of the control host at @p from; malformed ones are logged and dropped. */
  void Receive(const std::string& from, std::string_view bytes);

  /** Replaces the declaration if this host is the leader; @p callback receives the outcome. */
  void Replace(const declaration::ReplaceCommand& command, ReplaceCallback callback);

  /** Reads the newest declaration if this host is the leader; @p callback receives it. */
  void ReadNewest(ReadCallback callback);

  /** Records a departure durably on a majority if this host is the leader. */
  void RecordDeparture(const directory::Departure& departure, DepartureCallback callback);

  /** Reads the newest departures if this host is the leader; @p callback receives them. */
  void ReadDepartures(DepartureReadCallback callback);

  /** Replaces the control hosts to contact first; the new list may name different hosts. */
  void set_seeds(std::vector<std::string> seeds) { options_.seeds = std::move(seeds); }

  /** Tells the other members, transfers leadership and stops; @p done is called once stopped. */
  void Shutdown(std::function<void()> done);

  /**
   * @return Whether this host is the leader or has heard from it within an election timeout, and
   * has applied everything acknowledged before that leader was elected.
   */
  bool IsCurrent() const;

  /** @return Addresses of the group's members, this host included. */
  std::vector<std::string> ControlHosts() const;

  /** @return The declaration as applied on this host; it may lag behind the newest. */
  const declaration::DeclarationRegister& applied() const { return register_; }

  /** @return Departures as applied on this host; they may lag behind the newest. */
  const directory::DepartureRegister& departures() const { return departures_; }

  MemberStatus status() const;

 private:
  void CreateReplicaHost();
  void StartReplica(const replication::StartPlan& plan, const char* mode);
  void BeginJoin();
  void HandleReplicationMessage(const std::string& from, const ReplicationMessage& message);
  void HandleRemovalNotice(const RemovalNotice& removal);
  void HandleStopNotice(const StopNotice& notice);
  void HandleInquiry(const std::string& from, const MembershipInquiry& inquiry);
  void SendInquiries();
  // Logs what keeps this host from being current.
  void LogWait() const;
  void SendJoinRequests();
  // Control hosts to contact while this host follows no leader.
  std::set<std::string> HostsToContact() const;
  void HandleJoinRequest(const std::string& from, const JoinRequest& request);
  std::string Apply(const std::string& command);
  void ApplyDeparture(std::string_view bytes);
  std::string Snapshot() const;
  void Restore(std::string_view data);
  std::string AddressOf(consensus::ReplicaId replica) const;
  std::size_t RequiredVoters() const;
  // Whether this host leads and @p replica was removed by a committed change.
  bool KnowsRemovalOf(consensus::ReplicaId replica, const replication::HostStatus& status) const;
  void Send(const std::string& address, const FormationMessage& message);

  MemberOptions options_;
  MemberHooks hooks_;
  timer::TimerService& timers_;
  const storage::DataFolder& data_folder_;
  // Generation of the stored state; a removed replica rejoins with the next one.
  std::uint64_t generation_ = 0;
  std::unique_ptr<replication::GroupStorage> storage_;
  std::unique_ptr<replication::ReplicaHost> replica_host_;
  declaration::DeclarationRegister register_;
  directory::DepartureRegister departures_;
  std::string storage_name_;  // Name under which this host's disk asks to join.
  bool is_replica_started_ = false;
  // Time of the last message by replica, for the log.
  std::map<consensus::ReplicaId, base::TimePoint> heard_at_;
  // Addresses from which replicas sent messages.
  std::map<consensus::ReplicaId, std::string> learned_addresses_;
  std::optional<timer::SubscriptionId> join_timer_;
  std::optional<timer::SubscriptionId> restart_timer_;
  std::optional<timer::SubscriptionId> inquiry_timer_;
};

/** @return Address part of a storage name. */
std::string AddressOfStorage(const std::string& storage);

}  // namespace borageloft::control_member

#endif  // BORAGELOFT_CONTROL_MEMBER_MEMBER_H_
