#include "libraries/http/http_types.h"

#include <strings.h>

namespace borageloft::http {

bool IsSameHeader(std::string_view first, std::string_view second) {
  return first.size() == second.size() &&
         strncasecmp(first.data(), second.data(), first.size()) == 0;
}

std::string FindHeader(const Headers& headers, std::string_view name) {
  for (const wire::Header& header : headers) {
    if (IsSameHeader(header.name, name)) {
      return header.value;
    }
  }
  return "";
}

}  // namespace borageloft::http
