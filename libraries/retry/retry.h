#ifndef BORAGELOFT_RETRY_RETRY_H_
#define BORAGELOFT_RETRY_RETRY_H_

/** @file Public header of the retry library: which failed attempts are retried, and when. */

#include "libraries/retry/attempt_limiter.h"
#include "libraries/retry/backoff_policy.h"
#include "libraries/retry/join_table.h"
#include "libraries/retry/retry_allowance.h"
#include "libraries/retry/retry_budget.h"
#include "libraries/retry/retry_error.h"
#include "libraries/retry/retry_policy.h"

#endif  // BORAGELOFT_RETRY_RETRY_H_
