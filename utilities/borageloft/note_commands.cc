#include <fmt/format.h>

#include <memory>
#include <thread>

#include "libraries/notes/notes.h"
#include "utilities/borageloft/commands.h"
#include "utilities/borageloft/exit_code.h"
#include "utilities/borageloft/node_connection.h"

namespace borageloft::command_line {

namespace {

/** Options shared by the note commands. */
struct NoteOptions {
  NodeConnection connection;
  std::string file;
  std::uint64_t number = 0;
  bool waits = false;
};

const std::vector<Column> kHistoryColumns = {
    {"NUMBER", "number"}, {"AUTHOR", "author"}, {"DIGEST", "digest"}};
const std::vector<Column> kZoneColumns = {{"ZONE", "zone"},
                                          {"NODES", "nodes"},
                                          {"LOWEST NOTE", "lowest_number"},
                                          {"UNREACHABLE", "unreachable"}};

void CheckNote(const NoteOptions& options, bool asks_node) {
  const std::string text = settings::ReadTextFile(options.file);
  const auto note = notes::ReleaseNote::Parse(text, options.file);
  if (asks_node) {
    Json::Value parameters;
    parameters["text"] = text;
    parameters["file"] = options.file;
    options.connection.Connect().Call("note_check", parameters);
  }
  fmt::print("note {} by {}: {} changes, digest {}, valid{}\n", note.number(), note.author(),
             note.changes().size(), note.digest(), asks_node ? " against the policy in force" : "");
}

// A zone without reachable nodes is shown and not waited for.
bool IsInForceEverywhere(const Json::Value& zones, std::uint64_t number) {
  bool has_nodes = false;
  for (const Json::Value& zone : zones) {
    if (zone["nodes"].asUInt64() == 0) {
      continue;
    }
    has_nodes = true;
    if (zone["lowest_number"].asUInt64() < number) {
      return false;
    }
  }
  return has_nodes;
}

int WaitForZones(const NoteOptions& options, std::uint64_t number) {
  const control_rpc::RpcClient client = options.connection.Connect();
  const auto end =
      std::chrono::steady_clock::now() + std::chrono::seconds(options.connection.timeout_seconds);
  Json::Value zones;
  while (std::chrono::steady_clock::now() < end) {
    zones = client.Call("status", Json::Value(Json::objectValue))["zones"];
    if (IsInForceEverywhere(zones, number)) {
      PrintRows(options.connection.format(), kZoneColumns, zones);
      return ExitCode::kDone;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  PrintRows(options.connection.format(), kZoneColumns, zones);
  fmt::print(stderr, "note {} is accepted and not yet in force in every zone\n", number);
  return ExitCode::kUnknown;
}

int SubmitNote(const NoteOptions& options) {
  const std::string text = settings::ReadTextFile(options.file);
  const auto note = notes::ReleaseNote::Parse(text, options.file);
  Json::Value parameters;
  parameters["text"] = text;
  parameters["file"] = options.file;
  const Json::Value result = options.connection.Connect().Call("note_submit", parameters);
  if (options.connection.wants_json && !options.waits) {
    PrintJson(result);
  } else {
    fmt::print(stderr, "note {}: {}\n", note.number(), result["result"].asString());
  }
  return options.waits ? WaitForZones(options, note.number()) : ExitCode::kDone;
}

void ShowNote(const NoteOptions& options) {
  Json::Value parameters(Json::objectValue);
  parameters["number"] = static_cast<Json::UInt64>(options.number);
  const Json::Value note = options.connection.Connect().Call("note_show", parameters);
  if (options.connection.wants_json) {
    PrintJson(note);
  } else {
    fmt::print("{}", note["text"].asString());
  }
}

}  // namespace

void AddNoteCommands(CLI::App& application, int& exit_code) {
  CLI::App* note = application.add_subcommand("note", "Check, submit and show release notes");
  note->require_subcommand(1);

  auto check_options = std::make_shared<NoteOptions>();
  auto asks_node = std::make_shared<bool>(false);
  CLI::App* check = note->add_subcommand("check", "Check a release note without submitting it");
  check->add_option("file", check_options->file, "Release note")->required();
  check->add_flag("--against-node", *asks_node, "Check against the policy in force as well");
  check_options->connection.AddOptions(*check);
  check->footer("Example: borageloft note check notes/0007.ini --against-node");
  check->callback([check_options, asks_node] { CheckNote(*check_options, *asks_node); });

  auto submit_options = std::make_shared<NoteOptions>();
  CLI::App* submit = note->add_subcommand("submit", "Submit a release note; it is safe to resend");
  submit->add_option("file", submit_options->file, "Release note")->required();
  submit->add_flag("--wait", submit_options->waits, "Wait until it is in force in every zone");
  submit_options->connection.AddTableOptions(*submit);
  submit->footer("Example: borageloft note submit notes/0007.ini --wait");
  submit->callback([submit_options, &exit_code] { exit_code = SubmitNote(*submit_options); });

  auto show_options = std::make_shared<NoteOptions>();
  CLI::App* show = note->add_subcommand("show", "Print an accepted release note");
  show->add_option("number", show_options->number, "Number; the latest without it");
  show_options->connection.AddTableOptions(*show);
  show->footer("Example: borageloft note show 7");
  show->callback([show_options] { ShowNote(*show_options); });

  auto history_options = std::make_shared<NoteOptions>();
  CLI::App* history = note->add_subcommand("history", "List accepted release notes");
  history_options->connection.AddTableOptions(*history);
  history->footer("Example: borageloft note history --json");
  history->callback([history_options] {
    const Json::Value result =
        history_options->connection.Connect().Call("note_history", Json::Value(Json::objectValue));
    PrintRows(history_options->connection.format(), kHistoryColumns, result["notes"]);
  });
}

}  // namespace borageloft::command_line
