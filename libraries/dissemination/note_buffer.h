#ifndef BORAGELOFT_DISSEMINATION_NOTE_BUFFER_H_
#define BORAGELOFT_DISSEMINATION_NOTE_BUFFER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "libraries/dissemination/messages.h"

namespace borageloft::dissemination {

/** The last release notes, in a row without gaps, for children that lack them. Not thread-safe. */
class NoteBuffer {
 public:
  /** @param maximum_notes Bound of the number. @param maximum_bytes Bound of all payloads. */
  NoteBuffer(std::size_t maximum_notes, std::size_t maximum_bytes)
      : maximum_notes_(maximum_notes), maximum_bytes_(maximum_bytes) {}

  /** Adds the note behind the last one. */
  void Push(const ReleaseNote& note);

  /** Forgets all notes, since a snapshot took their place. */
  void Clear();

  /** @return Number of the oldest held note; 0 for none. */
  std::uint64_t oldest() const { return notes_.empty() ? 0 : notes_.front().number; }

  /**
   * @return The notes behind @p number, at most @p count; none when the first one is not held.
   */
  std::vector<const ReleaseNote*> After(std::uint64_t number, std::size_t count) const;

 private:
  std::size_t maximum_notes_;
  std::size_t maximum_bytes_;
  std::size_t bytes_ = 0;
  std::deque<ReleaseNote> notes_;
};

}  // namespace borageloft::dissemination

#endif  // BORAGELOFT_DISSEMINATION_NOTE_BUFFER_H_
