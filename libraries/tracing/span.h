#ifndef BORAGELOFT_TRACING_SPAN_H_
#define BORAGELOFT_TRACING_SPAN_H_

#include <map>
#include <string>
#include <string_view>

#include "libraries/tracing/trace_context.h"

namespace borageloft::tracing {

/** Part of a hop that a span covers. */
enum class SpanKind { kNodeIn, kQueue, kNodeOut, kUpstream };

/** Whether the work that a span covers brought a whole answer. */
enum class SpanStatus { kOk, kError };

/** One finished span. */
struct Span {
  TraceContext context;
  std::string parent_span_id;
  SpanKind kind = SpanKind::kNodeIn;
  base::WallTime start;
  base::WallTime end;
  SpanStatus status = SpanStatus::kOk;
  std::map<std::string, std::string> attributes;
};

/** @return The name of a span of this kind. */
const char* NameOf(SpanKind kind);

/** @return One line of OTLP/JSON with @p span. @param node Written as service.instance.id. */
std::string FormatSpan(const Span& span, const std::string& node);

/** @return The span of a line that FormatSpan() wrote. @throws base::Error when malformed. */
Span ParseSpan(std::string_view line);

}  // namespace borageloft::tracing

#endif  // BORAGELOFT_TRACING_SPAN_H_
