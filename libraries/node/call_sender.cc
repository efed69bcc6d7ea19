#include "libraries/node/call_sender.h"

#include <utility>

namespace borageloft::node {

SentCall CallSender::Send(const transport::PeerAddress& peer, wire::Request request,
                          transport::ResponseHandler handler) {
  if (peer.node == services_.settings.node) {
    return SendToOwnGate(std::move(request), std::move(handler));
  }
  const transport::CallId call =
      transport_.SendRequest(peer, std::move(request), std::move(handler));
  return {[this, call] { transport_.CancelCall(call); }};
}

SentCall CallSender::SendToOwnGate(wire::Request request, transport::ResponseHandler handler) {
  const base::TimePoint deadline = services_.clock() + request.remaining;
  const GateCallId id = gate_.Submit(
      std::move(request), deadline,
      [handler = std::move(handler)](wire::Response response) { handler(std::move(response)); });
  return {[this, id] { gate_.Cancel(id); }};
}

void CallSender::RecordAnswer(const std::string& node) {
  const std::scoped_lock lock(mutex_);
  timeouts_.erase(node);
}

void CallSender::RecordTimeout(const std::string& node) {
  {
    const std::scoped_lock lock(mutex_);
    if (++timeouts_[node] < kTimeoutsBeforeReplacement) {
      return;
    }
    timeouts_.erase(node);
  }
  transport_.ReplaceConnection(node);
}

}  // namespace borageloft::node
