#ifndef BORAGELOFT_TRACING_TRACE_TREE_H_
#define BORAGELOFT_TRACING_TRACE_TREE_H_

#include <string>
#include <vector>

#include "libraries/tracing/span.h"

namespace borageloft::tracing {

/**
 * Formats one trace as an indented tree with the time from its start, the length of each span and
 * its attributes. A span whose parent is missing stands at the top.
 * @param spans Spans of one trace, in any order.
 */
std::string FormatTraceTree(std::vector<Span> spans);

}  // namespace borageloft::tracing

#endif  // BORAGELOFT_TRACING_TRACE_TREE_H_
