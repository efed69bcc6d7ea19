#ifndef BORAGELOFT_NOTE_LOG_NOTE_LOG_OPTIONS_H_
#define BORAGELOFT_NOTE_LOG_NOTE_LOG_OPTIONS_H_

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "libraries/note_log/note.h"
#include "libraries/note_log/policy_chain.h"

namespace borageloft::note_log {

/**
 * Checks a note against the policy so far. It must give the same result on every host.
 * @return What is wrong, one error each; empty if the note is valid.
 */
using ValidateHook =
    std::function<std::vector<std::string>(const PolicyChain& policy, const Note& note)>;

/** Settings of NoteLogState. All hosts of a group must use the same ones. */
struct NoteLogOptions {
  /** Required. */
  ValidateHook validate;
  /** Folds old notes into the base text of the policy. */
  FoldHook fold = JoinTexts();
  /** Notes kept with their text; a holder that is further behind gets a snapshot. */
  std::size_t max_chain_notes = 256;
  /** Notes remembered by digest and author: about three days at 17,000 changes a day. */
  std::size_t remembered_notes = 50'000;
};

}  // namespace borageloft::note_log

#endif  // BORAGELOFT_NOTE_LOG_NOTE_LOG_OPTIONS_H_
