#include <fmt/format.h>

#include <memory>

#include "libraries/storage/storage.h"
#include "utilities/borageloft/commands.h"
#include "utilities/borageloft/exit_code.h"
#include "utilities/borageloft/table.h"

namespace borageloft::command_line {

namespace {

const std::vector<Column> kGroupColumns = {
    {"GROUP", "name"}, {"SEGMENTS", "segments"}, {"BYTES", "bytes"}, {"FIRST", "first"},
    {"LAST", "last"},  {"SNAPSHOT", "snapshot"}, {"TERM", "term"}};
const std::vector<Column> kFindingColumns = {
    {"SEVERITY", "severity"}, {"FILE", "file"}, {"OFFSET", "offset"}, {"FINDING", "message"}};

Json::Value DescribeGroup(const storage::GroupReport& group) {
  Json::Value row;
  row["name"] = group.name;
  row["segments"] = static_cast<Json::UInt64>(group.segment_count);
  row["bytes"] = static_cast<Json::UInt64>(group.log_bytes);
  row["first"] = static_cast<Json::UInt64>(group.first_index);
  row["last"] = static_cast<Json::UInt64>(group.last_index);
  if (group.snapshot) {
    row["snapshot"] = static_cast<Json::UInt64>(group.snapshot->index);
  }
  if (group.metadata) {
    row["term"] = static_cast<Json::UInt64>(group.metadata->term);
  }
  return row;
}

Json::Value DescribeFinding(const storage::Finding& finding) {
  Json::Value row;
  row["severity"] = finding.severity == storage::FindingSeverity::kError ? "error" : "notice";
  row["file"] = finding.file;
  row["offset"] = static_cast<Json::UInt64>(finding.offset);
  row["message"] = finding.message;
  return row;
}

int CheckData(const std::string& folder, OutputFormat format) {
  const storage::DataFolderReport report = storage::CheckDataFolder(folder);
  Json::Value result;
  result["folder"] = report.path;
  result["is_sound"] = report.is_sound();
  result["in_use"] = report.use == storage::FolderUse::kInUse;
  result["groups"] = Json::Value(Json::arrayValue);
  result["findings"] = Json::Value(Json::arrayValue);
  for (const storage::GroupReport& group : report.groups) {
    result["groups"].append(DescribeGroup(group));
  }
  for (const storage::Finding& finding : report.findings) {
    result["findings"].append(DescribeFinding(finding));
  }
  if (format == OutputFormat::kJson) {
    PrintJson(result);
  } else {
    fmt::print("{}", FormatTable(kGroupColumns, result["groups"]));
    if (!result["findings"].empty()) {
      fmt::print("\n{}", FormatTable(kFindingColumns, result["findings"]));
    }
    fmt::print("\n{}: {}{}\n", report.path, report.is_sound() ? "sound" : "NOT SOUND",
               report.use == storage::FolderUse::kInUse ? " (in use by a running node)" : "");
  }
  if (report.use == storage::FolderUse::kMissing) {
    fmt::print(stderr, "{} is no folder\n", folder);
    return ExitCode::kRefused;
  }
  return report.is_sound() ? ExitCode::kDone : ExitCode::kRefused;
}

}  // namespace

void AddDataCommands(CLI::App& application, int& exit_code) {
  CLI::App* data = application.add_subcommand("data", "Work with a control host's data folder");
  data->require_subcommand(1);
  auto folder = std::make_shared<std::string>();
  auto wants_json = std::make_shared<bool>(false);
  CLI::App* check = data->add_subcommand("check", "Check every file without changing any");
  check->add_option("folder", *folder, "Data folder")->required();
  check->add_flag("--json", *wants_json, "Print JSON in place of a table");
  check->footer("Example: borageloft data check /var/lib/borageloft");
  check->callback([folder, wants_json, &exit_code] {
    exit_code = CheckData(*folder, *wants_json ? OutputFormat::kJson : OutputFormat::kTable);
  });
}

}  // namespace borageloft::command_line
