#ifndef BORAGELOFT_MESH_MESH_SETTINGS_H_
#define BORAGELOFT_MESH_MESH_SETTINGS_H_

#include <optional>
#include <string>
#include <vector>

#include "libraries/quota/quota.h"
#include "libraries/request_path/request_path.h"
#include "libraries/settings/settings.h"

namespace borageloft::mesh {

/** Role of a process. */
enum class MeshRole {
  kNode,     // Runs beside an upstream, as entry and gate.
  kControl,  // Runs on a host with a disk; stores the declaration, serves the directory.
};

/** Settings of one process; docs/SETTINGS.md lists every key. */
struct MeshSettings {
  std::string name;
  std::string zone;
  MeshRole role = MeshRole::kNode;

  settings::Endpoint callers;    ///< Listens for requests of callers and the local upstream.
  settings::Endpoint readiness;  ///< Listens for readiness checks.
  settings::Endpoint calls;      ///< Listens for the upstream's announcements, or operators' calls.
  settings::Endpoint peers;      ///< Listens for other nodes; the port is the same on every host.
  std::optional<settings::Endpoint> metrics;

  settings::Endpoint upstream;
  std::string service;
  base::Duration heartbeat_interval = std::chrono::milliseconds(1500);
  /** Whether the upstream is given its slots step by step after a start or a recovery. */
  bool uses_recovery_pace = false;

  std::vector<settings::Endpoint> seeds;  ///< `calls` addresses of some control hosts.
  bool is_first_start = false;
  std::size_t tolerated_losses = 0;
  std::string data_folder;

  /** Time after which a withdrawn key must not be accepted on any host; nothing if it only has to
   * follow the declaration in force. */
  std::optional<base::Duration> revocation_time;

  quota::QuotaOptions quotas;

  request_path::RetryBudgetOptions retries;
  base::Duration drain_time = std::chrono::seconds(6);
  std::size_t connections = 3000;
  std::size_t connections_per_address = 3000;
  // For requests of callers, and as much for those at the gate, for incomplete answers and for
  // responses that callers have not read.
  std::optional<std::size_t> held_megabytes;
  std::string log_level = "info";

  /**
   * @param machine_memory Memory of the machine in bytes.
   * @return Limit of the bytes held: as stated, or else what fits the machine.
   */
  std::size_t HeldBytes(std::size_t machine_memory) const;
};

/**
 * Loads the settings file of a process.
 * @throws settings::SettingsError listing every error found, or if the file cannot be read.
 */
MeshSettings LoadMeshSettings(const std::string& path);

/**
 * Parses settings.
 * @param file File name for error messages.
 * @throws settings::SettingsError listing every error found.
 */
MeshSettings ParseMeshSettings(const std::string& text, const std::string& file);

}  // namespace borageloft::mesh

#endif  // BORAGELOFT_MESH_MESH_SETTINGS_H_
