#include "libraries/note_log/forward_only_note.h"

#include <algorithm>
#include <exception>
#include <utility>

#include "libraries/note_log/error.h"
#include "libraries/note_log/note_codec.h"

namespace borageloft::note_log {

ForwardOnlyNote::ForwardOnlyNote(NoteStorage storage, FoldHook fold, std::size_t max_chain_notes)
    : storage_(std::move(storage)), fold_(std::move(fold)), max_chain_notes_(max_chain_notes) {
  VERIFY(storage_.load && storage_.save && fold_);
  std::optional<std::string> bytes;
  try {
    bytes = storage_.load();
  } catch (const std::exception& error) {
    throw NoteLogError(std::string("cannot load the release note in force: ") + error.what());
  }
  if (bytes) {
    chain_ = DecodeChain(*bytes);
  }
}

OfferResult ForwardOnlyNote::Offer(const NoteDelta& delta) {
  if (delta.snapshot) {
    const auto& notes = delta.snapshot->notes();
    if (std::any_of(notes.begin(), notes.end(),
                    [&](const Note& note) { return ConflictsWith(note); })) {
      return OfferResult::kConflict;
    }
    return delta.snapshot->latest() > number() ? Replace(*delta.snapshot) : OfferResult::kUnchanged;
  }
  PolicyChain next = chain_;
  for (const Note& note : delta.notes) {
    if (ConflictsWith(note)) {
      return OfferResult::kConflict;
    }
    if (note.number > next.latest() + 1) {
      return OfferResult::kGap;
    }
    if (note.number == next.latest() + 1) {
      next.Append(note);
    }
  }
  if (next.latest() == number()) {
    return OfferResult::kUnchanged;
  }
  next.Fold(fold_, max_chain_notes_);
  return Replace(std::move(next));
}

bool ForwardOnlyNote::ConflictsWith(const Note& note) const {
  return note.number > chain_.base_number() && note.number <= chain_.latest() &&
         chain_.notes()[note.number - chain_.base_number() - 1].digest != note.digest;
}

OfferResult ForwardOnlyNote::Replace(PolicyChain next) {
  VERIFY(next.latest() > number());
  try {
    storage_.save(EncodeChain(next));
  } catch (const std::exception& error) {
    throw NoteLogError(std::string("cannot save the release note in force: ") + error.what());
  }
  chain_ = std::move(next);
  return OfferResult::kAdvanced;
}

}  // namespace borageloft::note_log
