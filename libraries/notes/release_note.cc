#include "libraries/notes/release_note.h"

#include <fmt/format.h>

#include <array>
#include <limits>
#include <optional>
#include <sstream>

namespace borageloft::notes {

namespace {

using settings::IniDocument;
using settings::IniEntry;
using settings::IniSection;
using settings::Issue;

constexpr std::array kActions = {Action::kAdd, Action::kChange, Action::kWithdraw};
constexpr std::array kKinds = {ObjectKind::kService, ObjectKind::kClass, ObjectKind::kRule,
                               ObjectKind::kUpstream, ObjectKind::kLimit};

template <typename Enum, std::size_t kCount>
std::optional<Enum> ParseWord(const std::array<Enum, kCount>& values, const std::string& word) {
  for (const Enum value : values) {
    if (word == NameOf(value)) {
      return value;
    }
  }
  return std::nullopt;
}

}  // namespace

const char* NameOf(Action action) {
  switch (action) {
    case Action::kAdd:
      return "added";
    case Action::kChange:
      return "changed";
    case Action::kWithdraw:
      return "withdrawn";
  }
  return "";
}

const char* NameOf(ObjectKind kind) {
  switch (kind) {
    case ObjectKind::kService:
      return "service";
    case ObjectKind::kClass:
      return "class";
    case ObjectKind::kRule:
      return "rule";
    case ObjectKind::kUpstream:
      return "upstream";
    case ObjectKind::kLimit:
      return "limit";
  }
  return "";
}

ReleaseNote ReleaseNote::Parse(const std::string& text, const std::string& file) {
  std::vector<Issue> issues;
  const IniDocument document = IniDocument::Parse(text, file, issues);
  ReleaseNote note;
  note.file_ = file;
  const IniSection* header = document.Find("note");
  if (header == nullptr) {
    issues.push_back({file, 0, "note", "section [note] with number and author is missing"});
  }
  for (const IniSection& section : document.sections()) {
    if (section.name == "note") {
      note.ParseHeader(section, issues);
    } else {
      note.ParseChange(section, issues);
    }
  }
  if (!issues.empty()) {
    throw settings::SettingsError(std::move(issues));
  }
  note.digest_ = base::Digest(note.CanonicalText());
  return note;
}

void ReleaseNote::ParseHeader(const IniSection& section, std::vector<Issue>& issues) {
  settings::ValueParser parser(&section, file_, issues);
  if (!parser.Has("number")) {
    parser.AddIssue("number", "is required");
  }
  number_ = static_cast<std::uint64_t>(
      parser.Integer("number", 1, 1, std::numeric_limits<std::int64_t>::max()));
  author_ = parser.RequiredName("author");
  parser.RefuseUnknownKeys();
}

void ReleaseNote::ParseChange(const IniSection& section, std::vector<Issue>& issues) {
  std::istringstream words(section.name);
  std::string action_word;
  std::string kind_word;
  std::string name;
  std::string rest;
  words >> action_word >> kind_word >> name >> rest;
  const auto action = ParseWord(kActions, action_word);
  const auto kind = ParseWord(kKinds, kind_word);
  if (!action || !kind || name.empty() || !rest.empty()) {
    issues.push_back({file_, section.line, section.name,
                      "expected [added|changed|withdrawn service|class|rule|upstream|limit NAME]"});
    return;
  }
  if (*action == Action::kWithdraw && !section.entries.empty()) {
    issues.push_back({file_, section.entries.front().line, section.entries.front().key,
                      "a withdrawn section takes no keys"});
  }
  for (const Change& other : changes_) {
    if (other.kind == *kind && other.name == name) {
      issues.push_back(
          {file_, section.line, section.name,
           fmt::format("{} {} is already named in line {}", kind_word, name, other.section.line)});
      return;
    }
  }
  changes_.push_back({*action, *kind, name, section});
}

std::string ReleaseNote::CanonicalText() const {
  std::string text = fmt::format("{}\n{}\n", number_, author_);
  for (const Change& change : changes_) {
    text += fmt::format("[{} {} {}]\n", NameOf(change.action), NameOf(change.kind), change.name);
    for (const IniEntry& entry : change.section.entries) {
      text += fmt::format("{}={}\n", entry.key, entry.value);
    }
  }
  return text;
}

}  // namespace borageloft::notes
