#ifndef BORAGELOFT_TRACING_SPAN_EXPORTER_H_
#define BORAGELOFT_TRACING_SPAN_EXPORTER_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

#include "libraries/tracing/span.h"

namespace borageloft::tracing {

/** Writes one finished line; runs on the exporter's thread. */
using LineWriter = std::function<void(const std::string& line)>;

/**
 * Writes spans from a bounded queue on a thread of its own. A full queue drops spans and counts
 * them; it never makes a request wait. Thread-safe.
 */
class SpanExporter {
 public:
  /**
   * @param node Name of this node, written with each span.
   * @param write Receives the lines; empty for no export.
   * @param capacity Spans that may wait.
   */
  SpanExporter(std::string node, LineWriter write, std::size_t capacity);

  /** Writes what is still queued. */
  ~SpanExporter();

  SpanExporter(const SpanExporter&) = delete;
  SpanExporter& operator=(const SpanExporter&) = delete;

  /** Queues a span if its trace is recorded. */
  void Export(Span span);

  /** @return Spans dropped because the queue was full. */
  std::uint64_t dropped() const;

 private:
  void Work();

  const std::string node_;
  const LineWriter write_;
  const std::size_t capacity_;
  // Outside the ranked order: held for single queue operations only, never across a call.
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<Span> queue_;
  std::uint64_t dropped_ = 0;
  bool is_stopping_ = false;
  std::thread thread_;
};

/**
 * @return A writer that appends lines to the file at @p path, or an empty one when it is empty.
 * @throws base::Error when the file cannot be opened.
 */
LineWriter WriteLinesTo(const std::string& path);

}  // namespace borageloft::tracing

#endif  // BORAGELOFT_TRACING_SPAN_EXPORTER_H_
