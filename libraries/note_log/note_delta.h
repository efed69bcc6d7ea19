#ifndef BORAGELOFT_NOTE_LOG_NOTE_DELTA_H_
#define BORAGELOFT_NOTE_LOG_NOTE_DELTA_H_

#include <optional>
#include <vector>

#include "libraries/note_log/note.h"
#include "libraries/note_log/policy_chain.h"

namespace borageloft::note_log {

/** What a holder of an earlier number needs to move forward. */
struct NoteDelta {
  /** Set when the holder is too far behind; it replaces everything the holder has. */
  std::optional<PolicyChain> snapshot;
  /** Without a snapshot: the notes that follow the holder's number, without gaps. */
  std::vector<Note> notes;
  /** Latest number at the sender. The holder asks again if it did not get that far. */
  NoteNumber latest = 0;

  bool operator==(const NoteDelta&) const = default;
};

}  // namespace borageloft::note_log

#endif  // BORAGELOFT_NOTE_LOG_NOTE_DELTA_H_
