#include "libraries/settings/ini_document.h"

#include <fmt/format.h>
#include <ini.h>

#include <algorithm>
#include <cstring>
#include <fstream>
#include <sstream>

namespace borageloft::settings {

namespace {

// inih cuts longer lines and names silently, so they are refused before it sees them.
constexpr std::size_t kMaximumLineLength = 190;
constexpr std::size_t kMaximumSectionLength = 49;
constexpr std::size_t kMaximumFileLength = 1U << 20U;

std::string_view TrimLeft(std::string_view text) {
  const std::size_t start = text.find_first_not_of(" \t\r");
  return start == std::string_view::npos ? std::string_view() : text.substr(start);
}

}  // namespace

/** Feeds lines to inih and records the line number of what it reports. */
class IniParser {
 public:
  IniParser(std::string_view text, IniDocument& document, std::vector<Issue>& issues)
      : rest_(text), document_(document), issues_(issues) {}

  void Run() {
    const int first_error = ini_parse_stream(&ReadLine, this, &HandleEntry, this);
    // inih reports only its first error by line; section headers are noted by ReadLine itself.
    if (first_error > 0) {
      AddIssue(first_error, "", "expected \"[section]\" or \"key = value\"");
    }
  }

 private:
  static char* ReadLine(char* buffer, int size, void* stream) {
    return static_cast<IniParser*>(stream)->NextLine(buffer, static_cast<std::size_t>(size));
  }

  static int HandleEntry(void* user, const char* /*section*/, const char* name, const char* value) {
    static_cast<IniParser*>(user)->AddEntry(name, value);
    return 1;
  }

  char* NextLine(char* buffer, std::size_t size) {
    if (rest_.empty()) {
      return nullptr;
    }
    ++line_;
    const std::size_t end = rest_.find('\n');
    std::string_view text = rest_.substr(0, end);
    rest_ = end == std::string_view::npos ? std::string_view() : rest_.substr(end + 1);
    if (text.size() > std::min(kMaximumLineLength, size - 2)) {
      AddIssue(line_, "", fmt::format("line is longer than {} characters", kMaximumLineLength));
      text = std::string_view();
    }
    // inih joins indented lines to the value above, which hides a forgotten key.
    text = TrimLeft(text);
    if (!text.empty() && text.front() == '[') {
      text = BeginSection(text);
    }
    // An empty view has no data to copy from.
    std::copy(text.begin(), text.end(), buffer);
    buffer[text.size()] = '\n';
    buffer[text.size() + 1] = '\0';
    return buffer;
  }

  std::string_view BeginSection(std::string_view text) {
    const std::size_t end = text.find(']');
    if (end == std::string_view::npos) {
      return text;
    }
    const std::string name(text.substr(1, end - 1));
    if (name.size() > kMaximumSectionLength) {
      AddIssue(line_, name,
               fmt::format("section name is longer than {} characters", kMaximumSectionLength));
    }
    if (document_.Find(name) != nullptr) {
      AddIssue(line_, name, "section stands twice");
    }
    document_.sections_.push_back({name, line_, {}});
    return text;
  }

  void AddEntry(const char* name, const char* value) {
    if (document_.sections_.empty()) {
      AddIssue(line_, name, "key stands before the first section");
      return;
    }
    IniSection& section = document_.sections_.back();
    if (section.Find(name) != nullptr) {
      AddIssue(line_, name, fmt::format("key stands twice in [{}]", section.name));
      return;
    }
    section.entries.push_back({name, value, line_});
  }

  void AddIssue(int line, std::string key, std::string message) {
    issues_.push_back({document_.file_, line, std::move(key), std::move(message)});
  }

  std::string_view rest_;
  IniDocument& document_;
  std::vector<Issue>& issues_;
  int line_ = 0;
};

const IniEntry* IniSection::Find(std::string_view key) const {
  const auto found = std::find_if(entries.begin(), entries.end(),
                                  [&](const IniEntry& entry) { return entry.key == key; });
  return found == entries.end() ? nullptr : &*found;
}

IniDocument IniDocument::Parse(std::string_view text, const std::string& file,
                               std::vector<Issue>& issues) {
  IniDocument document;
  document.file_ = file;
  if (text.find('\0') != std::string_view::npos) {
    issues.push_back({file, 1, "", "file holds a zero byte"});
    return document;
  }
  IniParser(text, document, issues).Run();
  return document;
}

const IniSection* IniDocument::Find(std::string_view name) const {
  const auto found = std::find_if(sections_.begin(), sections_.end(),
                                  [&](const IniSection& section) { return section.name == name; });
  return found == sections_.end() ? nullptr : &*found;
}

std::string ReadTextFile(const std::string& path) {
  std::ifstream stream(path, std::ios::binary);
  std::ostringstream text;
  if (!stream || !(text << stream.rdbuf())) {
    throw SettingsError({{path, 0, "", "cannot be read"}});
  }
  if (text.view().size() > kMaximumFileLength) {
    throw SettingsError({{path, 0, "", "is larger than 1 MiB"}});
  }
  return text.str();
}

}  // namespace borageloft::settings
