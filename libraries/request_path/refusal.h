#ifndef BORAGELOFT_REQUEST_PATH_REFUSAL_H_
#define BORAGELOFT_REQUEST_PATH_REFUSAL_H_

#include <string_view>

namespace borageloft::request_path {

/** Reason why a request has no answer from an upstream, or why that answer is an error. */
enum class Refusal {
  kNone,
  kNoDeclaration,        // This node has not received a declaration yet.
  kNodeLeaving,          // This node is about to stop and accepts no further requests.
  kNoRoute,              // No route matches the host and path.
  kMalformed,            // The request has no id or no host, or an invalid timeout.
  kNoInstance,           // The service has no instance left to try.
  kInstanceGone,         // The gate has no instance, or not the expected one.
  kInstanceLeaving,      // The gate's instance is draining, or its node is about to stop.
  kInstanceUnreachable,  // The instance does not accept connections.
  kQueueFull,            // The expected wait is too long, or the upstream rejected the request.
  kRateLimited,          // The expected wait for the rate that the upstream names is too long.
  kWaitedTooLong,        // No slot became free within the wait limit.
  kShedAtEntry,          // The entry shed the request in favour of more important ones.
  kDeadlinePassed,       // The caller's deadline or the route's timeout passed.
  kNotSent,              // The connection to the node of the gate failed before the send.
  kConnectionLost,       // The connection to the node of the gate failed after the send.
  kUpstreamLost,         // The connection to the upstream ended before a complete answer.
  kUpstreamGarbled,      // The answer is malformed, or a success without the seal header.
  kCallFailed,           // The upstream returned an error after one of its calls failed.
  kTooManyBytes,         // The request bodies on this node have reached their size limit.
  kUnknownKey,           // No client account holds the key, or the request has none.
  kOrphanedCall,   // The request that made the call no longer runs, so its account is unknown.
  kKeysOutdated,   // This node may have missed the withdrawal of the key.
  kQuotaExceeded,  // The client account has used up its quota.
  kQuotaUnknown,   // The owner of the quotas cannot be reached.
};

/** @return Stable identifier for logs, metrics and messages between nodes. */
std::string_view TextOf(Refusal refusal);

/** @return The refusal identified by @p text; kUpstreamLost if it is unknown. */
Refusal RefusalOf(std::string_view text);

}  // namespace borageloft::request_path

#endif  // BORAGELOFT_REQUEST_PATH_REFUSAL_H_
