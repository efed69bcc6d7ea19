#include <cstddef>
#include <cstdint>
#include <string>

#include "libraries/notes/notes.h"

// Feeds arbitrary text to the parser of release notes and applies what it accepts; only
// SettingsError may leave it. The text of an applied policy must be readable again.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace borageloft;
  const std::string text(reinterpret_cast<const char*>(data), size);
  try {
    notes::ReleaseNote::Parse(text, "note.ini");
  } catch (const settings::SettingsError&) {
    return 0;
  }
  std::string policy;
  try {
    policy = notes::FormatPolicy(notes::ApplyNote(notes::Policy(), text, "note.ini"));
  } catch (const settings::SettingsError&) {
    return 0;
  }
  VERIFY(notes::FormatPolicy(notes::ParsePolicy(policy)) == policy);
  return 0;
}
