#ifndef BORAGELOFT_HTTP_HTTP_TYPES_H_
#define BORAGELOFT_HTTP_HTTP_TYPES_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/wire/wire.h"

namespace borageloft::http {

/** The HTTP layer could not start or was misused. */
class HttpError : public base::Error {
 public:
  using Error::Error;
};

using Headers = std::vector<wire::Header>;

/** @return The value of the first header named @p name, ignoring case, or "". */
std::string FindHeader(const Headers& headers, std::string_view name);

/** @return Whether two header names are equal, ignoring case. */
bool IsSameHeader(std::string_view first, std::string_view second);

/** A request as it arrived. */
struct HttpRequest {
  std::string method;
  std::string target;  // Path and query.
  Headers headers;
  std::string body;
  std::string remote;                    // IP number of the caller.
  std::function<bool()> is_caller_gone;  // Whether the caller closed its connection meanwhile.
};

/** A whole answer. */
struct HttpResponse {
  int status = 0;
  Headers headers;
  std::string body;
};

}  // namespace borageloft::http

#endif  // BORAGELOFT_HTTP_HTTP_TYPES_H_
