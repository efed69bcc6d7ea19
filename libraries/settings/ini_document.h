#ifndef BORAGELOFT_SETTINGS_INI_DOCUMENT_H_
#define BORAGELOFT_SETTINGS_INI_DOCUMENT_H_

#include <string>
#include <string_view>
#include <vector>

#include "libraries/settings/issue.h"

namespace borageloft::settings {

/** One key and value of a section. */
struct IniEntry {
  std::string key;
  std::string value;
  int line = 0;
};

/** One section with its entries in file order. */
struct IniSection {
  std::string name;
  int line = 0;
  std::vector<IniEntry> entries;

  /** @return The entry named @p key, or null. */
  const IniEntry* Find(std::string_view key) const;
};

/**
 * An INI file with the line of every section and key. Repeated sections and keys are faults, since
 * one of two values would be lost silently.
 */
class IniDocument {
 public:
  /**
   * Parses @p text.
   * @param file Name used in faults.
   * @param issues Receives faults; parsing goes on behind them to report all at once.
   */
  static IniDocument Parse(std::string_view text, const std::string& file,
                           std::vector<Issue>& issues);

  const std::string& file() const { return file_; }
  const std::vector<IniSection>& sections() const { return sections_; }

  /** @return The section named @p name, or null. */
  const IniSection* Find(std::string_view name) const;

 private:
  friend class IniParser;

  std::string file_;
  std::vector<IniSection> sections_;
};

/**
 * Reads a whole file.
 * @throws SettingsError when it cannot be opened or is larger than 1 MiB.
 */
std::string ReadTextFile(const std::string& path);

}  // namespace borageloft::settings

#endif  // BORAGELOFT_SETTINGS_INI_DOCUMENT_H_
