#ifndef BORAGELOFT_DIRECTORY_REGISTRY_H_
#define BORAGELOFT_DIRECTORY_REGISTRY_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libraries/directory/messages.h"

namespace borageloft::directory {

/**
 * Registry of all nodes' records on a control host. It is soft state: nothing is stored, and a
 * record that is not renewed expires. Each change has a revision, so that a node requests only the
 * changes since its last request. Not thread-safe.
 */
class Registry {
 public:
  /**
   * @param epoch Identifies this registry; differs after each start of the control host.
   * @param lifetime Time after which a record that was not renewed is removed.
   * @param now Time of the start. The registry is considered complete one lifetime later.
   */
  Registry(std::uint64_t epoch, base::Duration lifetime, base::TimePoint now);

  /** Renews or replaces the record of a node. @return Whether the record changed. */
  bool Renew(const InstanceRecord& record, base::TimePoint now);

  /** Removes records that were not renewed, and marks the registry as complete when it is due. */
  void Expire(base::TimePoint now);

  /**
   * Writes the changes since the revision of @p request into @p answer, or the whole registry if
   * the request is for another epoch or its revision is too old.
   */
  void FillAnswer(const SyncRequest& request, SyncAnswer& answer) const;

  /** @return Nodes whose records have not expired. */
  std::vector<std::string> nodes() const;
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    InstanceRecord record;
    base::TimePoint renewed_at;
    std::uint64_t changed_at_revision = 0;
  };

  // Number of removals kept. A node that is further behind receives the whole registry.
  static constexpr std::size_t kMaxRemovals = 1024;

  std::uint64_t epoch_;
  base::Duration lifetime_;
  base::TimePoint complete_at_;
  bool is_complete_ = false;
  std::uint64_t revision_ = 1;
  std::map<std::string, Entry> entries_;
  std::map<std::uint64_t, std::string> removals_;  // By the revision of the removal.
  std::uint64_t oldest_kept_revision_ = 1;         // Removals up to this revision may be discarded.
};

}  // namespace borageloft::directory

#endif  // BORAGELOFT_DIRECTORY_REGISTRY_H_
