#include "libraries/tracing/tracing.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <future>

namespace borageloft::tracing {
namespace {

using ::testing::HasSubstr;

Span MakeSpan(const TraceContext& context, const std::string& parent, SpanKind kind, int start) {
  return {context,
          parent,
          kind,
          base::WallTime(std::chrono::milliseconds(start)),
          base::WallTime(std::chrono::milliseconds(start + 5)),
          SpanStatus::kOk,
          {{"service", "parts-bin"}}};
}

TEST(TraceContextTest, RoundTripsAndRefusesMalformedHeaders) {
  const TraceContext context = StartTrace(base::SeededRandom(1), 1.0);
  EXPECT_EQ(ParseTraceparent(FormatTraceparent(context)), context);
  for (const char* value :
       {"", "00-0-0-01", "01-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
        "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
        "00-4bf92f3577b34da6a3ce929d0e0e4736-00F067aa0ba902b7-01"}) {
    EXPECT_FALSE(ParseTraceparent(value)) << value;
  }
}

TEST(SpanTest, RoundTripsThroughOtlpJson) {
  const TraceContext context = StartTrace(base::SeededRandom(1), 1.0);
  const Span span = MakeSpan(context, "00f067aa0ba902b7", SpanKind::kQueue, 7);
  const std::string line = FormatSpan(span, "n1");
  EXPECT_EQ(line.find('\n'), std::string::npos);
  const Span parsed = ParseSpan(line);
  EXPECT_EQ(parsed.context, context);
  EXPECT_EQ(parsed.start, span.start);
  EXPECT_EQ(parsed.attributes.at("node"), "n1");
  EXPECT_THROW(ParseSpan("{}"), base::Error);
  EXPECT_THROW(ParseSpan("["), base::Error);
}

TEST(TraceTreeTest, IndentsChildrenAndKeepsOrphans) {
  const base::Random random = base::SeededRandom(2);
  const TraceContext root = StartTrace(random, 1.0);
  const TraceContext child = StartChild(root, random);
  const std::string tree = FormatTraceTree(
      {MakeSpan(child, root.span_id, SpanKind::kUpstream, 12),
       MakeSpan(root, "", SpanKind::kNodeIn, 10),
       MakeSpan(StartChild(root, random), "feedfeedfeedfeed", SpanKind::kQueue, 13)});
  EXPECT_THAT(tree, HasSubstr("\n    0.000 ms     5.000 ms   node in"));
  EXPECT_THAT(tree, HasSubstr("ms     upstream"));
  EXPECT_THAT(tree, HasSubstr("ms   queue"));
}

// Guards against requests that wait for a slow disk, and against spans lost without a count.
TEST(SpanExporterTest, FullQueueDropsAndCounts) {
  std::promise<void> release;
  std::shared_future<void> released = release.get_future().share();
  std::promise<void> entered;
  int lines = 0;
  const TraceContext context = StartTrace(base::SeededRandom(1), 1.0);
  {
    SpanExporter exporter(
        "n1",
        [&](const std::string&) {
          if (lines++ == 0) {
            entered.set_value();
          }
          released.wait();
        },
        2);
    exporter.Export(MakeSpan(context, "", SpanKind::kNodeIn, 1));
    entered.get_future().wait();
    for (int i = 0; i < 5; ++i) {
      exporter.Export(MakeSpan(context, "", SpanKind::kNodeIn, 1));
    }
    EXPECT_EQ(exporter.dropped(), 3U);
    release.set_value();
  }
  EXPECT_EQ(lines, 3);
}

}  // namespace
}  // namespace borageloft::tracing
