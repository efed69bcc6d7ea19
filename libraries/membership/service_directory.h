#ifndef BORAGELOFT_MEMBERSHIP_SERVICE_DIRECTORY_H_
#define BORAGELOFT_MEMBERSHIP_SERVICE_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libraries/base/base.h"
#include "libraries/membership/messages.h"
#include "libraries/membership/view_follower.h"

namespace borageloft::membership {

/** What came of a delta. */
struct DeltaResult {
  bool is_changed = false;
  bool has_gap = false;  ///< Changes are missing: ask for what is newer than version_of().
};

/**
 * The upstreams of the services that a node subscribes to. Records are ordered by stamp for each
 * node and service, so a delayed delta or a registry that lags cannot bring back an older record
 * or a removed incarnation. Not thread-safe.
 */
class ServiceDirectory {
 public:
  /** Begins to hold @p service. @return False when it is held already. */
  bool Add(const std::string& service);

  /** Drops @p service and its upstreams. */
  void Remove(const std::string& service);

  /** Follows another registry: each service needs a full transfer, and shows its last view. */
  void FollowAnew();

  /** Applies a delta; those of services that are not held are ignored. */
  DeltaResult Apply(const ServiceDelta& delta, base::TimePoint now);

  /**
   * @return At most kMaximumRecords incarnations that the followed registry shows although they
   * are removed or older than known ones. It has to learn of it, so that their nodes take new
   * incarnations.
   */
  std::vector<Fence> Conflicts() const;

  /** Forgets what was removed before @p limit. */
  void Prune(base::TimePoint limit);

  /** @return The upstreams of a service; empty when it is not held. */
  std::vector<RecordEntry> Upstreams(const std::string& service) const;

  /** @return Version of a service's view in @p life of the registry; 0 when it has none. */
  std::uint64_t version_of(const std::string& service, std::uint64_t life) const;

  bool is_held(const std::string& service) const { return views_.contains(service); }
  std::vector<std::string> services() const;
  std::size_t service_count() const { return views_.size(); }
  std::size_t size() const;

 private:
  struct Known {
    RecordEntry entry;  // With kRemoved, only the stamp counts.
    base::TimePoint changed;
    std::uint64_t shown = 0;  // Unacceptable incarnation that the followed registry shows.
  };
  struct View {
    ViewFollower follower;
    std::map<std::string, Known> known;
  };

  static void ApplyEntry(View& view, const std::string& service, const RecordEntry& entry,
                         base::TimePoint now, DeltaResult& result);
  static void Sweep(View& view, base::TimePoint now, DeltaResult& result);

  std::map<std::string, View> views_;
};

}  // namespace borageloft::membership

#endif  // BORAGELOFT_MEMBERSHIP_SERVICE_DIRECTORY_H_
