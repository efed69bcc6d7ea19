#ifndef BORAGELOFT_NOTE_LOG_FORWARD_ONLY_NOTE_H_
#define BORAGELOFT_NOTE_LOG_FORWARD_ONLY_NOTE_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

#include "libraries/note_log/note_delta.h"
#include "libraries/note_log/policy_chain.h"

namespace borageloft::note_log {

/** Persistence of the release note in force. Both hooks may throw. */
struct NoteStorage {
  /** @return What was saved last, or nothing on the first start. */
  std::function<std::optional<std::string>()> load;
  /** Makes the bytes durable in place of the earlier ones. */
  std::function<void(const std::string& bytes)> save;
};

/** How a node took a delta. */
enum class OfferResult {
  kAdvanced,   // A higher number is in force and durable.
  kUnchanged,  // The delta holds nothing new.
  kGap,        // The delta starts above the next number; ask for one since number().
  kConflict,   // The delta holds other content for a number in force; nothing was changed.
};

/**
 * The release notes in force at one node. The number in force only rises, also across restarts.
 * Not thread-safe.
 */
class ForwardOnlyNote {
 public:
  /**
   * Loads what is in force.
   * @param storage Persistence.
   * @param fold Folds old notes, as at the control hosts.
   * @param max_chain_notes Notes to keep with their text.
   * @throws NoteLogError if loading fails or gives bytes that do not decode.
   */
  ForwardOnlyNote(NoteStorage storage, FoldHook fold, std::size_t max_chain_notes);

  /**
   * Puts a delta in force once it is durable. Lower numbers are ignored.
   * @throws NoteLogError if saving fails; the earlier number stays in force.
   */
  OfferResult Offer(const NoteDelta& delta);

  /** @return Number in force, or 0. */
  NoteNumber number() const { return chain_.latest(); }

  /** @return The policy in force, as text. */
  const PolicyChain& chain() const { return chain_; }

 private:
  bool ConflictsWith(const Note& note) const;
  OfferResult Replace(PolicyChain next);

  NoteStorage storage_;
  FoldHook fold_;
  std::size_t max_chain_notes_;
  PolicyChain chain_;
};

}  // namespace borageloft::note_log

#endif  // BORAGELOFT_NOTE_LOG_FORWARD_ONLY_NOTE_H_
