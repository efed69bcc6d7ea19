#include "libraries/tracing/span_exporter.h"

#include <fstream>
#include <memory>
#include <utility>

namespace borageloft::tracing {

SpanExporter::SpanExporter(std::string node, LineWriter write, std::size_t capacity)
    : node_(std::move(node)), write_(std::move(write)), capacity_(capacity) {
  if (write_) {
    thread_ = std::thread([this] { Work(); });
  }
}

SpanExporter::~SpanExporter() {
  {
    const std::scoped_lock lock(mutex_);
    is_stopping_ = true;
    changed_.notify_all();
  }
  if (thread_.joinable()) {
    thread_.join();
  }
}

void SpanExporter::Export(Span span) {
  if (!write_ || span.context.sampling == Sampling::kDropped) {
    return;
  }
  const std::scoped_lock lock(mutex_);
  if (queue_.size() >= capacity_) {
    ++dropped_;
    return;
  }
  queue_.push_back(std::move(span));
  changed_.notify_one();
}

std::uint64_t SpanExporter::dropped() const {
  const std::scoped_lock lock(mutex_);
  return dropped_;
}

void SpanExporter::Work() {
  std::unique_lock lock(mutex_);
  while (true) {
    changed_.wait(lock, [this] { return is_stopping_ || !queue_.empty(); });
    if (queue_.empty()) {
      return;
    }
    const std::deque<Span> batch = std::exchange(queue_, {});
    lock.unlock();
    for (const Span& span : batch) {
      write_(FormatSpan(span, node_));
    }
    lock.lock();
  }
}

LineWriter WriteLinesTo(const std::string& path) {
  if (path.empty()) {
    return {};
  }
  auto stream = std::make_shared<std::ofstream>(path, std::ios::app);
  if (!*stream) {
    throw base::Error("span file " + path + " cannot be opened");
  }
  return [stream](const std::string& line) { *stream << line << '\n' << std::flush; };
}

}  // namespace borageloft::tracing
