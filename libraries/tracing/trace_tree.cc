#include "libraries/tracing/trace_tree.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

namespace borageloft::tracing {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

/** Writes the spans of one trace below their parents. */
class TreeWriter {
 public:
  explicit TreeWriter(std::vector<Span> spans) : spans_(std::move(spans)) {
    std::stable_sort(spans_.begin(), spans_.end(),
                     [](const Span& a, const Span& b) { return a.start < b.start; });
    std::set<std::string> known;
    for (const Span& span : spans_) {
      known.insert(span.context.span_id);
    }
    for (const Span& span : spans_) {
      const bool is_top =
          !known.contains(span.parent_span_id) || span.parent_span_id == span.context.span_id;
      children_[is_top ? "" : span.parent_span_id].push_back(&span);
    }
  }

  std::string Write() {
    if (!spans_.empty()) {
      text_ = fmt::format("trace {}\n", spans_.front().context.trace_id);
      WriteChildren("", 1);
    }
    return text_;
  }

 private:
  void WriteChildren(const std::string& parent, std::size_t depth) {
    // Taken out first, so that a cycle of malformed spans ends.
    const auto found = children_.extract(parent);
    if (found.empty()) {
      return;
    }
    for (const Span* span : found.mapped()) {
      WriteSpan(*span, depth);
      WriteChildren(span->context.span_id, depth + 1);
    }
  }

  void WriteSpan(const Span& span, std::size_t depth) {
    const Milliseconds begin = span.start - spans_.front().start;
    const Milliseconds length = span.end - span.start;
    text_ += fmt::format("{:>9.3f} ms {:>9.3f} ms {:{}}{}{}", begin.count(), length.count(), "",
                         2 * depth, NameOf(span.kind),
                         span.status == SpanStatus::kError ? " FAILED" : "");
    for (const auto& [key, value] : span.attributes) {
      text_ += fmt::format(" {}={}", key, value);
    }
    text_ += '\n';
  }

  std::vector<Span> spans_;
  std::map<std::string, std::vector<const Span*>> children_;
  std::string text_;
};

}  // namespace

std::string FormatTraceTree(std::vector<Span> spans) {
  return TreeWriter(std::move(spans)).Write();
}

}  // namespace borageloft::tracing
