#ifndef BORAGELOFT_LEDGER_LEDGER_COMMAND_FUZZ_H_
#define BORAGELOFT_LEDGER_LEDGER_COMMAND_FUZZ_H_

#include <cstdlib>
#include <string_view>

#include "libraries/ledger/ledger.h"

namespace borageloft::ledger {

/** Feeds one input to every decoder; aborts if what was decoded does not survive a round trip. */
inline void CheckCommandInput(std::string_view input) {
  try {
    const std::string encoded = EncodeBatch(DecodeBatch(input));
    if (EncodeBatch(DecodeBatch(encoded)) != encoded) {
      std::abort();
    }
    LedgerState state;
    state.Apply(input);
  } catch (const LedgerError&) {
  }
  try {
    const std::string encoded = EncodeResults(DecodeResults(input));
    if (EncodeResults(DecodeResults(encoded)) != encoded) {
      std::abort();
    }
  } catch (const LedgerError&) {
  }
  try {
    LedgerState state;
    state.Restore(input);
    const std::string encoded = state.Snapshot();
    state.Restore(encoded);
    if (state.Snapshot() != encoded) {
      std::abort();
    }
  } catch (const LedgerError&) {
  }
}

}  // namespace borageloft::ledger

#endif  // BORAGELOFT_LEDGER_LEDGER_COMMAND_FUZZ_H_
