#ifndef BORAGELOFT_NOTE_LOG_POLICY_CHAIN_H_
#define BORAGELOFT_NOTE_LOG_POLICY_CHAIN_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <string>

#include "libraries/note_log/note.h"

namespace borageloft::note_log {

/** Largest chain, in bytes of text; a note that would exceed it is refused. */
inline constexpr std::size_t kMaxChainBytes = std::size_t{16} << 20U;

/** Most notes of one chain. */
inline constexpr std::size_t kMaxChainNotes = 1024;

/**
 * Folds the text of one note into a policy text. It must give the same result on every host.
 * @return The policy text after the note.
 */
using FoldHook = std::function<std::string(const std::string& policy, const std::string& note)>;

/** @return A hook that joins the texts with a line end. */
FoldHook JoinTexts();

/**
 * The policy as text: what the notes up to base_number() amount to, and the notes after it. The
 * policy in force is the base text with the notes applied in order.
 */
class PolicyChain {
 public:
  PolicyChain() = default;

  /**
   * Restores a chain from its parts.
   * @throws NoteLogError if the notes have a gap or a bound is exceeded.
   */
  PolicyChain(NoteNumber base_number, std::string base_text, std::deque<Note> notes);

  /** Appends the next note. @p note must have the number latest() + 1. */
  void Append(Note note);

  /** Folds the oldest notes into the base text until at most @p max_notes are left. */
  void Fold(const FoldHook& fold, std::size_t max_notes);

  /** @return Number of the latest note, or 0. */
  NoteNumber latest() const { return base_number_ + notes_.size(); }
  /** @return Number of the last note that the base text contains. */
  NoteNumber base_number() const { return base_number_; }
  const std::string& base_text() const { return base_text_; }
  /** @return Notes after the base, in rising order without gaps. */
  const std::deque<Note>& notes() const { return notes_; }
  /** @return Bytes of all texts. */
  std::size_t bytes() const { return bytes_; }

  bool operator==(const PolicyChain&) const = default;

 private:
  NoteNumber base_number_ = 0;
  std::string base_text_;
  std::deque<Note> notes_;
  std::size_t bytes_ = 0;
};

}  // namespace borageloft::note_log

#endif  // BORAGELOFT_NOTE_LOG_POLICY_CHAIN_H_
