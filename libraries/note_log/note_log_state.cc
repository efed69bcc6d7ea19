#include "libraries/note_log/note_log_state.h"

#include <algorithm>
#include <utility>

#include "libraries/note_log/error.h"
#include "libraries/note_log/note_codec.h"

namespace borageloft::note_log {

NoteLogState::NoteLogState(NoteLogOptions options)
    : options_(std::move(options)), history_(options_.remembered_notes) {
  VERIFY(options_.validate && options_.fold);
  VERIFY(options_.max_chain_notes > 0 && options_.max_chain_notes <= kMaxChainNotes);
  VERIFY(options_.remembered_notes >= options_.max_chain_notes &&
         options_.remembered_notes <= kMaxRememberedNotes);
}

NoteOutcome NoteLogState::Apply(const Note& note) {
  NoteOutcome outcome{NoteOutcomeKind::kAccepted, note.number, latest() + 1, "", "", {}};
  if (note.number <= latest()) {
    return AnswerKnown(note);
  }
  if (note.number > latest() + 1) {
    outcome.kind = NoteOutcomeKind::kGap;
    return outcome;
  }
  outcome.errors = Check(note);
  if (!outcome.errors.empty()) {
    outcome.kind = NoteOutcomeKind::kInvalid;
    return outcome;
  }
  const NoteNumber before = latest();
  chain_.Append(note);
  chain_.Fold(options_.fold, options_.max_chain_notes);
  history_.Add({note.number, note.author, note.digest});
  VERIFY(latest() == before + 1 && history_.latest() == latest());
  outcome.expected = latest() + 1;
  return outcome;
}

NoteOutcome NoteLogState::ApplyEncoded(std::string_view bytes) {
  Note note;
  try {
    note = DecodeNote(bytes);
  } catch (const NoteLogError& error) {
    return {NoteOutcomeKind::kMalformed, 0, latest() + 1, "", "", {error.what()}};
  }
  return Apply(note);
}

NoteOutcome NoteLogState::AnswerKnown(const Note& note) const {
  NoteOutcome outcome{NoteOutcomeKind::kForgotten, note.number, latest() + 1, "", "", {}};
  if (const auto winner = history_.Find(note.number)) {
    outcome.kind = winner->digest == note.digest ? NoteOutcomeKind::kAlreadyAccepted
                                                 : NoteOutcomeKind::kConflict;
    outcome.winner_digest = winner->digest;
    outcome.winner_author = winner->author;
  }
  return outcome;
}

std::vector<std::string> NoteLogState::Check(const Note& note) const {
  // The decoder enforces the same bounds; a larger note could be accepted but never restored.
  if (note.text.size() > kMaxNoteBytes || note.author.size() > kMaxAuthorBytes ||
      note.digest.size() > kMaxDigestBytes) {
    return {"the note exceeds the bounds of its text, author or digest"};
  }
  if (chain_.bytes() + note.text.size() > kMaxChainBytes) {
    return {"the policy would exceed 16 MiB of text"};
  }
  std::vector<std::string> errors = options_.validate(chain_, note);
  errors.resize(std::min(errors.size(), kMaxOutcomeErrors));
  for (std::string& error : errors) {
    error.resize(std::min(error.size(), kMaxOutcomeErrorBytes));
  }
  return errors;
}

std::vector<NoteRecord> NoteLogState::History(NoteNumber first, std::size_t count) const {
  return history_.List(first, count);
}

NoteDelta NoteLogState::DeltaSince(NoteNumber since, std::size_t max_bytes) const {
  NoteDelta delta;
  delta.latest = latest();
  if (since < chain_.base_number()) {
    delta.snapshot = chain_;
    return delta;
  }
  std::size_t bytes = 0;
  for (NoteNumber number = since + 1; number <= latest(); ++number) {
    const Note& note = chain_.notes()[number - chain_.base_number() - 1];
    bytes += note.text.size();
    if (!delta.notes.empty() && bytes > max_bytes) {
      break;
    }
    delta.notes.push_back(note);
  }
  return delta;
}

std::string NoteLogState::Snapshot() const { return EncodeLogSnapshot(chain_, history_.records()); }

void NoteLogState::Restore(std::string_view bytes) {
  NoteLogSnapshot snapshot = DecodeLogSnapshot(bytes);
  NoteHistory history(options_.remembered_notes);
  for (NoteRecord& record : snapshot.records) {
    if (history.latest() != 0 && record.number != history.latest() + 1) {
      throw NoteLogError("the snapshot's history has a gap");
    }
    history.Add(std::move(record));
  }
  if (history.latest() != snapshot.chain.latest()) {
    throw NoteLogError("the snapshot's history does not end with its policy");
  }
  // An accepted note is never taken back.
  VERIFY(snapshot.chain.latest() >= latest());
  chain_ = std::move(snapshot.chain);
  history_ = std::move(history);
}

}  // namespace borageloft::note_log
