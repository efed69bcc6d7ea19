#include <cstddef>
#include <cstdint>
#include <string>

#include "libraries/node/announce_api.h"

// Feeds arbitrary bytes to the parser of announcements; nothing may leave it, and each refusal has
// a reason.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  std::string error;
  const auto announcement = borageloft::node::ParseAnnouncement(
      std::string(reinterpret_cast<const char*>(data), size), error);
  VERIFY(announcement.has_value() || !error.empty());
  return 0;
}
