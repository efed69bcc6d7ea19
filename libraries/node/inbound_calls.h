#ifndef BORAGELOFT_NODE_INBOUND_CALLS_H_
#define BORAGELOFT_NODE_INBOUND_CALLS_H_

#include <map>
#include <optional>

#include "libraries/node/node_services.h"
#include "libraries/node/upstream_gate.h"
#include "libraries/transport/transport.h"

namespace borageloft::node {

/** Gives requests of other nodes to the gate, and cancels them when their caller is gone. */
class InboundCalls {
 public:
  InboundCalls(const NodeServices& services, UpstreamGate& gate)
      : services_(services), gate_(gate) {}

  /** A request arrived. */
  void Start(transport::InboundRequestId id, wire::Request request, transport::Responder respond);

  /** Its caller no longer waits. */
  void Cancel(transport::InboundRequestId id);

 private:
  struct Inbound {
    std::optional<GateCallId> call;  // Unknown until the gate took the request.
    bool is_cancelled = false;
  };

  const NodeServices& services_;
  UpstreamGate& gate_;
  base::RankedMutex mutex_{base::LockRank::kTransport};
  std::map<transport::InboundRequestId, Inbound> calls_;
};

}  // namespace borageloft::node

#endif  // BORAGELOFT_NODE_INBOUND_CALLS_H_
