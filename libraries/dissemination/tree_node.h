#ifndef BORAGELOFT_DISSEMINATION_TREE_NODE_H_
#define BORAGELOFT_DISSEMINATION_TREE_NODE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libraries/base/base.h"
#include "libraries/dissemination/messages.h"
#include "libraries/dissemination/note_buffer.h"

namespace borageloft::dissemination {

/** Part that a process plays in the tree. */
enum class TreeRole : std::uint8_t { kNode, kControlHost };

/** Where a node goes when its parent is silent. */
enum class OrphanPolicy : std::uint8_t {
  kNearestAncestor,  ///< The next candidate: grandparent, then control hosts.
  kControlHost,      ///< A control host at once; kept for the comparison of both.
};

/** Identity, intervals and bounds of a tree node. */
struct TreeNodeSettings {
  std::string node;
  std::string zone;     ///< May be empty for a control host, which then does not count itself.
  std::string address;  ///< Where parents reach this node, as IP:port.
  TreeRole role = TreeRole::kNode;
  std::vector<std::string> control_hosts;  ///< Of the region.
  std::vector<std::string> report_to;      ///< For a control host: the others, in all regions.
  OrphanPolicy orphan_policy = OrphanPolicy::kNearestAncestor;
  base::Duration status_interval = std::chrono::seconds(1);
  double jitter = 0.1;
  /// Changes of the numbers below within this time are reported together.
  base::Duration coalesce = std::chrono::milliseconds(50);
  /// An unanswered status is sent again after this time; four in a row mean a silent parent. With
  /// 1% loss that errs once in six million rounds, and a silent parent is found within 2 s.
  base::Duration probe_timeout = std::chrono::milliseconds(250);
  int maximum_probes = 4;
  /// A note that a child has not confirmed is sent again; the interval doubles up to the maximum.
  base::Duration first_resend = std::chrono::milliseconds(100);
  base::Duration maximum_resend = std::chrono::seconds(1);
  base::Duration child_end = std::chrono::milliseconds(3500);
  base::Duration position_interval = std::chrono::seconds(10);
  base::Duration avoid_failed = std::chrono::seconds(10);
  /// A parent that is itself cut off from the control hosts for longer is given up. The age rises
  /// by up to one status interval per level, so it must exceed the depth of the tree.
  base::Duration maximum_root_age = std::chrono::seconds(8);
  std::size_t maximum_children = 128;
  std::size_t buffered_notes = 64;
  std::size_t buffered_bytes = std::size_t{4} * 1024 * 1024;
  std::size_t notes_per_feed = 16;
  std::size_t maximum_pending = 64;  ///< Notes held while an earlier one is missing.
};

/** What varies around a tree node. */
struct TreeNodeHooks {
  Send send;
  base::Random random;
  /// Puts the next note in force and persists its number. @return False when it cannot.
  std::function<bool(const ReleaseNote& note)> apply;
  /// Replaces the policy by a snapshot and persists its number. @return False when it cannot.
  std::function<bool(const ReleaseNote& snapshot)> install;
  /// @return The policy in force as a snapshot.
  std::function<ReleaseNote()> snapshot;
  /// On control hosts: a report of this or another control host about a zone.
  std::function<void(const StatusUp& report, base::TimePoint now)> on_report;
};

/** Counts since the start, for metrics. */
struct TreeNodeCounts {
  std::uint64_t duplicates = 0;
  std::uint64_t resends = 0;
  std::uint64_t snapshots_sent = 0;
  std::uint64_t parent_changes = 0;
  std::uint64_t conflicts = 0;  ///< Notes with the number in force and another digest.
};

/**
 * Runs on every node and control host: takes release notes from its parent, puts them in force in
 * order, forwards them to its children, and reports the numbers in force below it upward. A
 * control host has no parent; its notes come from the replicated log through Accept(). Numbers
 * only rise. Not thread-safe.
 */
class TreeNode {
 public:
  /**
   * @param incarnation Incarnation of this process.
   * @param number Number in force as persisted.
   */
  TreeNode(TreeNodeSettings settings, TreeNodeHooks hooks, std::uint64_t incarnation,
           std::uint64_t number, base::TimePoint now);

  /** Handles a message from another process. */
  void Receive(const std::string& from, const Message& message, base::TimePoint now);

  /** Sends what is due. To be called at least every 50 ms. */
  void Tick(base::TimePoint now);

  /** Takes a note from the replicated log, on a control host. */
  void Accept(const ReleaseNote& note, base::TimePoint now) { TakeNote(note, now); }

