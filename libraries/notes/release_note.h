#ifndef BORAGELOFT_NOTES_RELEASE_NOTE_H_
#define BORAGELOFT_NOTES_RELEASE_NOTE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "libraries/settings/settings.h"

namespace borageloft::notes {

/** What a section of a release note does to the object that it names. */
enum class Action { kAdd, kChange, kWithdraw };

/** Kind of object that a release note can name. */
enum class ObjectKind { kService, kClass, kRule, kUpstream, kLimit };

/** @return The word of release notes for @p action: added, changed or withdrawn. */
const char* NameOf(Action action);

/** @return The word of release notes for @p kind. */
const char* NameOf(ObjectKind kind);

/** One section of a release note. */
struct Change {
  Action action = Action::kAdd;
  ObjectKind kind = ObjectKind::kService;
  std::string name;
  settings::IniSection section;
};

/** A parsed release note. It is checked against a policy by Policy::Apply(). */
class ReleaseNote {
 public:
  /**
   * Parses a release note.
   * @param text Contents of the file.
   * @param file Name used in faults.
   * @throws settings::SettingsError with every fault found.
   */
  static ReleaseNote Parse(const std::string& text, const std::string& file);

  std::uint64_t number() const { return number_; }
  const std::string& author() const { return author_; }
  const std::string& file() const { return file_; }
  const std::vector<Change>& changes() const { return changes_; }

  /**
   * @return Digest of number, author and changes. Comments, blank lines and spacing do not count,
   * so a note that was reformatted and resent is still the same note.
   */
  const std::string& digest() const { return digest_; }

 private:
  void ParseHeader(const settings::IniSection& section, std::vector<settings::Issue>& issues);
  void ParseChange(const settings::IniSection& section, std::vector<settings::Issue>& issues);
  std::string CanonicalText() const;

  std::uint64_t number_ = 0;
  std::string author_;
  std::string file_;
  std::string digest_;
  std::vector<Change> changes_;
};

}  // namespace borageloft::notes

#endif  // BORAGELOFT_NOTES_RELEASE_NOTE_H_
