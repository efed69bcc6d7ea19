#include <cstddef>
#include <cstdint>

#include "libraries/wire/wire.h"

// Feeds arbitrary bytes to the frame decoder; only WireError may leave it.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  try {
    borageloft::wire::DecodeFrame({reinterpret_cast<const char*>(data), size});
  } catch (const borageloft::wire::WireError&) {
    return 0;
  }
  return 0;
}
