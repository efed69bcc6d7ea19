#ifndef BORAGELOFT_BASE_BASE_H_
#define BORAGELOFT_BASE_BASE_H_

/** @file Public header of the base library: checks, errors, time, randomness, buffers, locks and
 * logs. */

#include "libraries/base/buffer.h"
#include "libraries/base/error.h"
#include "libraries/base/hash.h"
#include "libraries/base/log.h"
#include "libraries/base/random.h"
#include "libraries/base/ranked_mutex.h"
#include "libraries/base/time.h"
#include "libraries/base/verify.h"
#include "libraries/base/worker_pool.h"

#endif  // BORAGELOFT_BASE_BASE_H_
