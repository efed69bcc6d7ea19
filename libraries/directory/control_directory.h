#ifndef BORAGELOFT_DIRECTORY_CONTROL_DIRECTORY_H_
#define BORAGELOFT_DIRECTORY_CONTROL_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <string>

#include "libraries/directory/directory_view.h"
#include "libraries/directory/registry.h"
#include "libraries/directory/versioned_records.h"

namespace borageloft::directory {

/**
 * Directory of a control host: the records that nodes renew here, merged with those that the other
 * control hosts exchange with it. A change thus crosses to each control host once, and nodes fetch
 * it from a control host of their own zone. Only records renewed here are exchanged, so no record
 * outlives its node by travelling between control hosts. Not thread-safe.
 */
class ControlDirectory {
 public:
  /**
   * @param epoch Identifies this directory; differs after each start of the control host.
   * @param lifetime Time after which a record that was not renewed is removed.
   * @param now Time of the start. The directory is considered complete one lifetime later.
   */
  ControlDirectory(std::uint64_t epoch, base::Duration lifetime, base::TimePoint now);

  /** Renews or replaces the record of a node. */
  void Renew(const InstanceRecord& record, base::TimePoint now);

  /** @return Request for the records that nodes renew at @p control_host. */
  SyncRequest ExchangeRequest(const std::string& control_host) const;

  /** Applies an answer of @p control_host to an exchange request. */
  void Receive(const std::string& control_host, const SyncAnswer& answer, base::TimePoint now);

  /** Removes records that were not renewed, and those of control hosts that are silent too long. */
  void Expire(base::TimePoint now);

  /** Writes what @p request asks for into @p answer. */
  void FillAnswer(const SyncRequest& request, SyncAnswer& answer) const;

  /** @return Whether a record that nodes renew here has changed since TakeChanges(). */
  bool has_changes() const { return renewed_.revision() != taken_revision_; }

  /** @return The changes of records renewed here since the last call, for other control hosts. */
  SyncAnswer TakeChanges();

  /** @return Number of instances known. */
  std::size_t size() const { return view_.records().size(); }

 private:
  void Serve(const std::string& node);
  void Serve(const NodeSet& changed);

  // The records of a control host are dropped after this long without an answer.
  static constexpr std::chrono::seconds kHostExpiry{8};

  Registry renewed_;
  DirectoryView view_;
  VersionedRecords served_;
  std::map<std::string, base::TimePoint> last_answers_;
  std::uint64_t taken_revision_;
};

}  // namespace borageloft::directory

#endif  // BORAGELOFT_DIRECTORY_CONTROL_DIRECTORY_H_
