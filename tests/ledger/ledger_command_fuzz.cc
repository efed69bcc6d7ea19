#include "tests/ledger/ledger_command_fuzz.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  borageloft::ledger::CheckCommandInput({reinterpret_cast<const char*>(data), size});
  return 0;
}
