#ifndef BORAGELOFT_HTTP_STREAM_SLOW_READER_POLICY_H_
#define BORAGELOFT_HTTP_STREAM_SLOW_READER_POLICY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "libraries/base/base.h"

namespace borageloft::http_stream {

/** Responses that a connection has not written yet. */
struct UnreadResponses {
  std::uint64_t connection = 0;
  std::size_t bytes = 0;
  base::TimePoint progressed_at{};  ///< When bytes were last written, or the first response came.
};

/**
 * Chooses the connection to close when the responses that callers have not read take more memory
 * than a node may use.
 *
 * The load that this answers: many callers ask for long responses and read them slowly or not at
 * all. The connection that holds the most bytes for the longest time without progress is closed
 * first. A caller that reads is closed only if no other one holds anything.
 *
 * @param unread Connections that hold responses.
 * @return Connection to close; nothing if none holds any bytes.
 */
std::optional<std::uint64_t> ChooseSlowReader(const std::vector<UnreadResponses>& unread,
                                              base::TimePoint now);

}  // namespace borageloft::http_stream

#endif  // BORAGELOFT_HTTP_STREAM_SLOW_READER_POLICY_H_
