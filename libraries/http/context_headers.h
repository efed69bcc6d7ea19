#ifndef BORAGELOFT_HTTP_CONTEXT_HEADERS_H_
#define BORAGELOFT_HTTP_CONTEXT_HEADERS_H_

#include <optional>
#include <string>
#include <string_view>

#include "libraries/wire/wire.h"

namespace borageloft::http {

constexpr const char* kContextHeader = "Borageloft-Context";
constexpr const char* kTimeoutHeader = "Borageloft-Timeout-Ms";
constexpr const char* kServiceHeader = "Borageloft-Service";
constexpr const char* kOutcomeHeader = "Borageloft-Outcome";
constexpr const char* kTraceHeader = "traceparent";
constexpr const char* kKeyHeader = "Idempotency-Key";

/** Context of a root request as the upstream forwards it, with its deadline. */
struct ForwardedContext {
  wire::RequestContext context;
  base::WallTime deadline;
};

/** @return The value of the Borageloft-Context header. */
std::string FormatContext(const ForwardedContext& forwarded);

/**
 * Parses the value of the Borageloft-Context header.
 * @return The context, or nothing when a field is missing, unknown, repeated or out of range.
 */
std::optional<ForwardedContext> ParseContext(std::string_view value);

/** @return The time of a Borageloft-Timeout-Ms header, 1 ms to 600 s, or nothing when malformed. */
std::optional<base::Duration> ParseTimeout(std::string_view value);

/** @return The word for an outcome in the Borageloft-Outcome header. */
const char* NameOf(wire::Outcome outcome);

}  // namespace borageloft::http

#endif  // BORAGELOFT_HTTP_CONTEXT_HEADERS_H_
