#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>

#include "libraries/node/node.h"
#include "libraries/settings/settings.h"

namespace {

using borageloft::base::LogLevel;

constexpr int kRefused = 1;
constexpr int kUsage = 2;

LogLevel ParseLevel(const std::string& level) {
  if (level == "debug") {
    return LogLevel::kDebug;
  }
  if (level == "warning") {
    return LogLevel::kWarning;
  }
  return level == "error" ? LogLevel::kError : LogLevel::kInfo;
}

// Blocks the signals in every thread, so that sigwait alone receives them.
sigset_t BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

int Run(const std::string& file, bool is_check) {
  const borageloft::settings::NodeSettings settings = borageloft::settings::LoadNodeSettings(file);
  if (is_check) {
    fmt::print("{}: valid settings of node {}\n", file, settings.node);
    return 0;
  }
  borageloft::base::SetLogLevel(ParseLevel(settings.log_level));
  const sigset_t signals = BlockSignals();
  borageloft::node::Node node(settings);
  int signal = 0;
  sigwait(&signals, &signal);
  borageloft::base::Log(LogLevel::kInfo, "node_draining", {{"signal", signal}});
  const bool is_drained = node.Drain();
  borageloft::base::Log(LogLevel::kInfo, "node_stopped", {{"drained", is_drained}});
  return is_drained ? 0 : kRefused;
}

}  // namespace

int main(int argument_count, char** arguments) {
  CLI::App application("borageloftd: the node beside an upstream");
  std::string file;
  bool is_check = false;
  application.add_option("--settings", file, "Settings file (INI)")->required();
  application.add_flag("--check", is_check, "Check the settings and exit");
  application.footer("Example: borageloftd --settings /etc/borageloft/node.ini");
  try {
    application.parse(argument_count, arguments);
    return Run(file, is_check);
  } catch (const CLI::ParseError& error) {
    return application.exit(error) == 0 ? 0 : kUsage;
  } catch (const std::exception& error) {
    fmt::print(stderr, "{}\n", error.what());
    return kRefused;
  }
}
