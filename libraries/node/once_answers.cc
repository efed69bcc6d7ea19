#include "libraries/node/once_answers.h"

#include <limits>
#include <utility>

#include "libraries/http/http.h"

namespace borageloft::node {

namespace {

constexpr int kConflict = 409;

wire::Response AnswerNotKept() {
  http::HttpResponse problem =
      http::FormatProblem({kConflict,
                           "answer_not_kept",
                           "the request ran before; its answer was too large to keep",
                           wire::Outcome::kRan,
                           {}});
  wire::Response response;
  response.outcome = wire::Outcome::kRan;
  response.status = static_cast<std::uint32_t>(problem.status);
  response.headers = std::move(problem.headers);
  response.body = std::move(problem.body);
  // The entry adds the outcome to every answer of an upstream.
  std::erase_if(response.headers, [](const wire::Header& header) {
    return http::IsSameHeader(header.name, http::kOutcomeHeader);
  });
  return response;
}

}  // namespace

wire::Response AnswerNotRun(std::string reason, base::Duration retry_after) {
  wire::Response response;
  response.outcome = wire::Outcome::kNotRun;
  response.reason = std::move(reason);
  response.retry_after = retry_after;
  return response;
}

wire::Response AnswerUnknown(std::string reason) {
  wire::Response response;
  response.outcome = wire::Outcome::kUnknown;
  response.reason = std::move(reason);
  return response;
}

std::string EncodeFirstAnswer(const wire::Response& response) {
  wire::Response stored;
  stored.outcome = response.outcome;
  stored.status = response.status;
  stored.reason = response.reason;
  stored.headers = response.headers;
  stored.body = response.body;
  return wire::EncodeFrame(stored, std::numeric_limits<std::uint32_t>::max())
      .substr(wire::kLengthPrefix);
}

wire::Response DecodeFirstAnswer(const std::optional<std::string>& stored) {
  if (!stored) {
    return AnswerNotKept();
  }
  try {
    const wire::Frame frame = wire::DecodeFrame(*stored);
    if (const auto* response = std::get_if<wire::Response>(&frame)) {
      return *response;
    }
  } catch (const wire::WireError& error) {
    base::Log(base::LogLevel::kError, "stored_answer_unreadable", {{"error", error.what()}});
  }
  return AnswerNotKept();
}

ledger::RequestDigest OnceDigestOf(const wire::Request& request) {
  // Neither a method nor a path contains a line feed, so the parts cannot run into each other.
  return ledger::DigestOf(request.method + '\n' + request.path + '\n' + request.body);
}

}  // namespace borageloft::node
