#ifndef BORAGELOFT_CONSENSUS_RAFT_LOG_H_
#define BORAGELOFT_CONSENSUS_RAFT_LOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "libraries/consensus/entry.h"
#include "libraries/consensus/membership.h"
#include "libraries/consensus/snapshot.h"

namespace borageloft::consensus {

/**
 * In-memory log of one replica: the latest snapshot, the entries after it, the committed index and
 * the memberships in the entries. Committed entries are never changed; an attempt fails a VERIFY.
 */
class RaftLog {
 public:
  /**
   * @param snapshot Latest snapshot; everything up to its index counts as committed.
   * @param entries Entries without gaps. Those up to the snapshot's index are ignored.
   * @throws ConsensusError if the entries do not follow the snapshot without a gap, or if their
   * terms decrease.
   */
  RaftLog(SnapshotPointer snapshot, std::vector<Entry> entries);

  /** @return Index before the first entry held. */
  Index base_index() const { return base_index_; }
  /** @return Index of the last entry. */
  Index last_index() const { return base_index_ + records_.size(); }
  /** @return Term of the last entry. */
  Term last_term() const { return *TermAt(last_index()); }
  /** @return Committed index. It never decreases. */
  Index commit() const { return commit_; }
  /** @return Latest snapshot. */
  const SnapshotPointer& snapshot() const { return snapshot_; }

  /** @return Term of the entry at @p index, or nothing if it was compacted or is not in the log. */
  std::optional<Term> TermAt(Index index) const;

  /** @return Whether the log holds an entry with this index and term. */
  bool Matches(Index index, Term term) const { return TermAt(index) == term; }

  /** @return Whether a log that ends with (index, term) is at least as up to date as this one. */
  bool IsUpToDate(Index index, Term term) const;

  /** @return Highest index up to @p index whose term is at most @p term, or the base index. */
  Index FindAtMost(Index index, Term term) const;

  /** @return Entries from @p first to @p last, limited to @p max_bytes except for the first one. */
  std::vector<Entry> Slice(Index first, Index last, std::size_t max_bytes) const;

  /** @return Size in bytes of all entries held, including a fixed overhead per entry. */
  std::uint64_t bytes() const { return BytesAfter(base_index_); }

  /** @return Size in bytes of the entries above @p index, including a fixed overhead per entry. */
  std::uint64_t BytesAfter(Index index) const;

  /** Appends one entry, whose index must be last_index() + 1. */
  void Append(Entry entry);

  /**
   * Appends entries of a leader, removing those that conflict with them.
   * @return Index of the first entry that was removed, or nothing.
   */
  std::optional<Index> Merge(std::vector<Entry> entries);

  /** Advances the committed index to @p index, which must be in the log; a lower one is ignored. */
  void CommitTo(Index index);

  /** Replaces the whole log with a snapshot above the committed index. */
  void Install(SnapshotPointer snapshot);

  /**
   * Adopts a snapshot of this replica's own state machine and discards entries up to its index.
   * @param snapshot Snapshot at a committed index.
   * @param retained Number of entries up to the snapshot's index to keep for slow followers.
   * @param retained_bytes Limit of the size of those entries.
   */
  void Compact(SnapshotPointer snapshot, std::uint64_t retained, std::uint64_t retained_bytes);

  /** @return Latest membership in the log, committed or not. */
  const Membership& membership() const { return memberships_.back().second; }
  /** @return Index of the entry with membership(). */
  Index membership_index() const { return memberships_.back().first; }
  /** @return Membership in force after the entry at @p index. */
  const Membership& MembershipAt(Index index) const;

 private:
  struct Record {
    Entry entry;
    std::uint64_t end_bytes;  // Cumulative size of the entries up to this one.
  };

  const Record& At(Index index) const { return records_[index - base_index_ - 1]; }
  void Truncate(Index first);

  SnapshotPointer snapshot_;
  Index base_index_ = 0;
  Term base_term_ = 0;
  std::uint64_t base_bytes_ = 0;
  Index commit_ = 0;
  std::deque<Record> records_;
  // The first one is in force at the snapshot; the others come from entries above it.
  std::vector<std::pair<Index, Membership>> memberships_;
};

}  // namespace borageloft::consensus

#endif  // BORAGELOFT_CONSENSUS_RAFT_LOG_H_
