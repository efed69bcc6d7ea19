#include <fmt/format.h>

#include <memory>

#include "libraries/workbench/workbench.h"
#include "utilities/borageloft/commands.h"
#include "utilities/borageloft/interrupt.h"

namespace borageloft::command_line {

namespace {

using std::chrono::milliseconds;

/** Command line options of a stand-in. */
struct Options {
  workbench::StandInOptions stand_in;
  std::string listen = "127.0.0.1:0";
  std::string command_listen = "127.0.0.1:0";
  std::string node;
  std::string shape = "lognormal";
  double mean_ms = 10;
  int lease_ms = 3000;
  int cold_start_ms = 0;
  std::vector<std::string> calls;
  bool passes_key = false;
  bool stops_at_deadline = false;
};

workbench::ServiceTimeShape ParseShape(const std::string& shape) {
  if (shape == "fixed") {
    return workbench::ServiceTimeShape::kFixed;
  }
  return shape == "exponential" ? workbench::ServiceTimeShape::kExponential
                                : workbench::ServiceTimeShape::kLognormal;
}

// A call is written as SERVICE or SERVICE/PATH.
workbench::DownstreamCall ParseCall(const std::string& text) {
  workbench::DownstreamCall call;
  const std::size_t slash = text.find('/');
  call.service = text.substr(0, slash);
  if (slash != std::string::npos) {
    call.path = text.substr(slash);
  }
  return call;
}

void RunStandIn(Options options) {
  workbench::StandInOptions& stand_in = options.stand_in;
  stand_in.listen = workbench::Address::Parse(options.listen);
  stand_in.command_listen = workbench::Address::Parse(options.command_listen);
  if (!options.node.empty()) {
    stand_in.node = workbench::Address::Parse(options.node);
  }
  stand_in.service_time.shape = ParseShape(options.shape);
  stand_in.service_time.mean = std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double, std::milli>(options.mean_ms));
  stand_in.lease = milliseconds(options.lease_ms);
  stand_in.cold_start = milliseconds(options.cold_start_ms);
  for (const std::string& call : options.calls) {
    stand_in.downstream.push_back(ParseCall(call));
  }
  stand_in.key_forwarding =
      options.passes_key ? workbench::KeyForwarding::kPassOn : workbench::KeyForwarding::kDrop;
  stand_in.deadline_handling = options.stops_at_deadline ? workbench::DeadlineHandling::kStop
                                                         : workbench::DeadlineHandling::kIgnore;
  const std::stop_token stop = StopOnInterrupt();
  workbench::StandIn server(stand_in);
  fmt::print("{{\"address\":\"{}\",\"commands\":\"{}\"}}\n", server.address().ToString(),
             server.command_address().ToString());
  std::fflush(stdout);
  server.Run(stop);
}

}  // namespace

void AddStandInCommand(CLI::App& application, int& /*exit_code*/) {
  auto options = std::make_shared<Options>();
  CLI::App* command =
      application.add_subcommand("stand-in", "Run an upstream of a stated service time");
  workbench::StandInOptions& stand_in = options->stand_in;
  command->add_option("--service", stand_in.service, "Service")->required();
  command->add_option("--listen", options->listen, "Address")->capture_default_str();
  command->add_option("--command-listen", options->command_listen, "Address for commands")
      ->capture_default_str();
  command->add_option("--node", options->node, "Local address of the node to announce to");
  command->add_option("--slots", stand_in.slots, "Requests it can run at once")
      ->capture_default_str();
  command->add_option("--connections", stand_in.connections, "Connections it accepts")
      ->capture_default_str();
  command->add_option("--mean-ms", options->mean_ms, "Mean service time")->capture_default_str();
  command->add_option("--shape", options->shape, "Distribution")
      ->check(CLI::IsMember({"fixed", "exponential", "lognormal"}))
      ->capture_default_str();
  command->add_option("--seed", stand_in.service_time.seed, "Seed")->capture_default_str();
  command
      ->add_option("--contention", stand_in.contention,
                   "Capacity lost for each SLOTS requests above SLOTS")
      ->capture_default_str();
  command->add_option("--answer-bytes", stand_in.answer_bytes, "Padding of each answer")
      ->capture_default_str();
  command->add_option("--calls", options->calls, "Services it calls, as SERVICE or SERVICE/PATH");
  command->add_option("--lease-ms", options->lease_ms, "Lease")->capture_default_str();
  command->add_option("--cold-start-ms", options->cold_start_ms, "Length of the cold start")
      ->capture_default_str();
  command->add_option("--cold-factor", stand_in.cold_factor, "Slowness while cold")
      ->capture_default_str();
  command->add_option("--record", stand_in.record_path, "File for executed idempotency keys");
  command->add_flag("--pass-key", options->passes_key, "Pass Idempotency-Key on to calls");
  command->add_flag("--stop-at-deadline", options->stops_at_deadline,
                    "Stop work whose deadline has passed");
  command->footer(
      "Example: borageloft stand-in --service parts-bin --node 127.0.0.1:7001 --calls trust-board");
  command->callback([options] { RunStandIn(*options); });
}

}  // namespace borageloft::command_line
