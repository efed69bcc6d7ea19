#ifndef BORAGELOFT_HTTP_PROBLEM_H_
#define BORAGELOFT_HTTP_PROBLEM_H_

#include <string>

#include "libraries/http/http_types.h"

namespace borageloft::http {

/** A refusal or failure as the caller sees it. */
struct Problem {
  int status = 0;
  std::string reason;  // Stable word, documented in docs/OPERATIONS.md.
  std::string detail;
  wire::Outcome outcome = wire::Outcome::kUnknown;
  base::Duration retry_after{};  // Zero: no Retry-After header.
};

/** @return The answer as RFC 9457 problem+json with Borageloft-Outcome and Retry-After. */
HttpResponse FormatProblem(const Problem& problem);

}  // namespace borageloft::http

#endif  // BORAGELOFT_HTTP_PROBLEM_H_
