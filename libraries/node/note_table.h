#ifndef BORAGELOFT_NODE_NOTE_TABLE_H_
#define BORAGELOFT_NODE_NOTE_TABLE_H_

#include <optional>
#include <string>

#include "libraries/node/policy_table.h"
#include "libraries/note_log/note_log.h"

namespace borageloft::node {

/**
 * The release notes in force on this node. The number only rises, across restarts as well where the
 * node has a disk. Thread-safe.
 */
class NoteTable {
 public:
  /**
   * Loads what is in force and puts its policy into @p policies.
   * @throws base::Error when the stored notes cannot be read.
   */
  NoteTable(note_log::NoteStorage storage, PolicyTable& policies);

  /** Puts a delta in force. */
  note_log::OfferResult Offer(const note_log::NoteDelta& delta);

  /** @return Number of the note in force, or 0. */
  note_log::NoteNumber number() const;

  /** @return The notes in force. */
  note_log::PolicyChain chain() const;

  /** @return The note of this number, if its text is still kept. */
  std::optional<note_log::Note> Find(note_log::NoteNumber number) const;

 private:
  void PutInForce();

  PolicyTable& policies_;
  mutable base::RankedMutex mutex_{base::LockRank::kNotes};
  note_log::ForwardOnlyNote notes_;
};

/** @return Hook that folds the text of a note into a policy's text. */
note_log::FoldHook FoldIntoPolicy();

/** @return The policy of a chain. @throws base::Error when a text does not apply. */
notes::Policy PolicyOf(const note_log::PolicyChain& chain);

/** Notes kept with their text; a holder that is further behind gets a snapshot. */
inline constexpr std::size_t kKeptNotes = 256;

}  // namespace borageloft::node

#endif  // BORAGELOFT_NODE_NOTE_TABLE_H_
