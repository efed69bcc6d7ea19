#ifndef BORAGELOFT_MESH_CONTROL_NODE_H_
#define BORAGELOFT_MESH_CONTROL_NODE_H_

#include <memory>

#include "libraries/mesh/control_service.h"
#include "libraries/mesh/node_loop.h"

namespace borageloft::mesh {

/**
 * The process on a control host: connects a ControlService to its sockets and its disk and contains
 * no policy of its own. Runs on the thread of its event loop; not thread-safe.
 */
class ControlNode {
 public:
  /** Opens the storage and starts listening. @throws base::Error if an address or the storage is
   * unusable. */
  ControlNode(NodeLoop& loop, Dialect dialect);
  ~ControlNode();

  ControlNode(const ControlNode&) = delete;
  ControlNode& operator=(const ControlNode&) = delete;

  /** Transfers leadership, finishes the exchanges in progress and stops the event loop. */
  void BeginDrain();

  /** Applies the seeds of reloaded settings; other changes need a restart. */
  void HandleSettings(const MeshSettings& settings);

 private:
  void RespondMetrics(const http_stream::Exchange& exchange);
  void CheckStopped();

  NodeLoop& loop_;
  base::Clock clock_ = base::SystemClock();
  const storage::FileSystem file_system_;
  storage::DataFolder data_folder_;
  std::unique_ptr<transport::PeerTransport> peers_;
  std::unique_ptr<ControlService> service_;
  std::unique_ptr<http_stream::Server> call_server_;
  std::unique_ptr<http_stream::Server> metrics_server_;
  bool is_draining_ = false;
  bool is_stopped_ = false;
  base::TimePoint draining_since_{};
};

}  // namespace borageloft::mesh

#endif  // BORAGELOFT_MESH_CONTROL_NODE_H_
