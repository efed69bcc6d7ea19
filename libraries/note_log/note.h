#ifndef BORAGELOFT_NOTE_LOG_NOTE_H_
#define BORAGELOFT_NOTE_LOG_NOTE_H_

#include <cstddef>
#include <cstdint>
#include <string>

namespace borageloft::note_log {

/** Number of a release note. The first note has number 1; 0 stands for none. */
using NoteNumber = std::uint64_t;

/** Longest text of a release note. With its frame it fits into one command of the log. */
inline constexpr std::size_t kMaxNoteBytes = std::size_t{256} << 10U;

/** Longest author of a release note. */
inline constexpr std::size_t kMaxAuthorBytes = 128;

/** Longest digest of a release note. */
inline constexpr std::size_t kMaxDigestBytes = 64;

/** A release note, as submitted and as accepted. */
struct Note {
  NoteNumber number = 0;
  std::string author;
  /** Digest of the content. Notes of one number and digest count as the same note. */
  std::string digest;
  std::string text;

  bool operator==(const Note&) const = default;
};

}  // namespace borageloft::note_log

#endif  // BORAGELOFT_NOTE_LOG_NOTE_H_
