#ifndef BORAGELOFT_NODE_CONTROL_GROUP_H_
#define BORAGELOFT_NODE_CONTROL_GROUP_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libraries/node/group_hub.h"
#include "libraries/node/node_services.h"
#include "libraries/replication/replication.h"
#include "libraries/storage/storage.h"

namespace borageloft::node {

/**
 * Prepares a forwarded command on the host that proposes it, for example by setting its time.
 * @return The command to propose; nothing to refuse it without effect.
 */
using PrepareHook = std::function<std::optional<std::string>(const std::string& command)>;

/** State of a group's member on this host, for status and metrics. */
struct ControlGroupStatus {
  replication::HostStatus host;
  std::string leader;                // Host name; empty when unknown.
  std::vector<std::string> members;  // Host names, learners marked by a '+'.
};

/**
 * The member of one replication group on a control host: its replica, its files and its messages.
 *
 * A host without stored state must not guess whether it is new or has lost its disk: it asks the
 * other founding hosts. Only when all of them answer that no term has begun does it take part as a
 * founder; else it joins as a learner under a new replica id. Thread-safe.
 */
class ControlGroup {
 public:
  /**
   * @param group Name of the group; also the name of its folder.
   * @param hosts Founding control hosts, this one included.
   * @param prepare Prepares forwarded commands; an empty hook leaves them as they are.
   */
  ControlGroup(const NodeServices& services, const storage::DataFolder& folder, GroupHub& hub,
               std::string group, std::vector<std::string> hosts,
               replication::StateMachine state_machine, PrepareHook prepare = {});

  /** Hands leadership over and stops. */
  ~ControlGroup();

  ControlGroup(const ControlGroup&) = delete;
  ControlGroup& operator=(const ControlGroup&) = delete;

  /** Starts from what is stored, or finds out how to start. */
  void Start();

  /** Runs the group's timers. Call it every 10 ms. */
  void Tick();

  ControlGroupStatus status() const;

 private:
  enum class Stage { kIdle, kProbing, kJoining, kRunning };

  void Receive(const std::string& from, const GroupMessage& message);
  void HandleProbe(const std::string& from);
  void HandleProbeAnswer(const std::string& from, const StateProbeAnswer& answer);
  void HandleJoinRequest(const std::string& from);
  void HandleForward(const std::string& from, const ForwardedCommand& command);
  void Advance(base::TimePoint now);
  void StartHost(const replication::StartPlan& plan);
  std::string HostOf(consensus::ReplicaId replica) const;
  void SendTo(const std::string& host, GroupMessageBody body);

  const NodeServices& services_;
  GroupHub& hub_;
  const std::string group_;
  const std::vector<std::string> hosts_;
  const PrepareHook prepare_;
  // Everything of the group runs on one thread of its own, so that a slow disk holds up neither
  // requests nor other groups.
  timer::TimerService timers_;
  replication::GroupStorage storage_;
  std::unique_ptr<replication::ReplicaHost> host_;
  std::atomic<bool> is_tick_queued_ = false;

  mutable base::RankedMutex mutex_{base::LockRank::kLedger};
  Stage stage_ = Stage::kIdle;
  std::map<std::string, StateProbeAnswer> answers_;
  base::TimePoint next_probe_;
  std::map<consensus::ReplicaId, std::string> learned_hosts_;

  base::WorkerPool worker_{1};
};

}  // namespace borageloft::node

#endif  // BORAGELOFT_NODE_CONTROL_GROUP_H_
