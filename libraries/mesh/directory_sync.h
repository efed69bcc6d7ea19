#ifndef BORAGELOFT_MESH_DIRECTORY_SYNC_H_
#define BORAGELOFT_MESH_DIRECTORY_SYNC_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "libraries/directory/directory.h"

namespace borageloft::mesh {

/** Hooks of a DirectorySync. */
struct DirectorySyncHooks {
  base::Clock clock;
  /** Sends bytes to the control host at an address; they may be lost. */
  std::function<void(const std::string& address, std::string bytes)> send;
  /** Called after the set of instance records has changed. */
  std::function<void()> on_records;
  /** Called with a declaration that is newer than all those received before. */
  std::function<void(std::uint64_t version, const std::string& text)> on_declaration;
};

/**
 * Synchronizes a node with the control hosts: renews the node's own record there and fetches the
 * records of other nodes and new declarations. It polls the control hosts in turn, so that one that
 * is unreachable or stale delays updates only briefly; after a start it polls all of them at once.
 * Not thread-safe.
 */
class DirectorySync {
 public:
  DirectorySync(std::vector<std::string> seeds, DirectorySyncHooks hooks);

  /** Replaces the seeds, the control hosts that are polled in addition to those learned. */
  void SetSeeds(std::vector<std::string> seeds);

  /** Sets the node's own record; a changed record is sent to every control host immediately. */
  void SetRecord(const directory::InstanceRecord& record);

  /**
   * Polls the next control host, or all of them until one that is in contact with the leader has
   * answered, because the node cannot serve before that. Must be called every poll_interval().
   */
  void Poll();

  /** @return Time until the next poll. */
  base::Duration poll_interval() const {
    return has_current_answer_ ? kPollInterval : kInitialPollInterval;
  }

  /** Handles the answer of a control host. */
  void Receive(const std::string& from, const directory::SyncAnswer& answer);

  const directory::DirectoryView& view() const { return view_; }
  /** @return Version of the newest declaration received. */
  std::uint64_t version() const { return version_; }
  /** @return Number of control hosts whose last answer has not expired. */
  std::size_t reachable_hosts() const;

  /** Time between two polls. Two intervals, including one lost message, stay well below 1 s. */
  static constexpr std::chrono::milliseconds kPollInterval{300};
  /** Time between two polls while the node cannot serve yet. */
  static constexpr std::chrono::milliseconds kInitialPollInterval{100};

 private:
  void SendSyncRequest(const std::string& host);
  void UpdateHosts(const std::vector<std::string>& hosts);

  // The records received from a control host are dropped after this long without an answer.
  static constexpr std::chrono::seconds kHostExpiry{8};
  // Rounds that an unreachable control host is skipped for each round in which it is polled.
  static constexpr unsigned kSkippedRoundsPerPoll = 2;

  std::set<std::string> seeds_;
  DirectorySyncHooks hooks_;
  directory::DirectoryView view_;
  directory::InstanceRecord record_;
  std::set<std::string> hosts_;
  std::map<std::string, base::TimePoint> last_answers_;
  // Requests and skipped rounds since the last answer.
  std::map<std::string, unsigned> unanswered_rounds_;
  std::string last_polled_;
  std::uint64_t version_ = 0;
  bool has_current_answer_ = false;  // A control host in contact with the leader has answered.
};

}  // namespace borageloft::mesh

#endif  // BORAGELOFT_MESH_DIRECTORY_SYNC_H_
