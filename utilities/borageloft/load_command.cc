#include <fmt/format.h>

#include <memory>

#include "libraries/settings/settings.h"
#include "libraries/workbench/workbench.h"
#include "utilities/borageloft/commands.h"
#include "utilities/borageloft/interrupt.h"
#include "utilities/borageloft/table.h"

namespace borageloft::command_line {

namespace {

using Seconds = std::chrono::duration<double>;

/** Command line options of a load run. */
struct Options {
  workbench::LoadOptions load;
  std::vector<std::string> targets;
  std::vector<std::string> kinds;
  std::vector<std::string> commands;
  std::string arrivals = "poisson";
  double duration_s = 10;
  double trigger_begin_s = 0;
  double trigger_end_s = 0;
  bool wants_json = false;
};

base::Duration ToDuration(double seconds) {
  return std::chrono::duration_cast<base::Duration>(Seconds(seconds));
}

// A kind is written as label=L,weight=W,service=S,method=M,path=P,key=yes,timeout_ms=T,body=N.
workbench::RequestKind ParseKind(const std::string& text) {
  workbench::RequestKind kind;
  for (const std::string& part : settings::SplitList(text)) {
    const std::size_t equals = part.find('=');
    const std::string name = part.substr(0, equals);
    const std::string value = equals == std::string::npos ? "" : part.substr(equals + 1);
    if (name == "label") {
      kind.label = value;
    } else if (name == "weight") {
      kind.weight = std::stod(value);
    } else if (name == "service") {
      kind.service = value;
    } else if (name == "method") {
      kind.method = value;
    } else if (name == "path") {
      kind.path = value;
    } else if (name == "key" && (value == "yes" || value == "no")) {
      kind.key = value == "yes" ? workbench::KeyUse::kFreshUuid : workbench::KeyUse::kNone;
    } else if (name == "timeout_ms") {
      kind.timeout = std::chrono::milliseconds(std::stol(value));
    } else if (name == "body") {
      kind.body_bytes = std::stoul(value);
    } else {
      throw workbench::Error("--kind: unknown part \"" + part + "\"");
    }
  }
  return kind;
}

// A command is written as SECONDS@IP:port/JSON.
workbench::CommandHook ParseCommand(const std::string& text) {
  const std::size_t at = text.find('@');
  const std::size_t slash = text.find('/');
  if (at == std::string::npos || slash == std::string::npos || slash < at) {
    throw workbench::Error("--at: expected SECONDS@IP:port/JSON");
  }
  workbench::CommandHook hook;
  hook.at = ToDuration(std::stod(text.substr(0, at)));
  hook.target = workbench::Address::Parse(text.substr(at + 1, slash - at - 1));
  hook.body = text.substr(slash + 1);
  return hook;
}

void RunLoad(Options options) {
  workbench::LoadOptions& load = options.load;
  for (const std::string& target : options.targets) {
    load.targets.push_back(workbench::Address::Parse(target));
  }
  for (const std::string& kind : options.kinds) {
    load.kinds.push_back(ParseKind(kind));
  }
  for (const std::string& command : options.commands) {
    load.commands.push_back(ParseCommand(command));
  }
  load.arrivals = options.arrivals == "uniform" ? workbench::ArrivalProcess::kUniform
                                                : workbench::ArrivalProcess::kPoisson;
  load.duration = ToDuration(options.duration_s);
  if (options.trigger_end_s > 0) {
    load.trigger = {ToDuration(options.trigger_begin_s), ToDuration(options.trigger_end_s)};
  }
  const std::stop_token stop = StopOnInterrupt();
  const workbench::LoadReport report = workbench::LoadGenerator(load).Run(stop);
  if (options.wants_json) {
    PrintJson(report.ToJson());
  } else {
    fmt::print("{}", report.ToTable());
  }
}

}  // namespace

void AddLoadCommand(CLI::App& application, int& /*exit_code*/) {
  auto options = std::make_shared<Options>();
  CLI::App* command = application.add_subcommand(
      "load", "Send requests at a stated rate that does not wait for answers");
  workbench::LoadOptions& load = options->load;
  command->add_option("--target", options->targets, "Callers' addresses of nodes, used in turn")
      ->required();
  command
      ->add_option("--kind", options->kinds,
                   "Kind of request: label=L,weight=W,service=S,method=M,path=P,key=yes|no,"
                   "timeout_ms=T,body=BYTES")
      ->required();
  command->add_option("--rate", load.rate_per_second, "Requests a second")->capture_default_str();
  command->add_option("--arrivals", options->arrivals, "Gaps between requests")
      ->check(CLI::IsMember({"poisson", "uniform"}))
      ->capture_default_str();
  command->add_option("--duration", options->duration_s, "Seconds")->capture_default_str();
  command->add_option("--most", load.most_requests, "Bound of requests")->capture_default_str();
  command->add_option("--senders", load.senders, "Requests in flight at most")
      ->capture_default_str();
  command->add_option("--seed", load.seed, "Seed")->capture_default_str();
  command->add_option("--retries", load.retries, "Immediate retries after a failure")
      ->capture_default_str();
  command->add_option("--trigger-begin", options->trigger_begin_s, "Seconds from the start");
  command->add_option("--trigger-end", options->trigger_end_s, "Seconds from the start");
  command->add_option("--surge", load.surge_multiplier, "Rate multiplier during the trigger")
      ->capture_default_str();
  command->add_option("--at", options->commands, "Command to a stand-in, as SECONDS@IP:port/JSON");
  command->add_option("--record", load.record_path, "File for keys and their outcomes");
  command->add_flag("--json", options->wants_json, "Print JSON in place of a table");
  command->footer(
      "Example: borageloft load --target 127.0.0.1:7000 --rate 500 --duration 10 "
      "--kind label=browse,service=catalog-front,path=/list,timeout_ms=500");
  command->callback([options] { RunLoad(*options); });
}

}  // namespace borageloft::command_line
