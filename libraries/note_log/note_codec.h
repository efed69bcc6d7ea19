#ifndef BORAGELOFT_NOTE_LOG_NOTE_CODEC_H_
#define BORAGELOFT_NOTE_LOG_NOTE_CODEC_H_

#include <string>
#include <string_view>

#include "libraries/note_log/note.h"
#include "libraries/note_log/note_delta.h"
#include "libraries/note_log/note_history.h"
#include "libraries/note_log/note_outcome.h"
#include "libraries/note_log/policy_chain.h"

namespace borageloft::note_log {

// Every decoder below throws NoteLogError for bytes that are malformed, exceed a bound or are
// followed by further bytes.

/** @return Encoding of @p note, used as the command of the replicated log. */
std::string EncodeNote(const Note& note);
/** @return The decoded note. @throws NoteLogError */
Note DecodeNote(std::string_view bytes);

/** @return Encoding of @p outcome. */
std::string EncodeOutcome(const NoteOutcome& outcome);
/** @return The decoded outcome. @throws NoteLogError */
NoteOutcome DecodeOutcome(std::string_view bytes);

/** @return Encoding of @p delta. */
std::string EncodeDelta(const NoteDelta& delta);
/** @return The decoded delta. @throws NoteLogError */
NoteDelta DecodeDelta(std::string_view bytes);

/** @return Encoding of @p chain. */
std::string EncodeChain(const PolicyChain& chain);
/** @return The decoded chain. @throws NoteLogError */
PolicyChain DecodeChain(std::string_view bytes);

/** Parts of a snapshot of NoteLogState. */
struct NoteLogSnapshot {
  PolicyChain chain;
  std::deque<NoteRecord> records;
};

/** @return Encoding of a snapshot. */
std::string EncodeLogSnapshot(const PolicyChain& chain, const std::deque<NoteRecord>& records);
/** @return The decoded snapshot. @throws NoteLogError */
NoteLogSnapshot DecodeLogSnapshot(std::string_view bytes);

}  // namespace borageloft::note_log

#endif  // BORAGELOFT_NOTE_LOG_NOTE_CODEC_H_
