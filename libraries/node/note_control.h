#ifndef BORAGELOFT_NODE_NOTE_CONTROL_H_
#define BORAGELOFT_NODE_NOTE_CONTROL_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "libraries/node/control_group.h"
#include "libraries/node/node_services.h"
#include "libraries/node/note_table.h"
#include "libraries/note_log/note_log.h"

namespace borageloft::node {

/** Name of the replication group of release notes; all control hosts are its members. */
inline constexpr const char* kNoteGroup = "notes";

/** The replicated log of release notes on a control host. Thread-safe. */
class NoteControl {
 public:
  /** Told of what the quorum accepted, with no lock held, in order. */
  struct Listener {
    std::function<void(const note_log::Note& note)> accepted;
    /// A snapshot took the place of all earlier notes.
    std::function<void(const note_log::PolicyChain& chain)> replaced;
  };

  /** @param hosts All control hosts, this one included. */
  NoteControl(const NodeServices& services, const storage::DataFolder& folder, GroupHub& hub,
              std::vector<std::string> hosts, Listener listener);

  /** Takes part in the group. */
  void Start() { group_->Start(); }

  /** Call it every 10 ms. */
  void Tick() { group_->Tick(); }

  /** @return Accepted notes from number @p first on, as far as this host knows them. */
  std::vector<note_log::NoteRecord> History(note_log::NoteNumber first, std::size_t count) const;

  ControlGroupStatus status() const { return group_->status(); }

 private:
  std::string Apply(const std::string& command);
  std::string TakeSnapshot() const;
  void Restore(const std::string& data);

  const Listener listener_;
  mutable base::RankedMutex mutex_{base::LockRank::kDissemination};
  note_log::NoteLogState state_;
  // Last, so that it stops before the state that it applies to is gone.
  std::unique_ptr<ControlGroup> group_;
};

/** @return Hook that checks a note against the policy so far. */
note_log::ValidateHook ValidateAgainstPolicy();

}  // namespace borageloft::node

#endif  // BORAGELOFT_NODE_NOTE_CONTROL_H_
