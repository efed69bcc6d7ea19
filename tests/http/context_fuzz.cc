#include <cstddef>
#include <cstdint>
#include <string_view>

#include "libraries/http/http.h"

// Feeds arbitrary text to the parsers of the context and timeout headers; nothing may leave them.
// An accepted context must keep its meaning when it is written and read again.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace borageloft;
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  http::ParseTimeout(text);
  if (const auto first = http::ParseContext(text)) {
    const auto second = http::ParseContext(http::FormatContext(*first));
    VERIFY(second.has_value());
    VERIFY(second->context == first->context);
    VERIFY(second->deadline == first->deadline);
  }
  return 0;
}
