#ifndef BORAGELOFT_MESH_NODE_PRESENCE_H_
#define BORAGELOFT_MESH_NODE_PRESENCE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libraries/declaration/declaration.h"
#include "libraries/mesh/departure_keeper.h"
#include "libraries/mesh/dialect.h"
#include "libraries/mesh/directory_sync.h"
#include "libraries/mesh/instance_probe.h"
#include "libraries/mesh/mesh_settings.h"
#include "libraries/mesh/startup_report.h"
#include "libraries/timer/timer.h"

namespace borageloft::mesh {

/** Result of an announcement of the upstream on this host. */
enum class AnnouncementOutcome {
  kTaken,         // It may be acknowledged.
  kOtherService,  // Refused: it is of a service other than the one of this host.
  kNotRecorded,   // The process is not identified, or the control hosts did not confirm in time.
};

/** Receives the result of an announcement. Called exactly once. */
using AnnouncementCallback = std::function<void(AnnouncementOutcome outcome)>;

/** Hooks of a NodePresence. */
struct NodePresenceHooks {
  base::Clock clock;
  /** Clock that also counts the time for which the machine was suspended. */
  base::Clock suspension_aware_clock;
  /** Sends a payload to the control host at an address; it may be lost. */
  std::function<void(const std::string& host, std::string payload)> send;
  /** Asks the upstream for its health at a path. */
  std::function<void(const std::string& path, InstanceProbeHooks::AnswerHandler handler)>
      send_probe;
  /** Adds to the record of a usable instance what this node has measured of it. */
  std::function<void(directory::InstanceRecord& record)> describe_load;
  /** Called with each declaration that comes in force on this node. */
  std::function<void(const declaration::Declaration& declaration)> on_declaration;
  /** Called with the nodes whose records have changed. */
  std::function<void(const directory::NodeSet& changed)> on_records;
  /** Called with the own record whenever it has changed; it names no instance if none is usable. */
  std::function<void(const directory::InstanceRecord& record)> on_own_record;
  /** Called when the instance was replaced or has fallen silent. */
  std::function<void()> on_instance_lost;
  /** Called with each answer of the owner of the quotas. May be empty. */
  std::function<void(const directory::QuotaAnswer& answer)> on_quota_answer = {};
};

/**
 * What a node knows of the fleet and what the fleet knows of it: the declaration in force, the
 * records of the other nodes, the instance on this host and its departures. Contains no sockets.
 * Not thread-safe.
 */
class NodePresence {
 public:
  /**
   * @param epoch Identifies this process of the node; greater than 0.
   * @param timers Timers that drive the node; must outlive it.
   */
  NodePresence(const MeshSettings& settings, std::uint64_t epoch, Dialect dialect,
               NodePresenceHooks hooks, timer::TimerService& timers);
  ~NodePresence();

  NodePresence(const NodePresence&) = delete;
  NodePresence& operator=(const NodePresence&) = delete;

  /** Begins to contact the control hosts. */
  void Start();

  /** Handles a payload of the control host at an address; malformed ones are logged. */
  void HandleControl(const std::string& from, const std::string& payload);

  void HandleHeartbeat(const directory::Heartbeat& heartbeat, const AnnouncementCallback& callback);
  void HandleLeave(const directory::Incarnation& incarnation, const AnnouncementCallback& callback);

  /** Applies the seeds of reloaded settings. */
  void HandleSettings(const MeshSettings& settings);

  /** Withdraws the instance after a delay in which callers are still sent here. */
  void BeginDrain();

  /** Publishes the own record if it has changed. */
  void PublishRecord();

  /** Sends a request to the owner of the quotas, through a control host until it is known. */
  void SendToQuotaOwner(const directory::QuotaRequest& request);

  directory::LocalInstance& instance() { return instance_; }
  const directory::DirectoryView& view() const { return sync_.view(); }
  std::size_t reachable_control_hosts() const { return sync_.reachable_hosts(); }
  /**
   * @return Whether a key that was withdrawn longer ago than the settings allow is known to be
   *     withdrawn. Always true if the settings state no such time or no keys are required.
   */
  bool AreKeysFresh() const;
  /** @return Version of the declaration in force, or 0. */
  declaration::Version version() const { return version_; }
  /** @return What the node has obtained of what it needs to answer requests. */
  StartupState startup_state() const;

 private:
  void PollControlHosts();
  void HandleDeclaration(std::uint64_t version, const std::string& text);
  void AcknowledgeDeparture(const directory::Incarnation& departed,
                            const AnnouncementCallback& callback);
  void Check();
  bool IsWithdrawn() const;

  const std::string node_;
  const std::string zone_;
  const std::string service_;
  const std::uint64_t epoch_;
  const std::optional<base::Duration> revocation_time_;
  const Dialect dialect_;
  const NodePresenceHooks hooks_;
  timer::TimerService& timers_;
  directory::LocalInstance instance_;
  InstanceProbe probe_;
  DirectorySync sync_;
  DepartureKeeper departures_;
  StartupReport startup_report_;
  std::string quota_owner_;                        // Control host that answered last.
  std::optional<base::TimePoint> quota_asked_at_;  // Of the first request since that answer.
  std::string health_path_;  // Of the local upstream, from the declaration in force.
  declaration::Version version_ = 0;
  bool requires_keys_ = false;  // As of the declaration in force.
  std::uint64_t record_revision_ = 0;
  directory::InstanceRecord record_;
  std::optional<base::TimePoint> draining_since_;
  std::optional<timer::SubscriptionId> poll_subscription_;
  std::vector<timer::SubscriptionId> subscriptions_;
};

}  // namespace borageloft::mesh

#endif  // BORAGELOFT_MESH_NODE_PRESENCE_H_
