#ifndef BORAGELOFT_NODE_GROUP_CLIENT_H_
#define BORAGELOFT_NODE_GROUP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "libraries/node/group_hub.h"
#include "libraries/node/node_services.h"

namespace borageloft::node {

/** What became of a command that was sent to a group. */
struct CommandOutcome {
  ForwardResult result = ForwardResult::kUnknown;
  std::string value;  // Result of the state machine, with kCommitted.
};

/** Receives the outcome exactly once, with no lock held. */
using CommandCallback = std::function<void(const CommandOutcome& outcome)>;

/**
 * Sends commands to the leader of a replication group from any node. A command may be sent more
 * than once, so the state machine must give an equal command the same outcome each time.
 * Thread-safe.
 */
class GroupClient {
 public:
  /** @param hosts Control hosts of the group, at least one. */
  GroupClient(const NodeServices& services, GroupHub& hub, std::string group,
              std::vector<std::string> hosts);

  /** Sends a command until it is committed or @p deadline has passed. */
  void Send(std::string command, base::TimePoint deadline, CommandCallback callback);

  /** Sends a command and waits for its outcome. */
  CommandOutcome SendAndWait(std::string command, base::TimePoint deadline);

  /** Sends again what got no answer. Call it every few milliseconds. */
  void Tick();

 private:
  struct Pending {
    std::string command;
    base::TimePoint deadline;
    base::TimePoint next_send;
    bool may_take_effect = false;
    bool is_awaited = false;
    CommandCallback callback;
  };

  void Receive(const std::string& from, const ForwardAnswer& answer);
  void MoveToNextHost();

  // Longer than a commit across zones, shorter than an election.
  static constexpr base::Duration kAnswerTimeout = std::chrono::milliseconds(300);
  static constexpr base::Duration kRetryPause = std::chrono::milliseconds(50);

  const NodeServices& services_;
  GroupHub& hub_;
  const std::string group_;
  const std::vector<std::string> hosts_;
  base::RankedMutex mutex_{base::LockRank::kConsensus};
  std::string target_;
  std::uint64_t next_request_;
  std::map<std::uint64_t, Pending> pending_;
};

}  // namespace borageloft::node

#endif  // BORAGELOFT_NODE_GROUP_CLIENT_H_
