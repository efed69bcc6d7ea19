#ifndef BORAGELOFT_DIRECTORY_DIRECTORY_VIEW_H_
#define BORAGELOFT_DIRECTORY_DIRECTORY_VIEW_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libraries/directory/messages.h"

namespace borageloft::directory {

/**
 * All instances known to a node, merged from the registries of several control hosts. A record is
 * kept while any control host lists it; otherwise a control host that is cut off from a node would
 * remove it for all others. Records are hints: the node on the host of an instance decides
 * whether it takes a request. Not thread-safe.
 */
class DirectoryView {
 public:
  /** Position in the changes of a registry, from which a node requests further changes. */
  struct Position {
    std::uint64_t epoch = 0;
    std::uint64_t revision = 0;
  };

  /** @return Last known position in the registry of @p control_host. */
  Position PositionAt(const std::string& control_host) const;

  /** Applies a sync response of @p control_host. @return Whether any record changed. */
  bool Apply(const std::string& control_host, const SyncAnswer& answer);

  /**
   * Removes the records of @p control_host, which has not responded for too long.
   * @return Whether any record changed.
   */
  bool Forget(const std::string& control_host);

  /** @return Records that have an instance, by node. */
  const std::map<std::string, InstanceRecord>& records() const { return merged_; }

 private:
  struct Source {
    Position position;
    std::map<std::string, InstanceRecord> records;
    std::map<std::string, std::uint64_t> arrival_order;  // Order in which the records arrived.
  };

  bool Merge();

  std::map<std::string, Source> sources_;
  std::map<std::string, InstanceRecord> merged_;
  std::uint64_t last_arrival_order_ = 0;
};

}  // namespace borageloft::directory

#endif  // BORAGELOFT_DIRECTORY_DIRECTORY_VIEW_H_
