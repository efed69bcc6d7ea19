#ifndef BORAGELOFT_MESH_INSTANCE_PROBE_H_
#define BORAGELOFT_MESH_INSTANCE_PROBE_H_

#include <functional>
#include <string>

#include "libraries/directory/directory.h"
#include "libraries/http_stream/http_stream.h"
#include "libraries/request_path/request_path.h"

namespace borageloft::mesh {

/** Everything of a probe that varies between production and tests. */
struct InstanceProbeHooks {
  /** Receives the upstream's answer, with status 0 if there was none. */
  using AnswerHandler = std::function<void(const http_stream::ResponseMessage& answer)>;
  /** Asks the upstream on this host how it is. */
  std::function<void(const std::string& path, AnswerHandler handler)> ask;
  /** Called after the instance was taken as known. */
  std::function<void()> on_found;
};

/**
 * Asks the upstream on this host who it is after a start of the node alone. Without it the upstream
 * would get no work until its next heartbeat. Only a healthy upstream that is not leaving says so;
 * any other answer leaves the matter to the heartbeats. Not thread-safe.
 */
class InstanceProbe {
 public:
  /** @param start When the process started. */
  InstanceProbe(directory::LocalInstance& instance, const request_path::HeaderNames& names,
                InstanceProbeHooks hooks, base::TimePoint start);

  /**
   * Asks if the instance is still unknown and the node has started lately.
   * @param path Where the upstream tells its health; empty if it does not.
   */
  void Check(const std::string& path, base::TimePoint now);

 private:
  void HandleAnswer(const http_stream::ResponseMessage& answer, base::TimePoint asked);

  directory::LocalInstance& instance_;
  request_path::HeaderNames names_;
  InstanceProbeHooks hooks_;
  base::TimePoint start_;
  base::TimePoint next_{};
  bool is_asking_ = false;
};

}  // namespace borageloft::mesh

#endif  // BORAGELOFT_MESH_INSTANCE_PROBE_H_
