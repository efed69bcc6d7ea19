#ifndef BORAGELOFT_NODE_GROUP_HUB_H_
#define BORAGELOFT_NODE_GROUP_HUB_H_

#include <functional>
#include <map>
#include <string>

#include "libraries/node/control_channel.h"
#include "libraries/node/group_message.h"

namespace borageloft::node {

/** Carries the messages of all replication groups over one channel. Thread-safe once set up. */
class GroupHub {
 public:
  /** Receives a message of one group. Runs with no lock held. */
  using Handler = std::function<void(const std::string& from, const GroupMessage& message)>;

  explicit GroupHub(ControlChannel& channel);

  /** Sets the member of a group on this host, before messages arrive. */
  void AddMember(const std::string& group, Handler handler);

  /** Sets the client of a group on this node, before messages arrive. */
  void AddClient(const std::string& group, Handler handler);

  /** Sends a message; it may be lost. */
  void Send(const std::string& to, const GroupMessage& message);

 private:
  void Receive(const std::string& from, const std::string& payload);

  ControlChannel& channel_;
  std::map<std::string, Handler> members_;
  std::map<std::string, Handler> clients_;
};

}  // namespace borageloft::node

#endif  // BORAGELOFT_NODE_GROUP_HUB_H_
