#ifndef BORAGELOFT_NOTE_LOG_NOTE_OUTCOME_H_
#define BORAGELOFT_NOTE_LOG_NOTE_OUTCOME_H_

#include <cstdint>
#include <string>
#include <vector>

#include "libraries/note_log/note.h"

namespace borageloft::note_log {

/** How the state machine answered a note. The values are part of the wire format. */
enum class NoteOutcomeKind : std::uint8_t {
  kAccepted = 0,
  kAlreadyAccepted = 1,  // The same number with the same content was accepted before.
  kConflict = 2,         // The number was accepted with other content.
  kGap = 3,              // The number is above the next one.
  kInvalid = 4,          // The text is not valid against the policy so far.
  kForgotten = 5,        // The number is so old that its content is no longer known.
  kMalformed = 6,        // The command does not decode.
};

/** Most errors that one outcome lists. */
inline constexpr std::size_t kMaxOutcomeErrors = 256;

/** Longest error that one outcome lists. */
inline constexpr std::size_t kMaxOutcomeErrorBytes = 1024;

/** Answer to one submitted note. */
struct NoteOutcome {
  NoteOutcomeKind kind = NoteOutcomeKind::kMalformed;
  /** Number that was submitted. */
  NoteNumber number = 0;
  /** Number that the next note must have. */
  NoteNumber expected = 0;
  /** Digest and author of the note accepted under the number, for kAlreadyAccepted, kConflict. */
  std::string winner_digest;
  std::string winner_author;
  /** What is wrong with the text, for kInvalid and kMalformed. */
  std::vector<std::string> errors;

  bool operator==(const NoteOutcome&) const = default;
};

}  // namespace borageloft::note_log

#endif  // BORAGELOFT_NOTE_LOG_NOTE_OUTCOME_H_
