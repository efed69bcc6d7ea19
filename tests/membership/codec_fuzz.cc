#include <cstddef>
#include <cstdint>
#include <cstdlib>

#include "libraries/membership/membership.h"

// Guards against a decoder that reads outside its input, or that accepts a message which the
// encoder refuses or encodes to something else.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  namespace membership = borageloft::membership;
  try {
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    const std::string encoded = membership::Encode(membership::Decode(bytes));
    if (membership::Encode(membership::Decode(encoded)) != encoded) {
      std::abort();
    }
  } catch (const membership::Error&) {
    return 0;
  }
  return 0;
}
