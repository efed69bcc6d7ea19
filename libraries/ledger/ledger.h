#ifndef BORAGELOFT_LEDGER_LEDGER_H_
#define BORAGELOFT_LEDGER_LEDGER_H_

/** @file Public header of the ledger library: at-most-once execution of non-idempotent requests. */

#include "libraries/ledger/grant_batcher.h"
#include "libraries/ledger/idempotency_key.h"
#include "libraries/ledger/key_table.h"
#include "libraries/ledger/ledger_command.h"
#include "libraries/ledger/ledger_error.h"
#include "libraries/ledger/ledger_groups.h"
#include "libraries/ledger/ledger_state.h"
#include "libraries/ledger/permit_gate.h"

#endif  // BORAGELOFT_LEDGER_LEDGER_H_
