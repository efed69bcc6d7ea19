#ifndef BORAGELOFT_MESH_MESH_NODE_H_
#define BORAGELOFT_MESH_MESH_NODE_H_

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "libraries/mesh/dialect.h"
#include "libraries/mesh/mesh_settings.h"
#include "libraries/mesh/node_loop.h"
#include "libraries/mesh/node_presence.h"

namespace borageloft::mesh {

/**
 * The process beside an upstream: the entry for requests that originate on its host and the gate in
 * front of the upstream. Connects the libraries and contains no policy of its own. Runs on the
 * thread of its event loop; not thread-safe.
 */
class MeshNode {
 public:
  /** Starts listening. @throws base::Error if an address is unusable. */
  MeshNode(NodeLoop& loop, Dialect dialect);
  ~MeshNode();

  MeshNode(const MeshNode&) = delete;
  MeshNode& operator=(const MeshNode&) = delete;

  /** Starts the drain: reports that it is not ready, finishes the requests in progress and stops
   * the event loop before the drain time is over. */
  void BeginDrain();

  /** Applies the seeds of reloaded settings; other changes need a restart. */
  void HandleSettings(const MeshSettings& settings);

 private:
  void Listen();
  NodePresenceHooks MakePresenceHooks();
  void HandleCallerRequest(http_stream::RequestMessage message, base::TimePoint received,
                           const http_stream::Exchange& exchange);
  void HandleCall(const http_stream::RequestMessage& message,
                  const http_stream::Exchange& exchange);
  AnnouncementCallback RespondToAnnouncement(const http_stream::Exchange& exchange) const;
  request_path::CancelHook Send(const directory::InstanceRecord& instance, wire::Request request,
                                request_path::ResponseHandler handler);
  void HandlePeerRequest(const transport::InboundRequestId& id, wire::Request request,
                         transport::Responder respond);
  void HandlePeerCancel(const transport::InboundRequestId& id);
  void HandleDeclaration(const declaration::Declaration& declaration);
  void HandleRecords(const directory::NodeSet& changed);
  quota::QuotaHooks MakeQuotaHooks();
  void TakeQuota(const std::string& account,
                 std::function<void(const request_path::QuotaDecision& decision)> handler);
  void DescribeLoad(directory::InstanceRecord& record) const;
  void CheckDrained();
  void RespondMetrics(const http_stream::Exchange& exchange);

  NodeLoop& loop_;
  const Dialect dialect_;
  const std::string node_;
  const std::size_t held_bytes_;  // Limit for the bodies of callers, at the gate and of answers.
  base::Clock clock_ = base::SystemClock();
  base::Random random_;
  request_path::DecisionLog log_;
  std::unique_ptr<NodePresence> presence_;
  std::unique_ptr<quota::QuotaClient> quotas_;
  std::unique_ptr<request_path::UpstreamPool> pool_;
  std::unique_ptr<request_path::LocalGate> gate_;
  std::unique_ptr<request_path::Entry> entry_;
  std::unique_ptr<transport::PeerTransport> peers_;
  std::map<transport::InboundRequestId, request_path::GateTicket> inbound_;
  std::unique_ptr<http_stream::Server> caller_server_;
  std::unique_ptr<http_stream::Server> readiness_server_;
  std::unique_ptr<http_stream::Server> call_server_;
  std::unique_ptr<http_stream::Server> metrics_server_;
  std::optional<base::TimePoint> draining_since_;
};

}  // namespace borageloft::mesh

#endif  // BORAGELOFT_MESH_MESH_NODE_H_
