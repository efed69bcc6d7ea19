#ifndef BORAGELOFT_NOTE_LOG_NOTE_HISTORY_H_
#define BORAGELOFT_NOTE_LOG_NOTE_HISTORY_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "libraries/note_log/note.h"

namespace borageloft::note_log {

/** Most notes that a history can remember; a snapshot with more does not decode. */
inline constexpr std::size_t kMaxRememberedNotes = 100'000;

/** What is remembered of an accepted note after its text was folded into the policy. */
struct NoteRecord {
  NoteNumber number = 0;
  std::string author;
  std::string digest;

  bool operator==(const NoteRecord&) const = default;
};

/** Authors and digests of the latest accepted notes, by number and without gaps. */
class NoteHistory {
 public:
  /** @param capacity Number of notes to remember; at least 1. */
  explicit NoteHistory(std::size_t capacity) : capacity_(capacity) {}

  /** Adds the note that follows the latest one and forgets the oldest beyond the capacity. */
  void Add(NoteRecord record);

  /** @return The note of this number, or nothing if it is unknown or forgotten. */
  std::optional<NoteRecord> Find(NoteNumber number) const;

  /** @return Up to @p count notes from number @p first on, in rising order. */
  std::vector<NoteRecord> List(NoteNumber first, std::size_t count) const;

  /** @return All remembered notes in rising order. */
  const std::deque<NoteRecord>& records() const { return records_; }

  /** @return Number of the latest note, or 0. */
  NoteNumber latest() const { return records_.empty() ? 0 : records_.back().number; }

 private:
  std::size_t capacity_;
  std::deque<NoteRecord> records_;
};

}  // namespace borageloft::note_log

#endif  // BORAGELOFT_NOTE_LOG_NOTE_HISTORY_H_
