#include <cstddef>
#include <cstdint>
#include <cstdlib>

#include "libraries/dissemination/dissemination.h"

// Guards against a decoder that reads outside its input, or that accepts a message which the
// encoder refuses or encodes to something else.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  namespace dissemination = borageloft::dissemination;
  try {
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    const std::string encoded = dissemination::Encode(dissemination::Decode(bytes));
    if (dissemination::Encode(dissemination::Decode(encoded)) != encoded) {
      std::abort();
    }
  } catch (const dissemination::Error&) {
    return 0;
  }
  return 0;
}
