#ifndef BORAGELOFT_TRACING_TRACING_H_
#define BORAGELOFT_TRACING_TRACING_H_

/** @file Public header of the tracing library: trace context, spans, their export and reading. */

#include "libraries/tracing/span.h"
#include "libraries/tracing/span_exporter.h"
#include "libraries/tracing/trace_context.h"
#include "libraries/tracing/trace_tree.h"

#endif  // BORAGELOFT_TRACING_TRACING_H_
