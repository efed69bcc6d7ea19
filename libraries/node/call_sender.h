#ifndef BORAGELOFT_NODE_CALL_SENDER_H_
#define BORAGELOFT_NODE_CALL_SENDER_H_

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "libraries/node/node_services.h"
#include "libraries/node/upstream_gate.h"
#include "libraries/transport/transport.h"

namespace borageloft::node {

/** An attempt that is under way. */
struct SentCall {
  std::function<void()> cancel;
};

/** Sends one attempt to the gate of a node: over the transport, or directly to this node's own. */
class CallSender {
 public:
  /** @param transport Transport; its node must be the one that @p gate belongs to. */
  CallSender(const NodeServices& services, UpstreamGate& gate, transport::PeerTransport& transport)
      : services_(services), gate_(gate), transport_(transport) {}

  /**
   * Sends an attempt.
   * @param handler Receives its end exactly once, possibly before this function returns.
   */
  SentCall Send(const transport::PeerAddress& peer, wire::Request request,
                transport::ResponseHandler handler);

  /** An attempt got an answer: its connection works. */
  void RecordAnswer(const std::string& node);

  /** An attempt got no answer in time. Several in a row replace the connection. */
  void RecordTimeout(const std::string& node);

 private:
  // A connection may look alive while something between the two ends drops what it carries.
  static constexpr int kTimeoutsBeforeReplacement = 3;

  SentCall SendToOwnGate(wire::Request request, transport::ResponseHandler handler);

  const NodeServices& services_;
  UpstreamGate& gate_;
  transport::PeerTransport& transport_;
  std::mutex mutex_;  // Leaf lock for the counts only.
  std::map<std::string, int> timeouts_;
};

}  // namespace borageloft::node

#endif  // BORAGELOFT_NODE_CALL_SENDER_H_
