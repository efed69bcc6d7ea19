#include "libraries/consensus/raft_log.h"

#include <algorithm>

#include "libraries/consensus/codec.h"
#include "libraries/consensus/error.h"

namespace borageloft::consensus {

namespace {

// Counted for each entry in addition to its data, so that entries without data are limited too.
constexpr std::uint64_t kEntryOverheadBytes = 32;

}  // namespace

RaftLog::RaftLog(SnapshotPointer snapshot, std::vector<Entry> entries)
    : snapshot_(std::move(snapshot)),
      base_index_(snapshot_->index),
      base_term_(snapshot_->term),
      commit_(snapshot_->index) {
  memberships_.emplace_back(snapshot_->index, snapshot_->membership);
  for (Entry& entry : entries) {
    if (entry.index <= base_index_) {
      continue;
    }
    if (entry.index != last_index() + 1 || entry.term < last_term()) {
      throw ConsensusError("stored log entries have a gap or decreasing terms");
    }
    Append(std::move(entry));
  }
}

std::optional<Term> RaftLog::TermAt(Index index) const {
  if (index == base_index_) {
    return base_term_;
  }
  if (index < base_index_ || index > last_index()) {
    return std::nullopt;
  }
  return At(index).entry.term;
}

bool RaftLog::IsUpToDate(Index index, Term term) const {
  return term > last_term() || (term == last_term() && index >= last_index());
}

Index RaftLog::FindAtMost(Index index, Term term) const {
  index = std::min(index, last_index());
  while (index > base_index_ && At(index).entry.term > term) {
    --index;
  }
  return std::max(index, base_index_);
}

std::vector<Entry> RaftLog::Slice(Index first, Index last, std::size_t max_bytes) const {
  std::vector<Entry> result;
  VERIFY(first > base_index_);
  std::size_t bytes = 0;
  for (Index index = first; index <= std::min(last, last_index()); ++index) {
    const Entry& entry = At(index).entry;
    bytes += entry.data.size();
    if (!result.empty() && bytes > max_bytes) {
      break;
    }
    result.push_back(entry);
  }
  return result;
}

std::uint64_t RaftLog::BytesAfter(Index index) const {
  if (records_.empty()) {
    return 0;
  }
  const std::uint64_t before = index <= base_index_ ? base_bytes_ : At(index).end_bytes;
  return records_.back().end_bytes - before;
}

void RaftLog::Append(Entry entry) {
  VERIFY(entry.index == last_index() + 1);
  VERIFY(entry.term >= last_term());
  if (entry.kind == EntryKind::kMembership) {
    memberships_.emplace_back(entry.index, DecodeMembership(entry.data));
  }
  const std::uint64_t before = records_.empty() ? base_bytes_ : records_.back().end_bytes;
  const std::uint64_t end_bytes = before + entry.data.size() + kEntryOverheadBytes;
  records_.push_back({std::move(entry), end_bytes});
}

std::optional<Index> RaftLog::Merge(std::vector<Entry> entries) {
  std::optional<Index> removed;
  for (Entry& entry : entries) {
    if (entry.index <= base_index_ || Matches(entry.index, entry.term)) {
      continue;
    }
    if (entry.index <= last_index()) {
      removed = entry.index;
      Truncate(entry.index);
    }
    Append(std::move(entry));
  }
  return removed;
}

void RaftLog::Truncate(Index first) {
  // A conflict below the committed index would mean that two quorums committed different entries.
  VERIFY(first > commit_);
  records_.erase(records_.begin() + static_cast<std::ptrdiff_t>(first - base_index_ - 1),
                 records_.end());
  while (memberships_.back().first >= first) {
    memberships_.pop_back();
  }
}

void RaftLog::CommitTo(Index index) {
  if (index <= commit_) {
    return;
  }
  // A leader sends only a committed index that this replica acknowledged as durable, so a shorter
  // log means that durable entries were lost.
  VERIFY(index <= last_index());
  commit_ = index;
}

void RaftLog::Install(SnapshotPointer snapshot) {
  VERIFY(snapshot->index > commit_);
  snapshot_ = std::move(snapshot);
  records_.clear();
  base_index_ = snapshot_->index;
  base_term_ = snapshot_->term;
  base_bytes_ = 0;
  commit_ = snapshot_->index;
  memberships_.assign(1, {snapshot_->index, snapshot_->membership});
}

void RaftLog::Compact(SnapshotPointer snapshot, std::uint64_t retained,
                      std::uint64_t retained_bytes) {
  VERIFY(snapshot->index <= commit_);
  VERIFY(snapshot->index >= snapshot_->index);
  VERIFY(Matches(snapshot->index, snapshot->term));
  snapshot_ = std::move(snapshot);
  Index new_base = std::max(base_index_, snapshot_->index - std::min(retained, snapshot_->index));
  const std::uint64_t bytes_above = BytesAfter(snapshot_->index);
  while (new_base < snapshot_->index && BytesAfter(new_base) - bytes_above > retained_bytes) {
    ++new_base;
  }
  if (new_base > base_index_) {
    base_term_ = *TermAt(new_base);
    base_bytes_ = At(new_base).end_bytes;
    records_.erase(records_.begin(),
                   records_.begin() + static_cast<std::ptrdiff_t>(new_base - base_index_));
    base_index_ = new_base;
  }
  const auto later =
      std::find_if(memberships_.begin(), memberships_.end(),
                   [&](const auto& membership) { return membership.first > snapshot_->index; });
  // The last membership up to the snapshot is kept, with its own index.
  memberships_.erase(memberships_.begin(), later - 1);
}

const Membership& RaftLog::MembershipAt(Index index) const {
  VERIFY(memberships_.front().first <= index);
  const auto later = std::find_if(memberships_.begin(), memberships_.end(),
                                  [&](const auto& membership) { return membership.first > index; });
  return (later - 1)->second;
}

}  // namespace borageloft::consensus
