#include "libraries/workbench/stand_in_command.h"

#include <fmt/format.h>
#include <json/json.h>

#include <map>
#include <memory>
#include <string>

#include "libraries/workbench/error.h"

namespace borageloft::workbench {

namespace {

using Kind = StandInCommand::Kind;

Json::Value ParseObject(std::string_view text) {
  const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
  Json::Value json;
  if (!reader->parse(text.data(), text.data() + text.size(), &json, nullptr) || !json.isObject()) {
    throw Error("the command is not a JSON object");
  }
  return json;
}

Kind ParseKind(const Json::Value& json) {
  static const std::map<std::string, Kind> kinds = {
      {"slow_down", Kind::kSlowDown},
      {"fail_fast", Kind::kFailFast},
      {"silent", Kind::kSilent},
      {"truncate", Kind::kTruncate},
      {"report_load", Kind::kReportLoad},
      {"report_true_load", Kind::kReportTrueLoad},
      {"leave", Kind::kLeave},
      {"join", Kind::kJoin},
      {"cold_start", Kind::kColdStart},
      {"stop", Kind::kStop},
  };
  const Json::Value& name = json["command"];
  const auto found = name.isString() ? kinds.find(name.asString()) : kinds.end();
  if (found == kinds.end()) {
    throw Error("command is missing or unknown");
  }
  return found->second;
}

double ParseNumber(const Json::Value& json, const char* member, double lowest, double highest) {
  const Json::Value& value = json[member];
  if (!value.isNumeric() || value.asDouble() < lowest || value.asDouble() > highest) {
    throw Error(fmt::format("{} must be a number from {} to {}", member, lowest, highest));
  }
  return value.asDouble();
}

std::uint64_t ParseCount(const Json::Value& json, const char* member) {
  const Json::Value& value = json[member];
  if (!value.isUInt64()) {
    throw Error(fmt::format("{} must be a whole number of at least 0", member));
  }
  return value.asUInt64();
}

SilenceScope ParseScope(const Json::Value& json) {
  const Json::Value& value = json["scope"];
  if (value == "none") {
    return SilenceScope::kNone;
  }
  if (value == "open") {
    return SilenceScope::kOpenConnections;
  }
  if (value == "all") {
    return SilenceScope::kAll;
  }
  throw Error("scope must be all, open or none");
}

}  // namespace

StandInCommand StandInCommand::Parse(std::string_view text) {
  constexpr double kLowestFactor = 0.001;
  constexpr double kHighestFactor = 1'000'000;
  const Json::Value json = ParseObject(text);
  StandInCommand command;
  command.kind = ParseKind(json);
  switch (command.kind) {
    case Kind::kSlowDown:
      command.number = ParseNumber(json, "factor", kLowestFactor, kHighestFactor);
      break;
    case Kind::kFailFast:
    case Kind::kTruncate:
      command.number = ParseNumber(json, "share", 0, 1);
      break;
    case Kind::kSilent:
      command.scope = ParseScope(json);
      break;
    case Kind::kReportLoad:
      command.in_flight = ParseCount(json, "in_flight");
      command.limit = ParseCount(json, "limit");
      break;
    case Kind::kReportTrueLoad:
    case Kind::kLeave:
    case Kind::kJoin:
    case Kind::kColdStart:
    case Kind::kStop:
      break;
  }
  return command;
}

}  // namespace borageloft::workbench
