#include <fmt/format.h>

#include <memory>

#include "libraries/settings/settings.h"
#include "utilities/borageloft/commands.h"

namespace borageloft::command_line {

void AddSettingsCommands(CLI::App& application, int& /*exit_code*/) {
  CLI::App* settings = application.add_subcommand("settings", "Work with a node's settings");
  settings->require_subcommand(1);
  auto file = std::make_shared<std::string>();
  CLI::App* check = settings->add_subcommand("check", "Check a settings file");
  check->add_option("file", *file, "Settings file")->required();
  check->footer("Example: borageloft settings check /etc/borageloft/node.ini");
  check->callback([file] {
    const settings::NodeSettings node = settings::LoadNodeSettings(*file);
    fmt::print("{}: node {} in zone {}, {}\n", *file, node.node, node.zone,
               node.is_control_host() ? "control host" : "no control host");
  });
}

}  // namespace borageloft::command_line
