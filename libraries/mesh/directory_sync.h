#ifndef BORAGELOFT_MESH_DIRECTORY_SYNC_H_
#define BORAGELOFT_MESH_DIRECTORY_SYNC_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libraries/directory/directory.h"

namespace borageloft::mesh {

/** Hooks of a DirectorySync. */
struct DirectorySyncHooks {
  base::Clock clock;
  /** Clock that also counts the time for which the machine was suspended. */
  base::Clock suspension_aware_clock;
  /** Sends bytes to the control host at an address; they may be lost. */
  std::function<void(const std::string& address, std::string bytes)> send;
  /** Called with the nodes whose records have changed. */
  std::function<void(const directory::NodeSet& changed)> on_records;
  /** Called with a declaration that is newer than all those received before. */
  std::function<void(std::uint64_t version, const std::string& text)> on_declaration;
};

/**
 * Synchronizes a node with the control hosts. It fetches records and declarations from one of them,
 * preferably of its own zone, so that its traffic does not grow with their number and crosses few
 * borders of zones. It renews its own record there and at a second control host, so that no single
 * one is needed to make it known. While the first does not answer or is not in contact with the
 * leader, the node asks the others for newer declarations and moves to one of them. Not
 * thread-safe.
 */
class DirectorySync {
 public:
  /** @param zone Availability zone of this node. */
  DirectorySync(std::string zone, std::vector<std::string> seeds, DirectorySyncHooks hooks);

  /** Replaces the seeds, the control hosts that are known in addition to those learned. */
  void SetSeeds(std::vector<std::string> seeds);

  /** Sets the node's own record; a changed record is sent immediately. */
  void SetRecord(const directory::InstanceRecord& record);

  /** Sends the requests that are due. Must be called every poll_interval(). */
  void Poll();

  /** @return Time until the next poll. */
  base::Duration poll_interval() const {
    return has_current_answer_ ? kPollInterval : kInitialPollInterval;
  }

  /** Handles the answer of a control host. */
  void Receive(const std::string& from, const directory::SyncAnswer& answer);

  /** Sets whether the age of the declaration in force must be bounded, which costs some bytes. */
  void set_needs_age(bool needs_age) { needs_age_ = needs_age; }

  /**
   * @return Time for which a declaration may have been in force that this node does not know;
   *     nothing if there is no bound.
   */
  std::optional<base::Duration> Age() const;

  const directory::DirectoryView& view() const { return view_; }
  /** @return Version of the newest declaration received. */
  std::uint64_t version() const { return version_; }
  /** @return Number of control hosts whose last answer has not expired. */
  std::size_t reachable_hosts() const;
  /**
   * @return Control hosts at which a message that must arrive soon is sent: the two that answer
   *     best, and all known ones while fewer than two answer.
   */
  std::vector<std::string> HostsToReach() const;
  /** @return Control host that records are fetched from; empty if none has answered. */
  const std::string& preferred_host() const { return preferred_; }

  /** Time between two polls. Two intervals, including one lost message, stay well below 1 s. */
  static constexpr std::chrono::milliseconds kPollInterval{300};
  /** Time between two polls while the node cannot serve yet. */
  static constexpr std::chrono::milliseconds kInitialPollInterval{100};

 private:
  // What is known of a control host from its answers.
  struct Host {
    std::string zone;
    bool has_answered = false;
    bool is_current = false;       // Whether it was in contact with the leader.
    base::TimePoint current_at{};  // When it was last known to be in contact with the leader.
    std::optional<base::TimePoint> awaited_since;  // Of the first request since its last answer.
  };

  void Send(const std::string& host, directory::SyncKind kind);
  void LearnAge(const directory::SyncAnswer& answer);
  void SendToOthers();
  void ExpireHosts(base::TimePoint now);
  void SelectHosts();
  void UpdateHosts(const std::vector<std::string>& hosts);
  std::uint64_t RankOf(const std::string& name, const Host& host) const;
  bool IsReachable(const Host& host) const;
  bool NeedsOthers() const;

  // The records received from a control host are dropped after this long without an answer.
  static constexpr std::chrono::seconds kHostExpiry{8};
  // Time without an answer after which a control host is taken to be unreachable: two polls.
  static constexpr std::chrono::milliseconds kAnswerTimeout{590};
  // The second control host is asked in one of this many polls: a record lives for three times as
  // long there as it takes to renew it.
  static constexpr unsigned kPollsPerRenewal = 5;
  // Time without contact to the leader after which a control host is left for one that has contact.
  // An election interrupts the contact of all of them for about this long.
  static constexpr std::chrono::milliseconds kContactGrace{900};

  std::string zone_;
  std::set<std::string> seeds_;
  DirectorySyncHooks hooks_;
  directory::DirectoryView view_;
  directory::InstanceRecord record_;
  std::map<std::string, Host> hosts_;
  std::string preferred_;   // Control host that records are fetched from.
  std::string second_;      // Control host at which the own record is renewed as well.
  std::string last_asked_;  // Of the others, which are asked in turn.
  unsigned polls_ = 0;
  std::uint64_t version_ = 0;
  bool needs_age_ = false;
  std::optional<base::TimePoint> known_as_of_;  // On the clock that counts suspension.
  bool has_current_answer_ = false;  // A control host in contact with the leader has answered.
};

}  // namespace borageloft::mesh

#endif  // BORAGELOFT_MESH_DIRECTORY_SYNC_H_
