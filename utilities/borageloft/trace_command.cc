#include <fmt/format.h>

#include <fstream>
#include <memory>

#include "libraries/tracing/tracing.h"
#include "utilities/borageloft/commands.h"
#include "utilities/borageloft/exit_code.h"

namespace borageloft::command_line {

namespace {

/** Options of the trace command. */
struct TraceOptions {
  std::string trace_id;
  std::vector<std::string> files;
};

std::vector<tracing::Span> ReadSpans(const TraceOptions& options) {
  std::vector<tracing::Span> spans;
  for (const std::string& file : options.files) {
    std::ifstream stream(file);
    if (!stream) {
      throw base::Error(file + " cannot be read");
    }
    std::string line;
    while (std::getline(stream, line)) {
      // A node that was killed may have left a cut last line.
      if (line.find(options.trace_id) == std::string::npos || !line.ends_with('}')) {
        continue;
      }
      tracing::Span span = tracing::ParseSpan(line);
      if (span.context.trace_id == options.trace_id) {
        spans.push_back(std::move(span));
      }
    }
  }
  return spans;
}

}  // namespace

void AddTraceCommand(CLI::App& application, int& exit_code) {
  auto options = std::make_shared<TraceOptions>();
  CLI::App* trace = application.add_subcommand("trace", "Print one trace as a tree");
  trace->add_option("id", options->trace_id, "Trace id, 32 hexadecimal digits")->required();
  trace->add_option("files", options->files, "Span files of the nodes")->required();
  trace->footer("Example: borageloft trace 4bf92f3577b34da6a3ce929d0e0e4736 /var/log/spans/*");
  trace->callback([options, &exit_code] {
    const std::string tree = tracing::FormatTraceTree(ReadSpans(*options));
    if (tree.empty()) {
      fmt::print(stderr, "no span of trace {} was found\n", options->trace_id);
      exit_code = ExitCode::kRefused;
      return;
    }
    fmt::print("{}", tree);
  });
}

}  // namespace borageloft::command_line
