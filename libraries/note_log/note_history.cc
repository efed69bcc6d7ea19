#include "libraries/note_log/note_history.h"

#include <algorithm>
#include <utility>

#include "libraries/base/base.h"

namespace borageloft::note_log {

void NoteHistory::Add(NoteRecord record) {
  VERIFY(records_.empty() || record.number == latest() + 1);
  records_.push_back(std::move(record));
  if (records_.size() > capacity_) {
    records_.pop_front();
  }
}

std::optional<NoteRecord> NoteHistory::Find(NoteNumber number) const {
  if (records_.empty() || number < records_.front().number || number > latest()) {
    return std::nullopt;
  }
  return records_[number - records_.front().number];
}

std::vector<NoteRecord> NoteHistory::List(NoteNumber first, std::size_t count) const {
  std::vector<NoteRecord> result;
  if (records_.empty()) {
    return result;
  }
  for (NoteNumber number = std::max(first, records_.front().number);
       number <= latest() && result.size() < count; ++number) {
    result.push_back(records_[number - records_.front().number]);
  }
  return result;
}

}  // namespace borageloft::note_log
