#include <fcntl.h>
#include <fmt/format.h>
#include <malloc.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <string_view>

#include "libraries/mesh/mesh.h"
#include "libraries/node/node.h"
#include "libraries/settings/settings.h"
#include "platform/platform_dialect.h"

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

/** Writes a line to standard output; a reader that does not keep up loses lines, never blocks. */
void WriteLine(std::string_view line) {
  std::string text(line);
  text += '\n';
  // A short write would only cut the line; the next one begins with its own line end.
  [[maybe_unused]] const ssize_t written = write(STDOUT_FILENO, text.data(), text.size());
}

/** @return Whether the file holds settings of a mesh process. */
bool IsMeshSettings(const std::string& file) {
  std::vector<borageloft::settings::Issue> issues;
  const auto document = borageloft::settings::IniDocument::Parse(
      borageloft::settings::ReadTextFile(file), file, issues);
  return document.Find("mesh") != nullptr;
}

template <typename Process>
void RunProcess(borageloft::mesh::NodeLoop& loop) {
  Process process(loop, borageloft::platform::MakePlatformDialect());
  loop.Run(
      [&] { process.BeginDrain(); },
      [&](const borageloft::mesh::MeshSettings& settings) { process.HandleSettings(settings); });
}

// By default the allocator raises these thresholds after large blocks were freed and then keeps
// freed memory. Bodies come and go, so the process would grow to several times of what it holds.
void ReturnFreedMemory() {
  constexpr int kThresholdBytes = 256 * 1024;
  mallopt(M_MMAP_THRESHOLD, kThresholdBytes);
  mallopt(M_TRIM_THRESHOLD, 2 * kThresholdBytes);
}

int RunMesh(const std::string& file, bool is_check) {
  const borageloft::mesh::MeshSettings settings = borageloft::mesh::LoadMeshSettings(file);
  if (is_check) {
    fmt::print("{}: valid settings of {}\n", file, settings.name);
    return 0;
  }
  ReturnFreedMemory();
  borageloft::base::SetLogLevel(ParseLevel(settings.log_level));
  fcntl(STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
  borageloft::base::ReplaceLogSink(WriteLine);
  std::signal(SIGPIPE, SIG_IGN);
  borageloft::mesh::NodeLoop loop(settings, file);
  if (settings.role == borageloft::mesh::MeshRole::kNode) {
    RunProcess<borageloft::mesh::MeshNode>(loop);
  } else {
    RunProcess<borageloft::mesh::ControlNode>(loop);
  }
  return 0;
}

int Run(const std::string& file, bool is_check) {
  if (IsMeshSettings(file)) {
    return RunMesh(file, is_check);
  }
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
