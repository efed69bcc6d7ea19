#include "libraries/dissemination/note_buffer.h"

#include "libraries/base/base.h"

namespace borageloft::dissemination {

void NoteBuffer::Push(const ReleaseNote& note) {
  VERIFY(notes_.empty() || note.number == notes_.back().number + 1);
  notes_.push_back(note);
  bytes_ += note.payload.size();
  while (notes_.size() > maximum_notes_ || bytes_ > maximum_bytes_) {
    bytes_ -= notes_.front().payload.size();
    notes_.pop_front();
  }
}

void NoteBuffer::Clear() {
  notes_.clear();
  bytes_ = 0;
}

std::vector<const ReleaseNote*> NoteBuffer::After(std::uint64_t number, std::size_t count) const {
  std::vector<const ReleaseNote*> found;
  if (notes_.empty() || number + 1 < oldest()) {
    return found;
  }
  for (std::size_t index = number + 1 - oldest(); index < notes_.size(); ++index) {
    if (found.size() == count) {
      break;
    }
    found.push_back(&notes_[index]);
  }
  return found;
}

}  // namespace borageloft::dissemination
