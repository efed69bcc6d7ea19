#include "libraries/tracing/span.h"

#include <json/json.h>

#include <array>
#include <memory>

namespace borageloft::tracing {

namespace {

constexpr std::array kKinds = {SpanKind::kNodeIn, SpanKind::kQueue, SpanKind::kNodeOut,
                               SpanKind::kUpstream};

// Numbers of OTLP's SpanKind and StatusCode.
constexpr int kOtlpInternal = 1;
constexpr int kOtlpServer = 2;
constexpr int kOtlpClient = 3;
constexpr int kOtlpOk = 1;
constexpr int kOtlpError = 2;

int OtlpKindOf(SpanKind kind) {
  switch (kind) {
    case SpanKind::kNodeIn:
      return kOtlpServer;
    case SpanKind::kQueue:
      return kOtlpInternal;
    case SpanKind::kNodeOut:
    case SpanKind::kUpstream:
      return kOtlpClient;
  }
  return kOtlpInternal;
}

Json::Value MakeAttribute(const std::string& key, const std::string& value) {
  Json::Value attribute;
  attribute["key"] = key;
  attribute["value"]["stringValue"] = value;
  return attribute;
}

SpanKind ParseKind(const std::string& name) {
  for (const SpanKind kind : kKinds) {
    if (name == NameOf(kind)) {
      return kind;
    }
  }
  throw base::Error("span has an unknown name: " + name);
}

base::WallTime ParseTime(const Json::Value& value) {
  return base::WallTime(base::Duration(std::stoll(value.asString())));
}

}  // namespace

const char* NameOf(SpanKind kind) {
  switch (kind) {
    case SpanKind::kNodeIn:
      return "node in";
    case SpanKind::kQueue:
      return "queue";
    case SpanKind::kNodeOut:
      return "node out";
    case SpanKind::kUpstream:
      return "upstream";
  }
  return "";
}

std::string FormatSpan(const Span& span, const std::string& node) {
  Json::Value record;
  record["traceId"] = span.context.trace_id;
  record["spanId"] = span.context.span_id;
  if (!span.parent_span_id.empty()) {
    record["parentSpanId"] = span.parent_span_id;
  }
  record["name"] = NameOf(span.kind);
  record["kind"] = OtlpKindOf(span.kind);
  record["startTimeUnixNano"] = std::to_string(span.start.time_since_epoch().count());
  record["endTimeUnixNano"] = std::to_string(span.end.time_since_epoch().count());
  record["status"]["code"] = span.status == SpanStatus::kOk ? kOtlpOk : kOtlpError;
  for (const auto& [key, value] : span.attributes) {
    record["attributes"].append(MakeAttribute(key, value));
  }
  Json::Value scope;
  scope["scope"]["name"] = "borageloft";
  scope["spans"].append(record);
  Json::Value resource;
  resource["resource"]["attributes"].append(MakeAttribute("service.name", "borageloftd"));
  resource["resource"]["attributes"].append(MakeAttribute("service.instance.id", node));
  resource["scopeSpans"].append(scope);
  Json::Value line;
  line["resourceSpans"].append(resource);
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, line);
}

Span ParseSpan(std::string_view line) {
  const Json::CharReaderBuilder builder;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value root;
  std::string errors;
  if (!reader->parse(line.data(), line.data() + line.size(), &root, &errors)) {
    throw base::Error("span is no JSON: " + errors);
  }
  try {
    const Json::Value& resource = root["resourceSpans"][0];
    const Json::Value& record = resource["scopeSpans"][0]["spans"][0];
    Span span;
    span.context.trace_id = record["traceId"].asString();
    span.context.span_id = record["spanId"].asString();
    span.context.sampling = Sampling::kRecorded;
    span.parent_span_id = record["parentSpanId"].asString();
    span.kind = ParseKind(record["name"].asString());
    span.start = ParseTime(record["startTimeUnixNano"]);
    span.end = ParseTime(record["endTimeUnixNano"]);
    span.status =
        record["status"]["code"].asInt() == kOtlpOk ? SpanStatus::kOk : SpanStatus::kError;
    for (const Json::Value& attribute : record["attributes"]) {
      span.attributes[attribute["key"].asString()] = attribute["value"]["stringValue"].asString();
    }
    for (const Json::Value& attribute : resource["resource"]["attributes"]) {
      if (attribute["key"].asString() == "service.instance.id") {
        span.attributes["node"] = attribute["value"]["stringValue"].asString();
      }
    }
    return span;
  } catch (const std::exception& error) {
    throw base::Error(std::string("span is malformed: ") + error.what());
  }
}

}  // namespace borageloft::tracing
