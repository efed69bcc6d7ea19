#include "tests/storage/record_fuzz.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  borageloft::storage::CheckRecordInput({reinterpret_cast<const char*>(data), size});
  return 0;
}
