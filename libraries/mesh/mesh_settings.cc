#include "libraries/mesh/mesh_settings.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <string_view>

namespace borageloft::mesh {

namespace {

using settings::IniDocument;
using settings::IniSection;
using settings::Issue;
using settings::ValueParser;
using std::chrono::milliseconds;
using std::chrono::seconds;

// A body is held several times while it is passed on, and by the gate as well as by the entry.
constexpr std::size_t kMemoryPerHeldByte = 8;
constexpr std::size_t kMaximumDefaultHeldMegabytes = 32;

constexpr std::array<std::string_view, 9> kSections = {
    "mesh", "listen", "upstream", "control", "accounts", "quotas", "retries", "limits", "log"};

/** Reads the sections of one settings file. */
class MeshSettingsReader {
 public:
  MeshSettingsReader(const IniDocument& document, std::vector<Issue>& issues)
      : document_(document), issues_(issues) {}

  MeshSettings Read() {
    RefuseUnknownSections();
    ReadMesh();
    ReadListen();
    if (settings_.role == MeshRole::kNode) {
      ReadUpstream();
    }
    ReadControl();
    ReadAccounts();
    ReadQuotas();
    ReadRetries();
    ReadLimits();
    ValueParser log = Section("log");
    settings_.log_level = log.Choice("level", "info", {"debug", "info", "warning", "error"});
    log.RefuseUnknownKeys();
    return settings_;
  }

 private:
  ValueParser Section(std::string_view name) {
    return {document_.Find(name), document_.file(), issues_};
  }

  void RefuseUnknownSections() {
    for (const IniSection& section : document_.sections()) {
      if (std::find(kSections.begin(), kSections.end(), section.name) == kSections.end()) {
        issues_.push_back(
            {document_.file(), section.line, section.name,
             fmt::format("unknown section; known sections: {}", fmt::join(kSections, ", "))});
      }
    }
  }

  void ReadMesh() {
    ValueParser parser = Section("mesh");
    settings_.name = parser.RequiredName("name");
    settings_.zone = parser.RequiredName("zone");
    settings_.role = parser.Choice("role", "node", {"node", "control"}) == "node"
                         ? MeshRole::kNode
                         : MeshRole::kControl;
    parser.RefuseUnknownKeys();
  }

  settings::Endpoint RequiredAddress(ValueParser& parser, const std::string& key) {
    if (!parser.Has(key)) {
      parser.AddIssue(key, "missing; expected an address such as 10.0.0.7:8080");
      return {};
    }
    return parser.Address(key, {});
  }

  void ReadListen() {
    ValueParser parser = Section("listen");
    settings_.calls = RequiredAddress(parser, "calls");
    settings_.peers = RequiredAddress(parser, "peers");
    if (settings_.role == MeshRole::kNode) {
      settings_.callers = RequiredAddress(parser, "callers");
      settings_.readiness = RequiredAddress(parser, "readiness");
    }
    if (parser.Has("metrics")) {
      settings_.metrics = parser.Address("metrics", {});
    }
    parser.RefuseUnknownKeys();
  }

  void ReadUpstream() {
    ValueParser parser = Section("upstream");
    settings_.upstream = RequiredAddress(parser, "address");
    settings_.service = parser.RequiredName("service");
    settings_.heartbeat_interval = parser.Time("heartbeat_interval", settings_.heartbeat_interval,
                                               milliseconds(50), seconds(60));
    settings_.uses_recovery_pace = parser.YesNo("recovery_pace", false);
    parser.RefuseUnknownKeys();
  }

  void ReadControl() {
    ValueParser parser = Section("control");
    for (const std::string& text : parser.List("seeds")) {
      if (const auto endpoint = settings::ParseEndpoint(text)) {
        settings_.seeds.push_back(*endpoint);
      } else {
        parser.AddIssue("seeds", "'" + text + "' is not an address such as 10.0.0.7:8080");
      }
    }
    if (settings_.seeds.empty()) {
      parser.AddIssue("seeds", "missing; expected the address of at least one control host");
    }
    settings_.is_first_start = parser.YesNo("first_start", false);
    settings_.tolerated_losses =
        static_cast<std::size_t>(parser.Integer("tolerated_losses", 0, 0, 7));
    settings_.data_folder = parser.Text("data_folder", "");
    if (settings_.role == MeshRole::kControl && settings_.data_folder.empty()) {
      parser.AddIssue("data_folder", "missing; a control host stores its state in this folder");
    }
    parser.RefuseUnknownKeys();
  }

  void ReadAccounts() {
    ValueParser parser = Section("accounts");
    if (parser.Has("revocation_time")) {
      settings_.revocation_time =
          parser.Time("revocation_time", seconds(5), seconds(1), seconds(3600));
    }
    parser.RefuseUnknownKeys();
  }

  void ReadQuotas() {
    ValueParser parser = Section("quotas");
    settings_.quotas.window =
        parser.Time("window", settings_.quotas.window, seconds(1), seconds(600));
    settings_.quotas.overshoot = parser.Share("overshoot", settings_.quotas.overshoot, 0, 1);
    settings_.quotas.slack = static_cast<double>(
        parser.Integer("slack", static_cast<std::int64_t>(settings_.quotas.slack), 0, 100'000));
    parser.RefuseUnknownKeys();
  }

  void ReadRetries() {
    ValueParser parser = Section("retries");
    settings_.retries.ratio = parser.Share("ratio", settings_.retries.ratio, 0, 1);
    settings_.retries.minimum = static_cast<double>(parser.Integer(
        "minimum", static_cast<std::int64_t>(settings_.retries.minimum), 0, 100'000));
    settings_.retries.window =
        parser.Time("window", settings_.retries.window, seconds(1), seconds(600));
    parser.RefuseUnknownKeys();
  }

  void ReadLimits() {
    ValueParser parser = Section("limits");
    settings_.drain_time =
        parser.Time("drain_time", settings_.drain_time, seconds(1), seconds(600));
    settings_.connections = static_cast<std::size_t>(parser.Integer(
        "connections", static_cast<std::int64_t>(settings_.connections), 16, 60'000));
    settings_.connections_per_address = static_cast<std::size_t>(parser.Integer(
        "connections_per_address", static_cast<std::int64_t>(settings_.connections), 1, 60'000));
    if (parser.Has("held_megabytes")) {
      settings_.held_megabytes = static_cast<std::size_t>(
          parser.Integer("held_megabytes", kMaximumDefaultHeldMegabytes, 1, 4096));
    }
    parser.RefuseUnknownKeys();
  }

  const IniDocument& document_;
  std::vector<Issue>& issues_;
  MeshSettings settings_;
};

}  // namespace

std::size_t MeshSettings::HeldBytes(std::size_t machine_memory) const {
  const std::size_t fitting =
      std::max<std::size_t>((machine_memory / kMemoryPerHeldByte) >> 20U, 1);
  return held_megabytes.value_or(std::min(fitting, kMaximumDefaultHeldMegabytes)) << 20U;
}

MeshSettings ParseMeshSettings(const std::string& text, const std::string& file) {
  std::vector<Issue> issues;
  const IniDocument document = IniDocument::Parse(text, file, issues);
  MeshSettings result = MeshSettingsReader(document, issues).Read();
  if (!issues.empty()) {
    throw settings::SettingsError(std::move(issues));
  }
  return result;
}

MeshSettings LoadMeshSettings(const std::string& path) {
  return ParseMeshSettings(settings::ReadTextFile(path), path);
}

}  // namespace borageloft::mesh
