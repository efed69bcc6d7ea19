#ifndef BORAGELOFT_MEMBERSHIP_VERSIONED_RECORDS_H_
#define BORAGELOFT_MEMBERSHIP_VERSIONED_RECORDS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libraries/base/base.h"
#include "libraries/membership/messages.h"

namespace borageloft::membership {

/**
 * Sending side of a versioned view: each entry holds the version of its last change, so that the
 * changes after any version can be sent without a log. Removed entries stay, marked kRemoved,
 * until they are pruned. Not thread-safe.
 */
class VersionedRecords {
 public:
  /** Sets an entry. @param version Version of the change; it rises with each call. */
  void Put(const RecordEntry& entry, std::uint64_t version, base::TimePoint now);

  /** Raises the version without a change, so that an empty view has a version other than 0. */
  void Touch(std::uint64_t version);

  /** @return The entry of @p node, or null. */
  const RecordEntry* Find(const std::string& node) const;

  /** @return Version of the last change; 0 before the first. */
  std::uint64_t version() const { return version_; }

  /**
   * @param after Version that the receiver has; 0 for none.
   * @return The chunks that bring it to version(), without life; none when it is there. A receiver
   * behind the last pruned version gets a full transfer.
   */
  std::vector<ViewChunk> Since(std::uint64_t after) const;

  /** Forgets the entries that were removed before @p limit. */
  void Prune(base::TimePoint limit);

  std::size_t size() const { return items_.size(); }

 private:
  struct Item {
    RecordEntry entry;
    std::uint64_t version = 0;
    base::TimePoint changed;
  };

  std::map<std::string, Item> items_;
  std::map<std::uint64_t, std::string> order_;  // By version of the last change.
  std::uint64_t version_ = 0;
  std::uint64_t pruned_ = 0;
};

}  // namespace borageloft::membership

#endif  // BORAGELOFT_MEMBERSHIP_VERSIONED_RECORDS_H_
