#include "libraries/node/announce_api.h"

#include <fmt/format.h>
#include <json/json.h>

#include <array>
#include <limits>
#include <memory>

namespace borageloft::node {

namespace {

constexpr std::array kFields = {"service", "address", "slots", "connections", "lease_ms"};

http::HttpResponse FormatJson(int status, const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return {status, {{"Content-Type", "application/json"}}, Json::writeString(builder, value) + "\n"};
}

http::HttpResponse Refuse(int status, const std::string& reason, const std::string& detail) {
  return http::FormatProblem({status, reason, detail, wire::Outcome::kNotRun, {}});
}

bool IsKnownField(const std::string& name) {
  for (const char* field : kFields) {
    if (name == field) {
      return true;
    }
  }
  return false;
}

}  // namespace

std::optional<membership::Announcement> ParseAnnouncement(const std::string& body,
                                                          std::string& error) {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value root;
  bool is_object = false;
  try {
    is_object =
        reader->parse(body.data(), body.data() + body.size(), &root, &error) && root.isObject();
  } catch (const Json::Exception&) {
    // jsoncpp throws for arrays that are nested too deeply.
    is_object = false;
  }
  if (!is_object) {
    error = "the body is no JSON object";
    return std::nullopt;
  }
  for (const std::string& name : root.getMemberNames()) {
    if (!IsKnownField(name)) {
      error = fmt::format("field {} is unknown", name);
      return std::nullopt;
    }
  }
  for (const char* name : {"service", "address"}) {
    if (!root[name].isString()) {
      error = fmt::format("field {} must be a string", name);
      return std::nullopt;
    }
  }
  for (const char* name : {"slots", "connections", "lease_ms"}) {
    if (!root[name].isUInt()) {
      error = fmt::format("field {} must be a whole number", name);
      return std::nullopt;
    }
  }
  membership::Announcement announcement;
  announcement.service = root["service"].asString();
  announcement.address = root["address"].asString();
  announcement.slots = root["slots"].asUInt();
  announcement.connections = root["connections"].asUInt();
  announcement.lease = std::chrono::milliseconds(root["lease_ms"].asUInt());
  return announcement;
}

http::HttpResponse AnnounceApi::Handle(const http::HttpRequest& request) {
  if (request.method == "PUT") {
    return Announce(request.body);
  }
  if (request.method == "DELETE") {
    if (!gate_.Leave()) {
      return Refuse(404, "no_upstream", "no upstream is announced here");
    }
    return FormatJson(202, Json::Value(Json::objectValue));
  }
  return Refuse(405, "method_not_allowed", "use PUT to announce and DELETE to leave");
}

http::HttpResponse AnnounceApi::Announce(const std::string& body) {
  std::string error;
  const auto announcement = ParseAnnouncement(body, error);
  if (!announcement) {
    return Refuse(400, "malformed_announcement", error);
  }
  const membership::AnnounceRefusal refusal = gate_.Announce(*announcement);
  if (refusal != membership::AnnounceRefusal::kNone) {
    return Refuse(409, std::string("announcement_refused"), NameOf(refusal));
  }
  Json::Value accepted(Json::objectValue);
  accepted["lease_ms"] = static_cast<Json::Int64>(
      std::chrono::duration_cast<std::chrono::milliseconds>(announcement->lease).count());
  return FormatJson(200, accepted);
}

}  // namespace borageloft::node
