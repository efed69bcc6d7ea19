#include "libraries/tracing/trace_context.h"

#include <fmt/format.h>

#include <algorithm>

namespace borageloft::tracing {

namespace {

constexpr std::size_t kTraceIdLength = 32;
constexpr std::size_t kSpanIdLength = 16;
constexpr std::size_t kTraceIdStart = 3;
constexpr std::size_t kSpanIdStart = kTraceIdStart + kTraceIdLength + 1;
constexpr std::size_t kFlagsStart = kSpanIdStart + kSpanIdLength + 1;
constexpr std::size_t kLength = kFlagsStart + 2;

bool IsHexadecimal(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char digit) {
    return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f');
  });
}

bool IsIdentifier(std::string_view text) {
  return IsHexadecimal(text) && text.find_first_not_of('0') != std::string_view::npos;
}

std::string DrawId(const base::Random& random) {
  // An identifier of zeros is invalid.
  return fmt::format("{:016x}", std::max<std::uint64_t>(random(), 1));
}

}  // namespace

std::optional<TraceContext> ParseTraceparent(std::string_view value) {
  if (value.size() != kLength || !value.starts_with("00-") || value[kSpanIdStart - 1] != '-' ||
      value[kFlagsStart - 1] != '-') {
    return std::nullopt;
  }
  const std::string_view trace_id = value.substr(kTraceIdStart, kTraceIdLength);
  const std::string_view span_id = value.substr(kSpanIdStart, kSpanIdLength);
  const std::string_view flags = value.substr(kFlagsStart);
  if (!IsIdentifier(trace_id) || !IsIdentifier(span_id) || !IsHexadecimal(flags)) {
    return std::nullopt;
  }
  const bool is_sampled = std::string_view("13579bdf").find(flags[1]) != std::string_view::npos;
  return TraceContext{std::string(trace_id), std::string(span_id),
                      is_sampled ? Sampling::kRecorded : Sampling::kDropped};
}

std::string FormatTraceparent(const TraceContext& context) {
  return fmt::format("00-{}-{}-{}", context.trace_id, context.span_id,
                     context.sampling == Sampling::kRecorded ? "01" : "00");
}

TraceContext StartTrace(const base::Random& random, double share) {
  const bool is_sampled = base::DrawFraction(random) < share;
  return {DrawId(random) + DrawId(random), DrawId(random),
          is_sampled ? Sampling::kRecorded : Sampling::kDropped};
}

TraceContext StartChild(const TraceContext& parent, const base::Random& random) {
  return {parent.trace_id, DrawId(random), parent.sampling};
}

}  // namespace borageloft::tracing
