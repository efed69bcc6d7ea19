#include "libraries/node/note_table.h"

#include <algorithm>
#include <utility>

namespace borageloft::node {

note_log::FoldHook FoldIntoPolicy() {
  return [](const std::string& policy, const std::string& note) {
    return notes::FormatPolicy(notes::ApplyNote(notes::ParsePolicy(policy), note, "note"));
  };
}

notes::Policy PolicyOf(const note_log::PolicyChain& chain) {
  notes::Policy policy = notes::ParsePolicy(chain.base_text());
  for (const note_log::Note& note : chain.notes()) {
    policy = notes::ApplyNote(policy, note.text, "note");
  }
  return policy;
}

NoteTable::NoteTable(note_log::NoteStorage storage, PolicyTable& policies)
    : policies_(policies), notes_(std::move(storage), FoldIntoPolicy(), kKeptNotes) {
  PutInForce();
}

note_log::OfferResult NoteTable::Offer(const note_log::NoteDelta& delta) {
  note_log::OfferResult result{};
  {
    const std::scoped_lock lock(mutex_);
    result = notes_.Offer(delta);
  }
  if (result == note_log::OfferResult::kAdvanced) {
    PutInForce();
  }
  return result;
}

note_log::NoteNumber NoteTable::number() const {
  const std::scoped_lock lock(mutex_);
  return notes_.number();
}

note_log::PolicyChain NoteTable::chain() const {
  const std::scoped_lock lock(mutex_);
  return notes_.chain();
}

std::optional<note_log::Note> NoteTable::Find(note_log::NoteNumber number) const {
  const std::scoped_lock lock(mutex_);
  const auto& notes = notes_.chain().notes();
  const auto found = std::find_if(notes.begin(), notes.end(), [&](const note_log::Note& note) {
    return note.number == number;
  });
  return found == notes.end() ? std::nullopt : std::optional(*found);
}

void NoteTable::PutInForce() {
  // The policy table ignores a policy that another thread has overtaken.
  policies_.Replace(PolicyOf(chain()));
}

}  // namespace borageloft::node
