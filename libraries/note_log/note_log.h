#ifndef BORAGELOFT_NOTE_LOG_NOTE_LOG_H_
#define BORAGELOFT_NOTE_LOG_NOTE_LOG_H_

/** @file Public header of the note_log library: the state machine of release notes by number. */

#include "libraries/note_log/error.h"
#include "libraries/note_log/forward_only_note.h"
#include "libraries/note_log/note.h"
#include "libraries/note_log/note_codec.h"
#include "libraries/note_log/note_delta.h"
#include "libraries/note_log/note_history.h"
#include "libraries/note_log/note_log_options.h"
#include "libraries/note_log/note_log_state.h"
#include "libraries/note_log/note_outcome.h"
#include "libraries/note_log/policy_chain.h"

#endif  // BORAGELOFT_NOTE_LOG_NOTE_LOG_H_
