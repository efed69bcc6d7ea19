#include "libraries/settings/issue.h"

#include <fmt/format.h>

namespace borageloft::settings {

namespace {

std::string JoinIssues(const std::vector<Issue>& issues) {
  std::string text;
  for (const Issue& issue : issues) {
    if (!text.empty()) {
      text += '\n';
    }
    text += FormatIssue(issue);
  }
  return text;
}

}  // namespace

std::string FormatIssue(const Issue& issue) {
  if (issue.key.empty()) {
    return fmt::format("{}:{}: {}", issue.file, issue.line, issue.message);
  }
  return fmt::format("{}:{}: {}: {}", issue.file, issue.line, issue.key, issue.message);
}

SettingsError::SettingsError(std::vector<Issue> issues)
    : base::Error(JoinIssues(issues)), issues_(std::move(issues)) {}

}  // namespace borageloft::settings
