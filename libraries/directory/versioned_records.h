#ifndef BORAGELOFT_DIRECTORY_VERSIONED_RECORDS_H_
#define BORAGELOFT_DIRECTORY_VERSIONED_RECORDS_H_

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "libraries/directory/messages.h"

namespace borageloft::directory {

/**
 * Records of nodes with a revision for each change, from which the changes since a revision are
 * found without a scan of all records. Not thread-safe.
 */
class VersionedRecords {
 public:
  /** @param epoch Identifies these revisions; differs after each start of the control host. */
  explicit VersionedRecords(std::uint64_t epoch) : epoch_(epoch) {}

  /** Adds or replaces the record of a node. */
  void Set(const InstanceRecord& record);

  /** Removes the record of a node, if there is one. */
  void Remove(const std::string& node);

  /** Starts a new epoch: every reader receives all records once. */
  void BeginEpoch() { ++epoch_; }

  /**
   * Writes the changes since the position of @p request into @p answer, or all records if the
   * request is for another epoch or its revision is too old.
   */
  void FillAnswer(const SyncRequest& request, SyncAnswer& answer) const;

  /** @return Record of @p node, or null if there is none. */
  const InstanceRecord* Find(const std::string& node) const;

  std::uint64_t epoch() const { return epoch_; }
  std::uint64_t revision() const { return revision_; }
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    InstanceRecord record;
    std::uint64_t changed_at_revision = 0;
  };

  // Number of removals kept. A reader that is further behind receives all records.
  static constexpr std::size_t kMaxRemovals = 1024;

  std::uint64_t epoch_;
  std::uint64_t revision_ = 1;
  std::unordered_map<std::string, Entry> entries_;
  std::map<std::uint64_t, std::string> changes_;   // Nodes by the revision of their last change.
  std::map<std::uint64_t, std::string> removals_;  // By the revision of the removal.
  std::uint64_t oldest_kept_revision_ = 1;         // Removals up to this revision may be discarded.
};

}  // namespace borageloft::directory

#endif  // BORAGELOFT_DIRECTORY_VERSIONED_RECORDS_H_
