#include <fmt/format.h>
#include <json/json.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <memory>
#include <optional>

#include "libraries/declaration/declaration.h"
#include "libraries/settings/settings.h"
#include "platform/configuration_codec.h"
#include "utilities/borageloft/commands.h"

namespace borageloft::command_line {

namespace {

constexpr int kSound = 0;
constexpr int kHasRemarks = 1;
constexpr int kHasErrors = 2;
// All changes: the report is for a person who reviews them.
constexpr std::size_t kAllChanges = 1'000'000;

struct CheckOptions {
  std::string file;
  std::string against;
  bool is_strict = false;
  bool is_json = false;
};

/** What a check found in one file. */
struct CheckReport {
  std::optional<std::string> error;
  std::vector<declaration::Remark> remarks;
  std::vector<std::string> changes;
};

/** @return Number of the first line that contains @p name in quotes, or 0. */
std::size_t LineOf(const std::string& text, const std::string& name) {
  const std::size_t position = text.find('"' + name + '"');
  if (position == std::string::npos) {
    return 0;
  }
  return 1 + static_cast<std::size_t>(std::count(
                 text.begin(), text.begin() + static_cast<std::ptrdiff_t>(position), '\n'));
}

CheckReport Check(const std::string& text, const std::string& against) {
  CheckReport report;
  declaration::Declaration checked;
  try {
    checked = platform::DecodeConfiguration(text);
    report.error = declaration::FindFault(checked);
  } catch (const declaration::DeclarationError& error) {
    report.error = error.what();
  }
  if (report.error) {
    return report;
  }
  report.remarks = declaration::FindRemarks(checked);
  if (!against.empty()) {
    const declaration::Declaration before =
        platform::DecodeConfiguration(settings::ReadTextFile(against));
    if (checked.version <= before.version) {
      report.error = "the version is not above the one in force";
    }
    report.changes = declaration::FindChanges(before, checked, kAllChanges).entries;
  }
  return report;
}

void PrintText(const CheckOptions& options, const std::string& text, const CheckReport& report) {
  if (report.error) {
    fmt::print("{}: error: {}\n", options.file, *report.error);
  }
  for (const declaration::Remark& remark : report.remarks) {
    fmt::print("{}:{}: warning: '{}': {}\n", options.file, LineOf(text, remark.entry), remark.entry,
               remark.text);
  }
  for (const std::string& change : report.changes) {
    fmt::print("change: {}\n", change);
  }
}

void PrintJson(const CheckOptions& options, const std::string& text, const CheckReport& report) {
  Json::Value root(Json::objectValue);
  root["file"] = options.file;
  root["error"] = report.error ? Json::Value(*report.error) : Json::Value();
  root["warnings"] = Json::Value(Json::arrayValue);
  for (const declaration::Remark& remark : report.remarks) {
    Json::Value warning(Json::objectValue);
    warning["line"] = static_cast<Json::UInt64>(LineOf(text, remark.entry));
    warning["entry"] = remark.entry;
    warning["text"] = remark.text;
    root["warnings"].append(warning);
  }
  root["changes"] = Json::Value(Json::arrayValue);
  for (const std::string& change : report.changes) {
    root["changes"].append(change);
  }
  fmt::print("{}", root.toStyledString());
}

int Run(const CheckOptions& options) {
  const std::string text = settings::ReadTextFile(options.file);
  const CheckReport report = Check(text, options.against);
  (options.is_json ? PrintJson : PrintText)(options, text, report);
  if (report.error) {
    return kHasErrors;
  }
  return options.is_strict && !report.remarks.empty() ? kHasRemarks : kSound;
}

}  // namespace

void AddCheckCommand(CLI::App& application, int& exit_code) {
  const auto options = std::make_shared<CheckOptions>();
  CLI::App* command = application.add_subcommand(
      "check", "Check a configuration of the prepared platform before it is sent");
  command->add_option("file", options->file, "Configuration (JSON)")->required();
  command->add_option("--against", options->against, "Configuration in force, to list the changes");
  command->add_flag("--strict", options->is_strict, "Exit with 1 if there are warnings");
  command->add_flag("--json", options->is_json, "Print the report as JSON");
  command->footer("Exit codes: 0 sound, 1 warnings (with --strict), 2 errors.");
  command->callback([options, &exit_code] { exit_code = Run(*options); });
}

}  // namespace borageloft::command_line
