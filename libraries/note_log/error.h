#ifndef BORAGELOFT_NOTE_LOG_ERROR_H_
#define BORAGELOFT_NOTE_LOG_ERROR_H_

#include "libraries/base/base.h"

namespace borageloft::note_log {

/** Error of the note_log library: bytes that do not decode, or a note that could not be saved. */
class NoteLogError : public base::Error {
 public:
  using base::Error::Error;
};

}  // namespace borageloft::note_log

#endif  // BORAGELOFT_NOTE_LOG_ERROR_H_
