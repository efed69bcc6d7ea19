#include "libraries/membership/lease_table.h"

#include <algorithm>

namespace borageloft::membership {

EntryState HeardStateOf(const NodeRecord& record) {
  const bool is_leaving =
      record.node_state == NodeState::kLeaving ||
      (record.upstream.has_value() && record.upstream->state == UpstreamState::kLeaving);
  return is_leaving ? EntryState::kLeaving : EntryState::kAlive;
}

LeaseTable::Verdict LeaseTable::Hear(const Lease& lease, base::TimePoint now) {
  const auto [position, is_new] = entries_.try_emplace(lease.record.node);
  LeaseEntry& entry = position->second;
  if (!is_new) {
    const Verdict verdict = Check(entry, lease.record);
    if (verdict == Verdict::kStale) {
      return TakeStale(entry, lease.sequence);
    }
    if (verdict != Verdict::kRenewed) {
      return verdict;
    }
    const bool is_same_life = entry.record.stamp.incarnation == lease.record.stamp.incarnation;
    if (is_same_life && lease.sequence <= entry.sequence) {
      return TakeStale(entry, lease.sequence);
    }
  }
  entry.stale_count = 0;
  entry.sequence = lease.sequence;
  entry.last_heard = now;
  entry.last_direct = now;
  return is_new ? (Adopt(entry, lease.record), Verdict::kChanged) : Adopt(entry, lease.record);
}

LeaseTable::Verdict LeaseTable::Learn(const RecordEntry& told, base::TimePoint now) {
  const auto [position, is_new] = entries_.try_emplace(told.record.node);
  LeaseEntry& entry = position->second;
  if (!is_new) {
    const Verdict verdict = Check(entry, told.record);
    if (verdict != Verdict::kRenewed) {
      return verdict;
    }
    if (told.record.stamp == entry.record.stamp) {
      return Verdict::kRenewed;  // Whether the node is heard is this registry's own judgement.
    }
  }
  if (entry.record.stamp.incarnation != told.record.stamp.incarnation) {
    entry.sequence = 0;
  }
  entry.last_heard = now;
  Adopt(entry, told.record);
  if (is_new && told.state == EntryState::kUnreachable) {
    entry.state = EntryState::kUnreachable;
    entry.changed = now;
  }
  return Verdict::kChanged;
}

LeaseTable::Verdict LeaseTable::Confirm(const Lease& lease, base::TimePoint heard,
                                        base::TimePoint now) {
  LeaseEntry* entry = Find(lease.record.node);
  if (entry == nullptr) {
    return Learn({lease.record, HeardStateOf(lease.record)}, now);
  }
  const Verdict verdict = Check(*entry, lease.record);
  if (verdict != Verdict::kRenewed) {
    return verdict;
  }
  if (entry->record.stamp.incarnation != lease.record.stamp.incarnation) {
    entry->sequence = 0;
  }
  entry->last_heard = std::max(entry->last_heard, heard);
  return Adopt(*entry, lease.record);
}

void LeaseTable::Remove(LeaseEntry& entry, base::TimePoint now) {
  entry.state = EntryState::kRemoved;
  entry.record.stamp.revision = kFencedRevision;
  entry.record.upstream.reset();
  entry.changed = now;
}

void LeaseTable::Fence(const std::string& node, std::uint64_t incarnation, base::TimePoint now) {
  LeaseEntry& entry = entries_[node];
  VERIFY(entry.record.stamp.incarnation <= incarnation);
  entry.record.node = node;
  entry.record.stamp.incarnation = incarnation;
  Remove(entry, now);
}

void LeaseTable::Prune(base::TimePoint limit) {
  std::erase_if(entries_, [limit](const auto& item) {
    return item.second.state == EntryState::kRemoved && item.second.changed < limit;
  });
}

LeaseEntry* LeaseTable::Find(const std::string& node) {
  const auto found = entries_.find(node);
  return found == entries_.end() ? nullptr : &found->second;
}

LeaseTable::Verdict LeaseTable::Check(const LeaseEntry& entry, const NodeRecord& record) const {
  const Stamp held = entry.record.stamp;
  if (record.stamp.incarnation < held.incarnation) {
    return Verdict::kFenced;
  }
  if (record.stamp.incarnation == held.incarnation) {
    if (entry.state == EntryState::kRemoved) {
      return Verdict::kFenced;
    }
    if (record.stamp < held) {
      return Verdict::kStale;
    }
    if (record.stamp == held ? record != entry.record
                             : !IsAllowedTransition(entry.record, record)) {
      return Verdict::kContradictory;
    }
  }
  return Verdict::kRenewed;
}

LeaseTable::Verdict LeaseTable::TakeStale(LeaseEntry& entry, std::uint64_t sequence) {
  // Delayed leases come between newer ones. A row of rising numbers below the known one comes from
  // a restarted node whose clock was set back and that drew the incarnation of its earlier life.
  constexpr int kRowOfAnotherLife = 3;
  entry.stale_count = sequence > entry.stale_sequence ? entry.stale_count + 1 : 0;
  entry.stale_sequence = sequence;
  return entry.stale_count >= kRowOfAnotherLife ? Verdict::kFenced : Verdict::kStale;
}

LeaseTable::Verdict LeaseTable::Adopt(LeaseEntry& entry, const NodeRecord& record) {
  // An older incarnation never replaces a newer one.
  VERIFY(record.stamp >= entry.record.stamp);
  // A removed incarnation never comes back.
  VERIFY(entry.state != EntryState::kRemoved ||
         record.stamp.incarnation > entry.record.stamp.incarnation);
  // Within one announcement an upstream only moves forward, so leaving never becomes serving.
  VERIFY(record.stamp == entry.record.stamp || IsAllowedTransition(entry.record, record));
  const EntryState heard = HeardStateOf(record);
  const bool was_hidden =
      entry.state == EntryState::kUnreachable || entry.state == EntryState::kRemoved;
  const bool is_changed = was_hidden || entry.record != record;
  entry.record = record;
  entry.state = heard;
  entry.is_answered = false;
  return is_changed ? Verdict::kChanged : Verdict::kRenewed;
}

}  // namespace borageloft::membership
