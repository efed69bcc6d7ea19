#ifndef BORAGELOFT_REQUEST_PATH_REFUSAL_H_
#define BORAGELOFT_REQUEST_PATH_REFUSAL_H_

#include <string_view>

namespace borageloft::request_path {

/** Why a request got no answer of an upstream. */
enum class Refusal {
  kNone,
  kNoDeclaration,        // This node knows no declaration yet.
  kNodeLeaving,          // This node is about to end and takes no further request.
  kNoRoute,              // No route matches host and path.
  kMalformed,            // The request lacks its id or has a deadline that is no number.
  kNoInstance,           // The service has no instance that takes work.
  kInstanceGone,         // The gate's instance is another one than expected, or there is none.
  kInstanceLeaving,      // The gate's instance is draining.
  kInstanceUnreachable,  // The instance takes no connection.
  kQueueFull,            // The gate has more waiting requests than can be served in time.
  kWaitedTooLong,        // No slot became free in time.
  kShedAtEntry,          // The entry gave way to more important requests.
  kDeadlinePassed,       // The caller's deadline or the route's timeout passed.
  kNotSent,              // The connection to the gate's node failed before the request was sent.
  kConnectionLost,       // The connection to the gate's node failed after the request was sent.
  kUpstreamLost,         // The connection to the upstream ended without a whole answer.
  kUpstreamGarbled,      // The upstream sent what is no whole answer of its own.
  kCallFailed,           // The upstream failed because a call that it made failed.
  kTooManyBytes,         // This node holds as many bytes of requests as it may.
};

/** @return Stable word for logs, metrics and messages between nodes. */
std::string_view TextOf(Refusal refusal);

/** @return The refusal named by @p text, or kUpstreamLost for an unknown word. */
Refusal RefusalOf(std::string_view text);

}  // namespace borageloft::request_path

#endif  // BORAGELOFT_REQUEST_PATH_REFUSAL_H_
