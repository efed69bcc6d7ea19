#ifndef BORAGELOFT_MESH_STARTUP_REPORT_H_
#define BORAGELOFT_MESH_STARTUP_REPORT_H_

#include <cstddef>
#include <string>
#include <vector>

#include "libraries/base/base.h"

namespace borageloft::mesh {

/** What a started node has obtained of what it needs to answer requests. */
struct StartupState {
  std::size_t control_hosts = 0;  ///< Control hosts that answer.
  bool has_declaration = false;
  bool has_recalled_departures = false;
  bool has_instance = false;  ///< Whether the upstream on this host is known.
  std::size_t instances = 0;  ///< Instances in the directory, the own one included.
};

/** @return What the node still waits for, in the order in which it is obtained. */
std::vector<std::string> FindWaits(const StartupState& state);

/**
 * Logs, from the start of a node until it can answer requests, what it is waiting for. Not
 * thread-safe.
 */
class StartupReport {
 public:
  /** @param start Start of the node. */
  explicit StartupReport(base::TimePoint start) : start_(start), next_log_(start + kLogInterval) {}

  /** Logs what is missing if a line is due, or that nothing is missing any more. */
  void Check(const StartupState& state, base::TimePoint now);

  /** @return Whether everything was obtained; later losses are not startup waits. */
  bool is_complete() const { return is_complete_; }

  static constexpr std::chrono::seconds kLogInterval{1};

 private:
  base::TimePoint start_;
  base::TimePoint next_log_;
  bool is_complete_ = false;
};

}  // namespace borageloft::mesh

#endif  // BORAGELOFT_MESH_STARTUP_REPORT_H_
