#include "libraries/node/note_control.h"

#include <utility>

namespace borageloft::node {

namespace {

note_log::NoteLogOptions MakeOptions() {
  note_log::NoteLogOptions options;
  options.validate = ValidateAgainstPolicy();
  options.fold = FoldIntoPolicy();
  options.max_chain_notes = kKeptNotes;
  return options;
}

}  // namespace

note_log::ValidateHook ValidateAgainstPolicy() {
  return [](const note_log::PolicyChain& chain, const note_log::Note& note) {
    std::vector<std::string> errors;
    try {
      const auto parsed = notes::ReleaseNote::Parse(note.text, "note");
      if (parsed.number() != note.number || parsed.author() != note.author ||
          parsed.digest() != note.digest) {
        errors.emplace_back("number, author or digest differ from the text");
        return errors;
      }
      std::vector<settings::Issue> issues;
      PolicyOf(chain).Apply(parsed, issues);
      for (const settings::Issue& issue : issues) {
        errors.push_back(FormatIssue(issue));
      }
    } catch (const settings::SettingsError& error) {
      for (const settings::Issue& issue : error.issues()) {
        errors.push_back(FormatIssue(issue));
      }
    }
    return errors;
  };
}

NoteControl::NoteControl(const NodeServices& services, const storage::DataFolder& folder,
                         GroupHub& hub, std::vector<std::string> hosts, Listener listener)
    : listener_(std::move(listener)), state_(MakeOptions()) {
  replication::StateMachine machine;
  machine.apply = [this](consensus::Index, const std::string& command) { return Apply(command); };
  machine.snapshot = [this] { return TakeSnapshot(); };
  machine.restore = [this](const std::string& data) { Restore(data); };
  group_ = std::make_unique<ControlGroup>(services, folder, hub, kNoteGroup, std::move(hosts),
                                          std::move(machine));
}

std::vector<note_log::NoteRecord> NoteControl::History(note_log::NoteNumber first,
                                                       std::size_t count) const {
  const std::scoped_lock lock(mutex_);
  return state_.History(first, count);
}

std::string NoteControl::Apply(const std::string& command) {
  note_log::NoteOutcome outcome;
  {
    const std::scoped_lock lock(mutex_);
    outcome = state_.ApplyEncoded(command);
  }
  if (outcome.kind == note_log::NoteOutcomeKind::kAccepted) {
    listener_.accepted(note_log::DecodeNote(command));
  }
  return note_log::EncodeOutcome(outcome);
}

std::string NoteControl::TakeSnapshot() const {
  const std::scoped_lock lock(mutex_);
  return state_.Snapshot();
}

void NoteControl::Restore(const std::string& data) {
  note_log::PolicyChain chain;
  {
    const std::scoped_lock lock(mutex_);
    if (data.empty()) {
      state_ = note_log::NoteLogState(MakeOptions());
      return;
    }
    note_log::NoteLogState restored(MakeOptions());
    restored.Restore(data);
    state_ = std::move(restored);
    chain = state_.chain();
  }
  listener_.replaced(chain);
}

}  // namespace borageloft::node
