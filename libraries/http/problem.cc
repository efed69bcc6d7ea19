#include "libraries/http/problem.h"

#include <json/json.h>

#include <algorithm>

#include "libraries/http/context_headers.h"

namespace borageloft::http {

HttpResponse FormatProblem(const Problem& problem) {
  Json::Value body(Json::objectValue);
  body["type"] = "urn:borageloft:problem:" + problem.reason;
  body["title"] = problem.reason;
  body["status"] = problem.status;
  body["detail"] = problem.detail;
  body["outcome"] = NameOf(problem.outcome);
  HttpResponse response;
  response.status = problem.status;
  response.headers = {{"Content-Type", "application/problem+json"},
                      {kOutcomeHeader, NameOf(problem.outcome)}};
  if (problem.retry_after > base::Duration::zero()) {
    // Retry-After counts whole seconds; rounding down to 0 would invite an immediate retry.
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(problem.retry_after).count();
    response.headers.push_back({"Retry-After", std::to_string(seconds)});
    body["retry_after_ms"] = static_cast<Json::Int64>(
        std::chrono::ceil<std::chrono::milliseconds>(problem.retry_after).count());
  }
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  response.body = Json::writeString(builder, body) + "\n";
  return response;
}

}  // namespace borageloft::http
