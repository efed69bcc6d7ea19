#ifndef BORAGELOFT_HTTP_STREAM_STALLED_SENDER_POLICY_H_
#define BORAGELOFT_HTTP_STREAM_STALLED_SENDER_POLICY_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "libraries/base/base.h"

namespace borageloft::http_stream {

/** A request of which a part has arrived, or a connection that has not sent any yet. */
struct IncompleteRequest {
  std::uint64_t connection = 0;
  std::size_t bytes = 0;            ///< Memory that is held for it.
  base::TimePoint progressed_at{};  ///< When a noticeable part of it last arrived.
};

/**
 * Selects the connections to close while incomplete requests take all connections or all memory
 * that a server may use.
 *
 * The load that this answers: many callers stop in the middle of a request, or send it a few bytes
 * at a time, and keep ordinary callers out until their time is up.
 *
 * @param incomplete Connections without a request in progress.
 * @param patience Time without progress below which no connection is selected.
 * @return Connections in the order in which to close them: those that hold the most memory for the
 *     longest time come first.
 */
std::vector<std::uint64_t> SelectStalledSenders(const std::vector<IncompleteRequest>& incomplete,
                                                base::TimePoint now, base::Duration patience);

}  // namespace borageloft::http_stream

#endif  // BORAGELOFT_HTTP_STREAM_STALLED_SENDER_POLICY_H_
