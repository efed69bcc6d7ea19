#ifndef BORAGELOFT_SETTINGS_NODE_SETTINGS_H_
#define BORAGELOFT_SETTINGS_NODE_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "libraries/settings/endpoint.h"
#include "libraries/settings/issue.h"

namespace borageloft::settings {

/** A control host as named in the settings of every node. */
struct ControlPeer {
  std::string node;
  std::string region;
  Endpoint endpoint;

  friend bool operator==(const ControlPeer&, const ControlPeer&) = default;
};

/** Bounds of what the node accepts. */
struct LimitSettings {
  std::int64_t header_bytes = 16 * 1024;
  std::int64_t body_bytes = 1024 * 1024;
  std::int64_t frame_bytes = 1280 * 1024;
  std::int64_t streams = 4096;
  std::int64_t caller_connections = 1024;
  std::int64_t peer_connections = 1024;
  std::int64_t workers = 0;  // 0: one for each announced upstream slot.
  std::int64_t subset = 24;
};

/** Intervals of the connections between nodes. */
struct TransportSettings {
  base::Duration ping_interval = std::chrono::milliseconds(500);
  base::Duration silence_timeout = std::chrono::seconds(2);
  base::Duration connect_timeout = std::chrono::seconds(1);
  std::int64_t io_threads = 2;
};

/** Everything that one node reads from its settings file. */
struct NodeSettings {
  std::string node;
  std::string region;
  std::string zone;
  Endpoint callers;
  Endpoint local;
  Endpoint peers;
  Endpoint operators;
  std::string token_file;
  std::vector<ControlPeer> control_peers;
  /**
   * Ledger groups in each region, equal on all nodes. A change moves keys to other groups, so it
   * must be made on all nodes while no non-idempotent request of the last 24 h may be sent again.
   */
  std::int64_t ledger_groups = 1;
  std::string data_folder;
  LimitSettings limits;
  TransportSettings transport;
  base::Duration drain_timeout = std::chrono::seconds(30);
  std::string span_file;
  double span_share = 0.01;
  std::string log_level;
  bool has_controls = true;

  /** @return Whether this node is a control host: it has a data folder and is among the peers. */
  bool is_control_host() const;
};

/**
 * Parses and checks the settings of a node.
 * @param text Contents of the file.
 * @param file Name used in faults.
 * @throws SettingsError with every fault found.
 */
NodeSettings ParseNodeSettings(const std::string& text, const std::string& file);

/** Reads, parses and checks the file at @p path. @throws SettingsError with every fault found. */
NodeSettings LoadNodeSettings(const std::string& path);

}  // namespace borageloft::settings

#endif  // BORAGELOFT_SETTINGS_NODE_SETTINGS_H_
