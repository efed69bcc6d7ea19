#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "libraries/consensus/consensus.h"

// Decodes arbitrary bytes. A message that decodes must survive another round trip unchanged.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace borageloft::consensus;  // NOLINT(google-build-using-namespace)
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  try {
    const Message message = DecodeMessage(bytes);
    if (DecodeMessage(EncodeMessage(message)) != message) {
      std::abort();
    }
  } catch (const ConsensusError&) {
    return 0;
  }
  return 0;
}
