#ifndef BORAGELOFT_NOTE_LOG_NOTE_LOG_STATE_H_
#define BORAGELOFT_NOTE_LOG_NOTE_LOG_STATE_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/note_log/note.h"
#include "libraries/note_log/note_delta.h"
#include "libraries/note_log/note_history.h"
#include "libraries/note_log/note_log_options.h"
#include "libraries/note_log/note_outcome.h"
#include "libraries/note_log/policy_chain.h"

namespace borageloft::note_log {

/**
 * Replicated state machine of release notes by number. All hosts that apply the same notes in the
 * same order hold the same state. The latest number only rises. Not thread-safe.
 */
class NoteLogState {
 public:
  /** @param options Settings with the validation hook. */
  explicit NoteLogState(NoteLogOptions options);

  /** Applies one note. @return Whether it was accepted, and if not, why. */
  NoteOutcome Apply(const Note& note);

  /** Applies an encoded note. Bytes that do not decode give the outcome kMalformed. */
  NoteOutcome ApplyEncoded(std::string_view bytes);

  /** @return Number of the latest accepted note, or 0. */
  NoteNumber latest() const { return chain_.latest(); }

  /** @return The policy as text. */
  const PolicyChain& chain() const { return chain_; }

  /** @return Up to @p count remembered notes from number @p first on, in rising order. */
  std::vector<NoteRecord> History(NoteNumber first, std::size_t count) const;

  /**
   * @param since Number that the holder has.
   * @param max_bytes Bound of the texts of the notes; at least one note is returned if any is due.
   * @return The notes after @p since, or a snapshot if their texts are no longer kept.
   */
  NoteDelta DeltaSince(NoteNumber since, std::size_t max_bytes) const;

  /** @return Encoding of the whole state. */
  std::string Snapshot() const;

  /**
   * Replaces the state, which must not be ahead of the snapshot.
   * @throws NoteLogError if the bytes are no snapshot; the state is unchanged then.
   */
  void Restore(std::string_view bytes);

 private:
  NoteOutcome AnswerKnown(const Note& note) const;
  std::vector<std::string> Check(const Note& note) const;

  NoteLogOptions options_;
  PolicyChain chain_;
  NoteHistory history_;
};

}  // namespace borageloft::note_log

#endif  // BORAGELOFT_NOTE_LOG_NOTE_LOG_STATE_H_
