#include <cstddef>
#include <cstdint>
#include <string>

#include "libraries/settings/settings.h"

// Feeds arbitrary text to the parser of node settings; only SettingsError may leave it.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  try {
    borageloft::settings::ParseNodeSettings({reinterpret_cast<const char*>(data), size},
                                            "node.ini");
  } catch (const borageloft::settings::SettingsError&) {
    return 0;
  }
  return 0;
}
