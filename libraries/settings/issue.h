#ifndef BORAGELOFT_SETTINGS_ISSUE_H_
#define BORAGELOFT_SETTINGS_ISSUE_H_

#include <string>
#include <vector>

#include "libraries/base/base.h"

namespace borageloft::settings {

/** One fault of an INI file, with its place. */
struct Issue {
  std::string file;
  int line = 0;
  std::string key;
  std::string message;

  friend bool operator==(const Issue&, const Issue&) = default;
};

/** @return "file:line: key: message", the form that editors can jump to. */
std::string FormatIssue(const Issue& issue);

/** A file was refused. Carries every fault found, so that the operator fixes them in one go. */
class SettingsError : public base::Error {
 public:
  /** @param issues All faults found; at least one. */
  explicit SettingsError(std::vector<Issue> issues);

  const std::vector<Issue>& issues() const { return issues_; }

 private:
  std::vector<Issue> issues_;
};

}  // namespace borageloft::settings

#endif  // BORAGELOFT_SETTINGS_ISSUE_H_
