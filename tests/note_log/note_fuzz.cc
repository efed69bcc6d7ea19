#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "libraries/note_log/note_log.h"

namespace {

using borageloft::note_log::NoteLogError;

/** Decodes arbitrary bytes; whatever decodes must survive another round trip unchanged. */
template <typename Decode, typename Encode>
void RoundTrip(std::string_view bytes, Decode decode, Encode encode) {
  try {
    const auto value = decode(bytes);
    if (!(decode(encode(value)) == value)) {
      std::abort();
    }
  } catch (const NoteLogError&) {
    return;
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  namespace notes = borageloft::note_log;
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  RoundTrip(bytes, notes::DecodeNote, notes::EncodeNote);
  RoundTrip(bytes, notes::DecodeOutcome, notes::EncodeOutcome);
  RoundTrip(bytes, notes::DecodeDelta, notes::EncodeDelta);
  RoundTrip(bytes, notes::DecodeChain, notes::EncodeChain);
  try {
    notes::DecodeLogSnapshot(bytes);
  } catch (const NoteLogError&) {
    return 0;
  }
  return 0;
}
