#ifndef BORAGELOFT_MESH_INSTANCE_PROBE_H_
#define BORAGELOFT_MESH_INSTANCE_PROBE_H_

#include <functional>
#include <string>

#include "libraries/directory/directory.h"
#include "libraries/http_stream/http_stream.h"
#include "libraries/request_path/request_path.h"

namespace borageloft::mesh {

/** Hooks of an InstanceProbe. */
struct InstanceProbeHooks {
  /** Receives the upstream's response, or status 0 if there was none. */
  using AnswerHandler = std::function<void(const http_stream::ResponseMessage& answer)>;
  /** Sends a health check to the upstream on this host. */
  std::function<void(const std::string& path, AnswerHandler handler)> send_probe;
  /** Called after an instance was adopted. */
  std::function<void()> on_found;
};

/**
 * Finds out which instance runs on this host after the node was restarted without its upstream.
 * Without the probe the upstream would get no work until its next heartbeat. Only a healthy
 * upstream that is not leaving names its instance with status 200; any other response is ignored,
 * and the instance is learned from its heartbeats. Not thread-safe.
 */
class InstanceProbe {
 public:
  /** @param start Time at which the node's process started. */
  InstanceProbe(directory::LocalInstance& instance, const request_path::HeaderNames& names,
                InstanceProbeHooks hooks, base::TimePoint start);

  /**
   * Sends a probe if no instance is known yet and the node started recently.
   * @param path Health check path of the upstream; empty if it has none.
   */
  void Check(const std::string& path, base::TimePoint now);

 private:
  void HandleAnswer(const http_stream::ResponseMessage& answer, base::TimePoint probed_at);

  directory::LocalInstance& instance_;
  request_path::HeaderNames names_;
  InstanceProbeHooks hooks_;
  base::TimePoint start_;
  base::TimePoint next_probe_{};
  bool is_probing_ = false;
};

}  // namespace borageloft::mesh

#endif  // BORAGELOFT_MESH_INSTANCE_PROBE_H_
