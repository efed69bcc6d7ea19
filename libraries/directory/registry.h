#ifndef BORAGELOFT_DIRECTORY_REGISTRY_H_
#define BORAGELOFT_DIRECTORY_REGISTRY_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "libraries/directory/versioned_records.h"

namespace borageloft::directory {

/**
 * Registry of the records that nodes renew at a control host. It is soft state: nothing is stored,
 * and a record that is not renewed expires. Not thread-safe.
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

  /**
   * Removes records that were not renewed, and marks the registry as complete when it is due.
   * @return Nodes whose records were removed.
   */
  std::vector<std::string> Expire(base::TimePoint now);

  /**
   * Writes the changes since the position of @p request into @p answer, or the whole registry if
   * the request is for another epoch or its revision is too old.
   */
  void FillAnswer(const SyncRequest& request, SyncAnswer& answer) const;

  /** @return Whether every node has had time to renew its record since the start. */
  bool is_complete() const { return is_complete_; }
  std::uint64_t epoch() const { return records_.epoch(); }
  std::uint64_t revision() const { return records_.revision(); }
  std::size_t size() const { return records_.size(); }

 private:
  base::Duration lifetime_;
  base::TimePoint complete_at_;
  bool is_complete_ = false;
  VersionedRecords records_;
  std::unordered_map<std::string, base::TimePoint> renewed_at_;
};

}  // namespace borageloft::directory

#endif  // BORAGELOFT_DIRECTORY_REGISTRY_H_
