#ifndef BORAGELOFT_REQUEST_PATH_REQUEST_PATH_H_
#define BORAGELOFT_REQUEST_PATH_REQUEST_PATH_H_

/** @file Public header of the request_path library, which routes requests to upstream instances. */

#include "libraries/request_path/decision_log.h"
#include "libraries/request_path/entry.h"
#include "libraries/request_path/header_names.h"
#include "libraries/request_path/instance_chooser.h"
#include "libraries/request_path/local_gate.h"
#include "libraries/request_path/recovery_pace.h"
#include "libraries/request_path/refusal.h"
#include "libraries/request_path/retry_budget.h"
#include "libraries/request_path/root_position.h"
#include "libraries/request_path/slowness_tracker.h"
#include "libraries/request_path/upstream_pool.h"
#include "libraries/request_path/upstream_rate_limit.h"

#endif  // BORAGELOFT_REQUEST_PATH_REQUEST_PATH_H_
