#ifndef BORAGELOFT_DIRECTORY_DIRECTORY_VIEW_H_
#define BORAGELOFT_DIRECTORY_DIRECTORY_VIEW_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "libraries/directory/messages.h"

namespace borageloft::directory {

/** Names of nodes. */
using NodeSet = std::set<std::string>;

/**
 * Instances merged from several sources, such as the registries of control hosts. A record is kept
 * while any source lists it; otherwise a control host that is cut off from a node would remove it
 * for all others. Records are hints: the node on the host of an instance decides whether it takes a
 * request. Each change costs time for the records that it names only. Not thread-safe.
 */
class DirectoryView {
 public:
  /** Position in the changes of a source, from which further changes are requested. */
  struct Position {
    std::uint64_t epoch = 0;
    std::uint64_t revision = 0;
  };

  /** @return Last known position in the changes of @p source. */
  Position PositionAt(const std::string& source) const;

  /** Applies a sync answer of @p source. @return Nodes whose entry in records() changed. */
  NodeSet Apply(const std::string& source, const SyncAnswer& answer);

  /** Adds or replaces one record of @p source. @return Whether its entry in records() changed. */
  bool Put(const std::string& source, const InstanceRecord& record);

  /** Removes one record of @p source. @return Whether its entry in records() changed. */
  bool Erase(const std::string& source, const std::string& node);

  /** Removes all records of @p source. @return Nodes whose entry in records() changed. */
  NodeSet Forget(const std::string& source);

  /** Removes the records of all sources but @p source. @return As Forget(). */
  NodeSet ForgetOthers(const std::string& source);

  /** @return Records that have an instance, by node. */
  const std::map<std::string, InstanceRecord>& records() const { return merged_; }

 private:
  struct ListedRecord {
    InstanceRecord record;
    std::uint64_t arrival_order = 0;  // Order in which the records arrived.
  };

  struct Source {
    Position position;
    std::map<std::string, ListedRecord> records;
  };

  // Determines the entry of a node in records() anew. Returns whether it changed.
  bool Merge(const std::string& node);

  std::map<std::string, Source> sources_;
  std::map<std::string, InstanceRecord> merged_;
  std::uint64_t last_arrival_order_ = 0;
};

}  // namespace borageloft::directory

#endif  // BORAGELOFT_DIRECTORY_DIRECTORY_VIEW_H_
