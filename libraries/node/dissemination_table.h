#ifndef BORAGELOFT_NODE_DISSEMINATION_TABLE_H_
#define BORAGELOFT_NODE_DISSEMINATION_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libraries/dissemination/dissemination.h"
#include "libraries/membership/membership.h"
#include "libraries/node/node_services.h"
#include "libraries/node/note_table.h"

namespace borageloft::node {

/** Nodes of this control host's region. */
struct RegionView {
  std::vector<membership::RecordEntry> nodes;
  bool is_settled = false;  ///< The registry had time to hear every node.
};

/** What varies around a dissemination table. */
struct DisseminationHooks {
  /// Sends a message on the dissemination channel; it may be lost.
  std::function<void(const std::string& to, std::string payload)> send;
  /// Learns where a node is reached.
  std::function<void(const std::string& node, const settings::Endpoint& endpoint)> learn;
  /// @return What the registry knows; called on control hosts only.
  std::function<RegionView()> view_region;
};

/** The release note in force in one zone. */
struct ZoneInForce {
  std::string zone;
  std::uint64_t nodes = 0;           ///< Nodes that are waited for.
  std::uint64_t lowest_number = 0;   ///< In force on each of them; it never falls.
  std::uint64_t unreachable = 0;     ///< Nodes that are not waited for.
  std::vector<std::string> missing;  ///< The first names of these.
  base::Duration age{};              ///< Time since the last report about the zone.
};

/** State of the tree as seen by this process. */
struct DisseminationStatus {
  std::string parent;  ///< Empty on control hosts and while there is none.
  base::Duration root_age{};
  bool is_cut_off = false;
  std::vector<ZoneInForce> zones;
};

/**
 * The node's place in the tree of release notes, and on a control host the plan of its region's
 * trees and the tracker of the numbers in force in all zones.
 *
 * Thread-safe. Its lock is the first in the order, because a note is put in force while it is
 * held: notes take effect in order, and a number is reported only once it is durable and in force.
 * Call it with no lock held.
 */
class DisseminationTable {
 public:
  /**
   * @param incarnation Incarnation of this process.
   * @param address Address for other nodes.
   * @param notes Takes the notes; its number is where this node begins.
   */
  DisseminationTable(const NodeServices& services, std::uint64_t incarnation,
                     const settings::Endpoint& address, NoteTable& notes, DisseminationHooks hooks);

  /**
   * Takes an accepted note, on a control host. A note above the next number waits for its turn. One
   * that cannot be saved is dropped and logged: the number of the note table does not rise, and the
   * caller has to accept the note again or a snapshot.
   */
  void Accept(const note_log::Note& note);

  /** Takes the policy as of a number in place of all notes up to it, on a control host. */
  void AcceptSnapshot(const note_log::PolicyChain& chain);

  /** Handles a message of the dissemination channel. @throws dissemination::Error */
  void Receive(const std::string& from, const std::string& payload);

  /** Sends what is due. Call it at least every 50 ms. */
  void Tick();

  /** Tells the parent and the children that this process ends; nothing is sent afterwards. */
  void Leave();

  /** @return State of the tree; on other nodes it names only their own zone. */
  DisseminationStatus status() const;

  /**
   * Without contact for longer, a node or region counts as cut off. It exceeds the age at which a
   * node gives up a parent that is cut off itself (8 s), so that other parents are tried first.
   */
  static constexpr base::Duration kCutOffAfter = std::chrono::seconds(10);

 private:
  struct PlannedNode {
    std::string zone;
    std::string address;
    std::optional<base::TimePoint> asked;  // When it last asked this host for its position.
  };
  struct ZoneNodes {
    std::vector<std::string> reachable;
    std::vector<std::string> unreachable;
    bool operator==(const ZoneNodes&) const = default;
  };

  dissemination::TreeNodeHooks MakeTreeHooks(const std::string& node);
  void MakeControlParts();
  bool Apply(const dissemination::ReleaseNote& note, const note_log::NoteDelta& delta);
  dissemination::ReleaseNote MakeSnapshot() const;
  void Send(const std::string& to, const dissemination::Message& message);
  void Learn(const std::string& node, const std::string& address);
  void AnswerPosition(const std::string& from, const dissemination::PositionRequest& request,
                      base::TimePoint now);
  void SendPosition(const std::string& node, dissemination::Position position);
  void SendChangedPositions(base::TimePoint now);
  bool IsControlHost(const std::string& node) const { return control_regions_.contains(node); }
  void RefreshRegion(base::TimePoint now);
  void UpdatePlan(const RegionView& view, base::TimePoint now);
  void UpdateExpected(const RegionView& view, base::TimePoint now);
  void SendExpected(const std::string& zone);
  bool IsRegionCutOff(base::TimePoint now) const;
  std::vector<ZoneInForce> ListZones(base::TimePoint now) const;

  const NodeServices& services_;
  NoteTable& notes_;
  const DisseminationHooks hooks_;
  std::map<std::string, std::string> control_regions_;  // Region by control host.

  mutable base::RankedMutex mutex_{base::LockRank::kDissemination};
  std::unique_ptr<dissemination::TreeNode> tree_;
  bool has_left_ = false;

  // On control hosts.
  std::unique_ptr<dissemination::TreePlan> plan_;
  std::unique_ptr<dissemination::InForceTracker> tracker_;
  std::map<std::string, PlannedNode> planned_;
  std::map<std::string, ZoneNodes> expected_;           // Zones of the region.
  std::map<std::string, base::TimePoint> other_zones_;  // When they were last told.
  std::map<std::string, base::TimePoint> other_regions_heard_;
  base::TimePoint next_refresh_;
  base::TimePoint next_expected_;
};

}  // namespace borageloft::node

#endif  // BORAGELOFT_NODE_DISSEMINATION_TABLE_H_
