#include "libraries/note_log/policy_chain.h"

#include <utility>

#include "libraries/note_log/error.h"

namespace borageloft::note_log {

FoldHook JoinTexts() {
  return [](const std::string& policy, const std::string& note) { return policy + note + "\n"; };
}

PolicyChain::PolicyChain(NoteNumber base_number, std::string base_text, std::deque<Note> notes)
    : base_number_(base_number), base_text_(std::move(base_text)), bytes_(base_text_.size()) {
  if (notes.size() > kMaxChainNotes) {
    throw NoteLogError("policy chain has too many notes");
  }
  for (Note& note : notes) {
    if (note.number != latest() + 1) {
      throw NoteLogError("policy chain has a gap");
    }
    bytes_ += note.text.size();
    notes_.push_back(std::move(note));
  }
  if (bytes_ > kMaxChainBytes) {
    throw NoteLogError("policy chain is too large");
  }
}

void PolicyChain::Append(Note note) {
  VERIFY(note.number == latest() + 1);
  bytes_ += note.text.size();
  notes_.push_back(std::move(note));
}

void PolicyChain::Fold(const FoldHook& fold, std::size_t max_notes) {
  while (notes_.size() > max_notes) {
    const Note oldest = std::move(notes_.front());
    notes_.pop_front();
    bytes_ -= base_text_.size() + oldest.text.size();
    base_text_ = fold(base_text_, oldest.text);
    bytes_ += base_text_.size();
    base_number_ = oldest.number;
  }
}

}  // namespace borageloft::note_log