  /** Takes a snapshot from the replicated log, on a control host. */
  void AcceptSnapshot(const ReleaseNote& snapshot, base::TimePoint now) {
    TakeSnapshot(snapshot, now);
  }

  /** Sets on a control host whether its region is cut off; the nodes below are told. */
  void set_cut_off(bool is_cut_off) { is_cut_off_ = is_cut_off; }

  /** @return Whether the control hosts of the region are cut off, as far as was told. */
  bool is_cut_off() const { return is_cut_off_; }

  /** Leaves the tree when the process ends: the parent and the children are told at once. */
  void Leave();

  /** @return Number in force on this process. */
  std::uint64_t number() const { return number_; }

  /** @return The parent that has accepted this node; empty while there is none. */
  std::string parent() const { return is_attached_ ? parent_ : std::string(); }

  /** @return Time since this node was last joined to a control host through its ancestors. */
  base::Duration root_age(base::TimePoint now) const;

  std::size_t child_count() const { return children_.size(); }
  const TreeNodeCounts& counts() const { return counts_; }

 private:
  struct Child {
    std::string zone;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::uint64_t number = 0;
    std::uint64_t sent = 0;  // Number of the last note sent.
    bool wants_snapshot = false;
    ZoneReport report;
    base::TimePoint last_heard;
    base::TimePoint next_feed;
    base::Duration feed_interval{};
  };
  /// A parent on trial: the node moves there when it answers.
  struct Trial {
    std::string parent;
    base::TimePoint sent_at;
    int probes = 0;
  };

  void Handle(const std::string& from, const StatusUp& status, base::TimePoint now);
  void Handle(const std::string& from, const StatusDown& status, base::TimePoint now);
  void Handle(const Detach& detach, base::TimePoint now);
  void Handle(const Position& position, base::TimePoint now);

  void TakeNote(const ReleaseNote& note, base::TimePoint now);
  void TakeSnapshot(const ReleaseNote& snapshot, base::TimePoint now);
  void PutInForce(const ReleaseNote& note);
  void AfterAdvance(base::TimePoint now);
  void FeedChildren(base::TimePoint now);
  void Feed(const std::string& name, Child& child, base::TimePoint now);
  void EndSilentChildren(base::TimePoint now);

  ZoneReport ReportOf(const std::string& zone) const;
  StatusUp MakeStatus();
  void SendStatus(const std::string& to, base::TimePoint now);
  void SendHostReports(base::TimePoint now);
  void TickUpward(base::TimePoint now);
  void CheckParent(base::TimePoint now);
  void TickTrial(base::TimePoint now);
  void LeaveParent(base::TimePoint now);
  void BeginTrial(const std::string& parent, base::TimePoint now);
  void ChooseBetter(base::TimePoint now);
  void RequestPosition(base::TimePoint now);
  bool HasFailed(const std::string& parent, base::TimePoint now) const;
  bool IsControlHost(const std::string& name) const;
  void MarkDirty(base::TimePoint now);

  TreeNodeSettings settings_;
  TreeNodeHooks hooks_;
  std::uint64_t incarnation_;
  std::uint64_t number_;
  std::string digest_;  // Of the note in force; empty after a restart.
  std::uint64_t sequence_ = 0;
  base::TimePoint started_;
  NoteBuffer buffer_;
  std::map<std::uint64_t, ReleaseNote> pending_;
  std::map<std::string, Child> children_;
  TreeNodeCounts counts_;

  std::vector<std::string> candidates_;
  std::uint64_t position_version_ = 0;
  std::string parent_;
  bool is_attached_ = false;
  std::uint64_t awaited_ = 0;  // Sequence of the oldest unanswered status; 0 for none.
  base::TimePoint awaited_since_;
  base::TimePoint status_sent_;
  base::TimePoint next_status_;
  base::TimePoint last_root_;  // When this node was last known to be joined to a control host.
  base::TimePoint next_root_check_;
  bool wants_snapshot_ = false;
  std::optional<Trial> trial_;
  std::map<std::string, base::TimePoint> failed_;
  base::TimePoint next_position_;
  base::TimePoint position_asked_;
  bool is_position_awaited_ = false;
  std::size_t planner_ = 0;
  base::TimePoint next_better_;
  std::optional<base::TimePoint> dirty_since_;
  bool is_cut_off_ = false;
  std::set<std::string> reported_zones_;  // On a control host.
};

}  // namespace borageloft::dissemination

#endif  // BORAGELOFT_DISSEMINATION_TREE_NODE_H_
