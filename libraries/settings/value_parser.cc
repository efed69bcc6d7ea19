#include "libraries/settings/value_parser.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <optional>

namespace borageloft::settings {

namespace {

using std::chrono::duration_cast;

struct TimeUnit {
  std::string_view suffix;
  base::Duration length;
};

// Ordered so that "ms" and "us" are tried before "s".
constexpr std::array kTimeUnits = {
    TimeUnit{"us", std::chrono::microseconds(1)}, TimeUnit{"ms", std::chrono::milliseconds(1)},
    TimeUnit{"min", std::chrono::minutes(1)}, TimeUnit{"s", std::chrono::seconds(1)},
    TimeUnit{"h", std::chrono::hours(1)}};

std::string_view Trim(std::string_view text) {
  while (!text.empty() && std::isspace(static_cast<unsigned char>(text.front())) != 0) {
    text.remove_prefix(1);
  }
  while (!text.empty() && std::isspace(static_cast<unsigned char>(text.back())) != 0) {
    text.remove_suffix(1);
  }
  return text;
}

template <typename Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number number{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

std::optional<base::Duration> ParseTime(std::string_view text) {
  for (const TimeUnit& unit : kTimeUnits) {
    if (!text.ends_with(unit.suffix)) {
      continue;
    }
    text.remove_suffix(unit.suffix.size());
    const auto count = ParseNumber<std::int64_t>(Trim(text));
    const std::int64_t limit = base::Duration::max().count() / unit.length.count();
    if (!count || *count < 0 || *count > limit) {
      return std::nullopt;
    }
    return unit.length * *count;
  }
  return std::nullopt;
}

std::string FormatTime(base::Duration time) {
  if (time % std::chrono::seconds(1) == base::Duration::zero()) {
    return fmt::format("{}s", duration_cast<std::chrono::seconds>(time).count());
  }
  if (time % std::chrono::milliseconds(1) == base::Duration::zero()) {
    return fmt::format("{}ms", duration_cast<std::chrono::milliseconds>(time).count());
  }
  return fmt::format("{}us", duration_cast<std::chrono::microseconds>(time).count());
}

bool IsName(std::string_view text) {
  constexpr std::size_t kMaximumNameLength = 64;
  return !text.empty() && text.size() <= kMaximumNameLength &&
         std::all_of(text.begin(), text.end(), [](unsigned char letter) {
           return std::isalnum(letter) != 0 || letter == '-' || letter == '_' || letter == '.';
         });
}

}  // namespace

std::vector<std::string> SplitList(std::string_view text) {
  std::vector<std::string> parts;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    const std::string_view part = Trim(text.substr(0, comma));
    if (!part.empty()) {
      parts.emplace_back(part);
    }
    text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
  }
  return parts;
}

ValueParser::ValueParser(const IniSection* section, std::string file, std::vector<Issue>& issues)
    : section_(section), file_(std::move(file)), issues_(issues) {}

bool ValueParser::Has(const std::string& key) { return Lookup(key) != nullptr; }

std::string ValueParser::Text(const std::string& key, const std::string& fallback) {
  const IniEntry* entry = Lookup(key);
  return entry == nullptr ? fallback : entry->value;
}

std::string ValueParser::RequiredText(const std::string& key) {
  std::string text = Text(key, "");
  if (text.empty()) {
    AddIssue(key, "is required");
  }
  return text;
}

std::string ValueParser::RequiredName(const std::string& key) {
  std::string text = RequiredText(key);
  if (!text.empty() && !IsName(text)) {
    AddIssue(key, fmt::format("\"{}\" is no name: 1 to 64 letters, digits, '-', '_' or '.'", text));
  }
  return text;
}

std::int64_t ValueParser::Integer(const std::string& key, std::int64_t fallback,
                                  std::int64_t minimum, std::int64_t maximum) {
  const IniEntry* entry = Lookup(key);
  if (entry == nullptr) {
    return fallback;
  }
  const auto number = ParseNumber<std::int64_t>(entry->value);
  if (!number || *number < minimum || *number > maximum) {
    AddIssue(key, fmt::format("\"{}\" is no whole number from {} to {}", entry->value, minimum,
                              maximum));
    return fallback;
  }
  return *number;
}

double ValueParser::Share(const std::string& key, double fallback, double minimum, double maximum) {
  constexpr double kPercent = 100.0;
  const IniEntry* entry = Lookup(key);
  if (entry == nullptr) {
    return fallback;
  }
  std::string_view text = entry->value;
  std::optional<double> number;
  if (text.ends_with('%')) {
    text.remove_suffix(1);
    number = ParseNumber<double>(Trim(text));
  } else if (const auto plain = ParseNumber<double>(text); plain && *plain <= 1) {
    // Above 1 a number without a sign could be meant either way.
    number = *plain * kPercent;
  }
  if (!number || !(*number >= minimum * kPercent && *number <= maximum * kPercent)) {
    AddIssue(key, fmt::format("\"{}\" is no percentage from {}% to {}%", entry->value,
                              minimum * kPercent, maximum * kPercent));
    return fallback;
  }
  return *number / kPercent;
}

base::Duration ValueParser::Time(const std::string& key, base::Duration fallback,
                                 base::Duration minimum, base::Duration maximum) {
  const IniEntry* entry = Lookup(key);
  if (entry == nullptr) {
    return fallback;
  }
  const auto time = ParseTime(entry->value);
  if (!time || *time < minimum || *time > maximum) {
    AddIssue(key, fmt::format("\"{}\" is no time from {} to {} (units us, ms, s, min, h)",
                              entry->value, FormatTime(minimum), FormatTime(maximum)));
    return fallback;
  }
  return *time;
}

bool ValueParser::YesNo(const std::string& key, bool fallback) {
  return Choice(key, fallback ? "yes" : "no", {"yes", "no"}) == "yes";
}

std::string ValueParser::Choice(const std::string& key, const std::string& fallback,
                                const std::vector<std::string>& choices) {
  const IniEntry* entry = Lookup(key);
  if (entry == nullptr) {
    return fallback;
  }
  if (std::find(choices.begin(), choices.end(), entry->value) == choices.end()) {
    AddIssue(key, fmt::format("\"{}\" is none of {}", entry->value, fmt::join(choices, ", ")));
    return fallback;
  }
  return entry->value;
}

Endpoint ValueParser::Address(const std::string& key, const Endpoint& fallback) {
  const IniEntry* entry = Lookup(key);
  if (entry == nullptr) {
    return fallback;
  }
  const auto endpoint = ParseEndpoint(entry->value);
  if (!endpoint) {
    AddIssue(key, fmt::format("\"{}\" is no IP:port such as 127.0.0.1:8080", entry->value));
    return fallback;
  }
  return *endpoint;
}

std::vector<std::string> ValueParser::List(const std::string& key) {
  return SplitList(Text(key, ""));
}

void ValueParser::AddIssue(const std::string& key, std::string message) {
  const IniEntry* entry = Lookup(key);
  const int section_line = section_ == nullptr ? 0 : section_->line;
  issues_.push_back(
      {file_, entry == nullptr ? section_line : entry->line, key, std::move(message)});
}

void ValueParser::RefuseUnknownKeys() {
  if (section_ == nullptr) {
    return;
  }
  for (const IniEntry& entry : section_->entries) {
    if (!known_.contains(entry.key)) {
      issues_.push_back({file_, entry.line, entry.key,
                         fmt::format("unknown key in [{}]; known keys: {}", section_->name,
                                     fmt::join(known_, ", "))});
    }
  }
}

const IniEntry* ValueParser::Lookup(const std::string& key) {
  known_.insert(key);
  return section_ == nullptr ? nullptr : section_->Find(key);
}

}  // namespace borageloft::settings
