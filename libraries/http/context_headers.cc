#include "libraries/http/context_headers.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <limits>
#include <map>

namespace borageloft::http {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr std::size_t kMaximumHeaderLength = 512;
constexpr std::size_t kMaximumNameLength = 64;
constexpr std::uint32_t kMaximumAllowance = 64;
constexpr std::uint32_t kMaximumDepth = 1024;
constexpr std::int64_t kMaximumTimeoutMs = 600'000;
// Keeps the conversion to nanoseconds from overflowing.
constexpr std::int64_t kMaximumUnixMs = std::numeric_limits<std::int64_t>::max() / 1'000'000;

using Fields = std::map<std::string_view, std::string_view>;

template <typename Number>
bool ReadNumber(std::string_view text, Number maximum, Number& number) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  return error == std::errc() && end == text.data() + text.size() && number >= 0 &&
         number <= maximum;
}

bool ReadName(std::string_view text, std::string& name) {
  const bool is_name =
      !text.empty() && text.size() <= kMaximumNameLength &&
      std::all_of(text.begin(), text.end(), [](unsigned char letter) {
        return std::isalnum(letter) != 0 || letter == '-' || letter == '_' || letter == '.';
      });
  name = text;
  return is_name;
}

bool ReadTime(std::string_view text, base::WallTime& time) {
  std::int64_t count = 0;
  if (!ReadNumber(text, kMaximumUnixMs, count)) {
    return false;
  }
  time = base::WallTime(milliseconds(count));
  return true;
}

std::int64_t UnixMs(base::WallTime time) {
  return duration_cast<milliseconds>(time.time_since_epoch()).count();
}

std::optional<Fields> SplitFields(std::string_view value) {
  Fields fields;
  while (!value.empty()) {
    const std::size_t end = value.find(';');
    const std::string_view field = value.substr(0, end);
    const std::size_t equals = field.find('=');
    if (equals == std::string_view::npos ||
        !fields.emplace(field.substr(0, equals), field.substr(equals + 1)).second) {
      return std::nullopt;
    }
    value = end == std::string_view::npos ? std::string_view() : value.substr(end + 1);
  }
  return fields;
}

}  // namespace

std::string FormatContext(const ForwardedContext& forwarded) {
  const wire::RequestContext& context = forwarded.context;
  return fmt::format("root={};class={};deadline={};allowance={};depth={};begun={}", context.root,
                     context.class_name, UnixMs(forwarded.deadline), context.allowance,
                     context.depth, UnixMs(context.begun));
}

std::optional<ForwardedContext> ParseContext(std::string_view value) {
  if (value.size() > kMaximumHeaderLength) {
    return std::nullopt;
  }
  const auto fields = SplitFields(value);
  constexpr std::size_t kFieldCount = 6;
  if (!fields || fields->size() != kFieldCount) {
    return std::nullopt;
  }
  const auto text = [&](const char* name) {
    const auto found = fields->find(name);
    return found == fields->end() ? std::string_view() : found->second;
  };
  ForwardedContext forwarded;
  wire::RequestContext& context = forwarded.context;
  const bool is_valid = ReadName(text("root"), context.root) &&
                        ReadName(text("class"), context.class_name) &&
                        ReadTime(text("deadline"), forwarded.deadline) &&
                        ReadNumber(text("allowance"), kMaximumAllowance, context.allowance) &&
                        ReadNumber(text("depth"), kMaximumDepth, context.depth) &&
                        ReadTime(text("begun"), context.begun);
  return is_valid ? std::optional(forwarded) : std::nullopt;
}

std::optional<base::Duration> ParseTimeout(std::string_view value) {
  std::int64_t count = 0;
  if (!ReadNumber(value, kMaximumTimeoutMs, count) || count == 0) {
    return std::nullopt;
  }
  return milliseconds(count);
}

const char* NameOf(wire::Outcome outcome) {
  switch (outcome) {
    case wire::Outcome::kNotRun:
      return "not-run";
    case wire::Outcome::kRan:
      return "ran";
    case wire::Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace borageloft::http
