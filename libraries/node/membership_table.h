#ifndef BORAGELOFT_NODE_MEMBERSHIP_TABLE_H_
#define BORAGELOFT_NODE_MEMBERSHIP_TABLE_H_

#include <atomic>
#include <condition_variable>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libraries/membership/membership.h"
#include "libraries/node/control_channel.h"
#include "libraries/node/node_services.h"
#include "libraries/node/routing_table.h"

namespace borageloft::node {

/** One upstream as `borageloft upstreams` lists it. */
struct ListedUpstream {
  membership::RecordEntry entry;
  base::Duration lease_age{};
};

/**
 * The node's lease and directory, and on a control host the registry as well. Messages travel on
 * the membership channel. Thread-safe.
 */
class MembershipTable {
 public:
  /**
   * @param incarnation Source of this node's incarnations; its Next() was called once.
   * @param address Address for other nodes.
   */
  MembershipTable(const NodeServices& services, membership::Incarnation& incarnation,
                  const settings::Endpoint& address, ControlChannel& channel, RoutingTable& routes);

  /** Sets what is known of the local upstream. */
  void SetUpstream(const std::optional<membership::UpstreamData>& upstream);

  /** Tells the control hosts that this process leaves or ends. */
  void SetNodeState(membership::NodeState state);

  /** Subscribes to a service; at the first time waits a little for its view, @p until at most. */
  void Discover(const std::string& service, base::TimePoint until);

  /** Sends what is due. Call it at least every 100 ms. */
  void Tick();

  /** @return Time since a control host was last heard. */
  base::Duration view_age() const;

  /**
   * @return Whether views were ever served to this node. A new deployment serves none until its
   * control hosts have heard all nodes; a node that is cut off later goes on with its last view.
   */
  bool has_been_served() const { return has_been_served_; }

  /** @return The upstreams that this node knows: all of its region on a control host. */
  std::vector<ListedUpstream> List(const std::string& service) const;

  /** @return Nodes of this region with their zone and state; empty on other nodes. */
  std::vector<membership::RecordEntry> RegionNodes() const;

  /** @return Whether this control host's registry had time to hear all nodes of the region. */
  bool is_registry_settled() const;

 private:
  void Receive(const std::string& from, const std::string& payload);
  void HandleViewChange(const std::string& service);
  void SendMessage(const std::string& to, const membership::Message& message);

  const NodeServices& services_;
  ControlChannel& channel_;
  RoutingTable& routes_;
  mutable base::RankedMutex client_mutex_{base::LockRank::kMembership};
  std::condition_variable_any view_changed_;
  std::unique_ptr<membership::LeaseClient> client_;
  std::atomic<bool> has_been_served_ = false;
  mutable base::RankedMutex registry_mutex_{base::LockRank::kMembership};
  std::unique_ptr<membership::Registry> registry_;
};

}  // namespace borageloft::node

#endif  // BORAGELOFT_NODE_MEMBERSHIP_TABLE_H_
