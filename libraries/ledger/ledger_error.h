#ifndef BORAGELOFT_LEDGER_LEDGER_ERROR_H_
#define BORAGELOFT_LEDGER_LEDGER_ERROR_H_

#include "libraries/base/base.h"

namespace borageloft::ledger {

/** Root of the errors of this library: malformed keys, commands or snapshots, and bad settings. */
class LedgerError : public base::Error {
 public:
  using base::Error::Error;
};

}  // namespace borageloft::ledger

#endif  // BORAGELOFT_LEDGER_LEDGER_ERROR_H_
