#ifndef BORAGELOFT_MEMBERSHIP_LEASE_TABLE_H_
#define BORAGELOFT_MEMBERSHIP_LEASE_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "libraries/base/base.h"
#include "libraries/membership/messages.h"

namespace borageloft::membership {

/** One node of the region. A removed one stays as a fence against its old incarnation. */
struct LeaseEntry {
  NodeRecord record;
  EntryState state = EntryState::kAlive;
  std::uint64_t sequence = 0;
  std::uint64_t stale_sequence = 0;  ///< Of the last lease that came too late.
  int stale_count = 0;  ///< Leases in rising order since the last accepted one that came too late.
  base::TimePoint last_heard;   ///< By this registry or, confirmed, by another one.
  base::TimePoint last_direct;  ///< By this registry.
  base::TimePoint suspect_since;
  base::TimePoint last_asked;    ///< When other registries were last asked about it.
  base::TimePoint changed;       ///< When it became unreachable or removed.
  std::uint64_t challenged = 0;  ///< Incarnations up to this one have to be replaced
  std::uint64_t above = 0;       ///< by one above this.
  bool is_answered = false;      ///< Another registry answered the question since the suspicion.
};

/** @return State of a node that is heard: kLeaving when it or its upstream leaves. */
EntryState HeardStateOf(const NodeRecord& record);

/**
 * The nodes of a registry's own region, fenced by incarnation. Each change of an entry passes
 * through Adopt(), which holds the invariants. Not thread-safe.
 */
class LeaseTable {
 public:
  /** What came of a lease or record. */
  enum class Verdict : std::uint8_t {
    kRenewed,        ///< Accepted, nothing new in it.
    kChanged,        ///< Accepted with new content or a new state.
    kStale,          ///< Older than what is known, or a duplicate.
    kFenced,         ///< Its incarnation is older than the known one or was removed.
    kContradictory,  ///< Its content contradicts the known content of the same announcement.
  };

  /** Takes a lease that the node itself sent. */
  Verdict Hear(const Lease& lease, base::TimePoint now);

  /**
   * Takes a record that another registry holds.
   * @param told State in that registry: kUnreachable is kept when the node is new here.
   */
  Verdict Learn(const RecordEntry& told, base::TimePoint now);

  /** Takes the confirmation of another registry that it heard the node at @p heard. */
  Verdict Confirm(const Lease& lease, base::TimePoint heard, base::TimePoint now);

  /** Removes an entry and fences its incarnation. */
  void Remove(LeaseEntry& entry, base::TimePoint now);

  /** Fences @p incarnation of a node that is not held or not heard. */
  void Fence(const std::string& node, std::uint64_t incarnation, base::TimePoint now);

  /** Forgets what was removed before @p limit. */
  void Prune(base::TimePoint limit);

  /** @return The entry or null. */
  LeaseEntry* Find(const std::string& node);

  std::map<std::string, LeaseEntry>& entries() { return entries_; }
  const std::map<std::string, LeaseEntry>& entries() const { return entries_; }

 private:
  Verdict Check(const LeaseEntry& entry, const NodeRecord& record) const;
  static Verdict TakeStale(LeaseEntry& entry, std::uint64_t sequence);
  static Verdict Adopt(LeaseEntry& entry, const NodeRecord& record);

  std::map<std::string, LeaseEntry> entries_;
};

}  // namespace borageloft::membership

#endif  // BORAGELOFT_MEMBERSHIP_LEASE_TABLE_H_
