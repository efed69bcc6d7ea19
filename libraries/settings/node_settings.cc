#include "libraries/settings/node_settings.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <string_view>

#include "libraries/settings/ini_document.h"
#include "libraries/settings/value_parser.h"

namespace borageloft::settings {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::array<std::string_view, 8> kSections = {"node",      "listen",   "control", "limits",
                                                       "transport", "requests", "tracing", "log"};

/** Reads the sections of one settings file into a NodeSettings. */
class NodeSettingsReader {
 public:
  NodeSettingsReader(const IniDocument& document, std::vector<Issue>& issues)
      : document_(document), issues_(issues) {}

  NodeSettings Read() {
    RefuseUnknownSections();
    ReadNode();
    ReadListen();
    ReadControl();
    ReadLimits();
    ReadTransport();
    ReadRequests();
    ReadTracing();
    ReadLog();
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

  void ReadNode() {
    ValueParser parser = Section("node");
    settings_.node = parser.RequiredName("id");
    settings_.region = parser.RequiredName("region");
    settings_.zone = parser.RequiredName("zone");
    settings_.data_folder = parser.Text("data", "");
    parser.RefuseUnknownKeys();
  }

  void ReadListen() {
    ValueParser parser = Section("listen");
    settings_.callers = RequiredAddress(parser, "callers");
    settings_.local = RequiredAddress(parser, "local");
    settings_.peers = RequiredAddress(parser, "peers");
    settings_.operators = parser.Address("operators", {"127.0.0.1", 0});
    settings_.token_file = parser.Text("token_file", "");
    if (settings_.token_file.empty() && !IsLoopback(settings_.operators)) {
      parser.AddIssue("operators", "needs a token_file unless it is a loopback address");
    }
    parser.RefuseUnknownKeys();
  }

  static Endpoint RequiredAddress(ValueParser& parser, const std::string& key) {
    if (!parser.Has(key)) {
      parser.AddIssue(key, "is required, as IP:port such as 127.0.0.1:8080");
    }
    return parser.Address(key, {});
  }

  void ReadControl() {
    ValueParser parser = Section("control");
    for (const std::string& part : parser.List("peers")) {
      AddControlPeer(parser, part);
    }
    settings_.ledger_groups = parser.Integer("ledger_groups", settings_.ledger_groups, 1, 16);
    constexpr std::size_t kMaximumControlHosts = 16;
    if (settings_.control_peers.size() > kMaximumControlHosts) {
      parser.AddIssue("peers", "names more than 16 control hosts");
    }
    const bool has_own_region =
        std::any_of(settings_.control_peers.begin(), settings_.control_peers.end(),
                    [this](const ControlPeer& peer) { return peer.region == settings_.region; });
    if (!has_own_region) {
      parser.AddIssue("peers", "names no control host of this node's region");
    }
    if (!settings_.data_folder.empty() && !settings_.is_control_host()) {
      parser.AddIssue("peers", fmt::format("does not name this node ({}), which has a data folder",
                                           settings_.node));
    }
    if (settings_.data_folder.empty() && IsNamedControlPeer()) {
      parser.AddIssue(
          "peers", fmt::format("names this node ({}), which has no data folder", settings_.node));
    }
    parser.RefuseUnknownKeys();
  }

  bool IsNamedControlPeer() const {
    return std::any_of(settings_.control_peers.begin(), settings_.control_peers.end(),
                       [this](const ControlPeer& peer) { return peer.node == settings_.node; });
  }

  // One peer is written as node/region@IP:port.
  void AddControlPeer(ValueParser& parser, const std::string& text) {
    const std::size_t slash = text.find('/');
    const std::size_t at = text.find('@');
    std::optional<Endpoint> endpoint;
    if (slash != std::string::npos && at != std::string::npos && slash < at) {
      endpoint = ParseEndpoint(text.substr(at + 1));
    }
    if (!endpoint) {
      parser.AddIssue("peers", fmt::format("\"{}\" is not of the form node/region@IP:port", text));
      return;
    }
    ControlPeer peer{text.substr(0, slash), text.substr(slash + 1, at - slash - 1), *endpoint};
    for (const ControlPeer& other : settings_.control_peers) {
      if (other.node == peer.node) {
        parser.AddIssue("peers", fmt::format("names {} twice", peer.node));
        return;
      }
    }
    settings_.control_peers.push_back(std::move(peer));
  }

  void ReadLimits() {
    ValueParser parser = Section("limits");
    LimitSettings& limits = settings_.limits;
    limits.header_bytes = parser.Integer("header_bytes", limits.header_bytes, 1024, 1 << 20);
    limits.body_bytes = parser.Integer("body_bytes", limits.body_bytes, 0, 64 << 20);
    limits.frame_bytes = parser.Integer("frame_bytes", limits.frame_bytes, 4096, 80 << 20);
    limits.streams = parser.Integer("streams", limits.streams, 1, 65536);
    limits.caller_connections =
        parser.Integer("caller_connections", limits.caller_connections, 1, 16384);
    limits.peer_connections = parser.Integer("peer_connections", limits.peer_connections, 1, 16384);
    limits.workers = parser.Integer("workers", limits.workers, 0, 4096);
    limits.subset = parser.Integer("subset", limits.subset, 2, 256);
    if (limits.frame_bytes < limits.body_bytes + limits.header_bytes) {
      parser.AddIssue("frame_bytes", "must be at least header_bytes plus body_bytes");
    }
    parser.RefuseUnknownKeys();
  }

  void ReadTransport() {
    ValueParser parser = Section("transport");
    TransportSettings& transport = settings_.transport;
    transport.ping_interval =
        parser.Time("ping_interval", transport.ping_interval, milliseconds(20), seconds(60));
    transport.silence_timeout =
        parser.Time("silence_timeout", transport.silence_timeout, milliseconds(100), seconds(300));
    transport.connect_timeout =
        parser.Time("connect_timeout", transport.connect_timeout, milliseconds(10), seconds(60));
    transport.io_threads = parser.Integer("io_threads", transport.io_threads, 1, 64);
    if (transport.silence_timeout < 2 * transport.ping_interval) {
      parser.AddIssue("silence_timeout", "must be at least twice ping_interval");
    }
    parser.RefuseUnknownKeys();
  }

  void ReadRequests() {
    ValueParser parser = Section("requests");
    settings_.drain_timeout =
        parser.Time("drain_timeout", settings_.drain_timeout, milliseconds(0), seconds(3600));
    settings_.has_controls = parser.Choice("controls", "on", {"on", "off"}) == "on";
    parser.RefuseUnknownKeys();
  }

  void ReadTracing() {
    ValueParser parser = Section("tracing");
    settings_.span_file = parser.Text("file", "");
    settings_.span_share = parser.Share("sample", settings_.span_share, 0.0, 1.0);
    parser.RefuseUnknownKeys();
  }

  void ReadLog() {
    ValueParser parser = Section("log");
    settings_.log_level = parser.Choice("level", "info", {"debug", "info", "warning", "error"});
    parser.RefuseUnknownKeys();
  }

  const IniDocument& document_;
  std::vector<Issue>& issues_;
  NodeSettings settings_;
};

}  // namespace

bool NodeSettings::is_control_host() const {
  return !data_folder.empty() &&
         std::any_of(control_peers.begin(), control_peers.end(),
                     [this](const ControlPeer& peer) { return peer.node == node; });
}

NodeSettings ParseNodeSettings(const std::string& text, const std::string& file) {
  std::vector<Issue> issues;
  const IniDocument document = IniDocument::Parse(text, file, issues);
  NodeSettings settings = NodeSettingsReader(document, issues).Read();
  if (!issues.empty()) {
    throw SettingsError(std::move(issues));
  }
  return settings;
}

NodeSettings LoadNodeSettings(const std::string& path) {
  return ParseNodeSettings(ReadTextFile(path), path);
}

}  // namespace borageloft::settings
