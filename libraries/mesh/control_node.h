#ifndef BORAGELOFT_MESH_CONTROL_NODE_H_
#define BORAGELOFT_MESH_CONTROL_NODE_H_

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "libraries/control_member/control_member.h"
#include "libraries/mesh/dialect.h"
#include "libraries/mesh/node_loop.h"

namespace borageloft::mesh {

/**
 * The process on a control host: a member of the replicated group that stores the declaration, and
 * the directory of the nodes. Connects the libraries and contains no policy of its own. Runs on the
 * thread of its event loop; not thread-safe.
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
  void HandleControl(const std::string& from, wire::Channel channel, const std::string& payload);
  std::set<std::string> OtherControlHosts() const;
  void SendToControlHosts(const directory::SyncAnswer& changes);
  void HandleSync(const std::string& from, const directory::SyncRequest& request);
  void HandleDeparture(const directory::DepartureRequest& request);
  void SendDepartures(const std::string& node, std::uint64_t epoch);
  void HandleCall(const http_stream::RequestMessage& message,
                  const http_stream::Exchange& exchange);
  void HandleReplace(const ReplaceCall& call, const std::string& target,
                     const http_stream::Exchange& exchange);
  declaration::DeclarationChanges ChangesOf(const declaration::Declaration& next) const;
  void HandleRead(const std::string& target, const http_stream::Exchange& exchange);
  void Redirect(const std::string& target, const http_stream::Exchange& exchange);
  void Respond(const http_stream::Exchange& exchange, unsigned status, std::string body);
  void RespondMetrics(const http_stream::Exchange& exchange);
  void CheckStopped();

  NodeLoop& loop_;
  const Dialect dialect_;
  const std::string node_;
  base::Clock clock_ = base::SystemClock();
  const storage::FileSystem file_system_;
  storage::DataFolder data_folder_;
  directory::ControlDirectory directory_;
  std::unique_ptr<transport::PeerTransport> peers_;
  std::unique_ptr<control_member::Member> member_;
  // Departures that are proposed and not yet committed; nodes repeat their requests meanwhile.
  std::vector<directory::Departure> proposed_departures_;
  std::unique_ptr<http_stream::Server> call_server_;
  std::unique_ptr<http_stream::Server> metrics_server_;
  bool is_draining_ = false;
  bool is_stopped_ = false;
  base::TimePoint draining_since_{};
};

}  // namespace borageloft::mesh

#endif  // BORAGELOFT_MESH_CONTROL_NODE_H_
