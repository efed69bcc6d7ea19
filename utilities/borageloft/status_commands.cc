#include <fmt/format.h>

#include <memory>

#include "utilities/borageloft/commands.h"
#include "utilities/borageloft/exit_code.h"
#include "utilities/borageloft/node_connection.h"

namespace borageloft::command_line {

namespace {

const std::vector<Column> kZoneColumns = {{"ZONE", "zone"},
                                          {"NODES", "nodes"},
                                          {"LOWEST NOTE", "lowest_number"},
                                          {"UNREACHABLE", "unreachable"}};
const std::vector<Column> kUpstreamColumns = {
    {"SERVICE", "service"}, {"UPSTREAM", "address"}, {"NODE", "node"},   {"ZONE", "zone"},
    {"SLOTS", "slots"},     {"STATE", "state"},      {"LEASE", "lease"}, {"AGE MS", "age_ms"}};

void PrintStatus(const NodeConnection& connection) {
  const Json::Value status = connection.Connect().Call("status", Json::Value(Json::objectValue));
  if (connection.wants_json) {
    PrintJson(status);
    return;
  }
  for (const char* member :
       {"node", "region", "zone", "note_number", "view_age_ms", "control_role", "control_leader",
        "control_members", "is_cut_off", "parent", "root_age_ms", "upstream_state", "slots",
        "limit", "in_flight", "queued", "level"}) {
    if (status.isMember(member)) {
      fmt::print(
          "{:<16} {}\n", member,
          status[member].isConvertibleTo(Json::stringValue) ? status[member].asString() : "-");
    }
  }
  fmt::print("\n{}", FormatTable(kZoneColumns, status["zones"]));
}

void PrintUpstreams(const NodeConnection& connection, const std::string& service) {
  Json::Value parameters(Json::objectValue);
  parameters["service"] = service;
  const Json::Value result = connection.Connect().Call("upstreams", parameters);
  PrintRows(connection.format(), kUpstreamColumns, result["upstreams"]);
}

}  // namespace

void AddStatusCommands(CLI::App& application, int& /*exit_code*/) {
  auto status_connection = std::make_shared<NodeConnection>();
  CLI::App* status = application.add_subcommand(
      "status", "Show a node, the note in force in each zone and the control hosts");
  status_connection->AddTableOptions(*status);
  status->footer("Example: borageloft status --node 10.0.0.7:7003");
  status->callback([status_connection] { PrintStatus(*status_connection); });

  auto upstreams_connection = std::make_shared<NodeConnection>();
  auto service = std::make_shared<std::string>();
  CLI::App* upstreams =
      application.add_subcommand("upstreams", "List upstreams; ask a control host for all");
  upstreams->add_option("service", *service, "Only this service");
  upstreams_connection->AddTableOptions(*upstreams);
  upstreams->footer("Example: borageloft upstreams parts-bin");
  upstreams->callback(
      [upstreams_connection, service] { PrintUpstreams(*upstreams_connection, *service); });

  auto drain_connection = std::make_shared<NodeConnection>();
  CLI::App* drain = application.add_subcommand(
      "drain", "Let the upstream beside a node leave; work in progress ends first");
  auto ends = std::make_shared<bool>(false);
  drain->add_flag("--end", *ends, "Let the upstream announce itself again");
  drain_connection->AddOptions(*drain);
  drain->footer("Example: borageloft drain --node 10.0.0.7:7003");
  drain->callback([drain_connection, ends] {
    const Json::Value result = drain_connection->Connect().Call(*ends ? "drain_end" : "drain",
                                                                Json::Value(Json::objectValue));
    fmt::print("{}\n", result["state"].asString());
  });
}

}  // namespace borageloft::command_line
