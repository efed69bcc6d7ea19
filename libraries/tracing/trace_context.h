#ifndef BORAGELOFT_TRACING_TRACE_CONTEXT_H_
#define BORAGELOFT_TRACING_TRACE_CONTEXT_H_

#include <optional>
#include <string>
#include <string_view>

#include "libraries/base/base.h"

namespace borageloft::tracing {

/** Whether the spans of a trace are recorded. */
enum class Sampling { kDropped, kRecorded };

/** Trace context of W3C Trace Context, version 00. */
struct TraceContext {
  std::string trace_id;  // 32 lower-case hexadecimal digits.
  std::string span_id;   // 16 lower-case hexadecimal digits.
  Sampling sampling = Sampling::kDropped;

  friend bool operator==(const TraceContext&, const TraceContext&) = default;
};

/** @return The context of a traceparent header, or nothing when it is malformed. */
std::optional<TraceContext> ParseTraceparent(std::string_view value);

/** @return The value of the traceparent header. */
std::string FormatTraceparent(const TraceContext& context);

/**
 * Starts a trace.
 * @param share Share of traces that is recorded, 0 to 1.
 */
TraceContext StartTrace(const base::Random& random, double share);

/** @return A context of the same trace with a new span. */
TraceContext StartChild(const TraceContext& parent, const base::Random& random);

}  // namespace borageloft::tracing

#endif  // BORAGELOFT_TRACING_TRACE_CONTEXT_H_
