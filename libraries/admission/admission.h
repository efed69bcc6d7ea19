#ifndef BORAGELOFT_ADMISSION_ADMISSION_H_
#define BORAGELOFT_ADMISSION_ADMISSION_H_

/** @file Public header of the admission library: which requests run, wait or are refused. */

#include "libraries/admission/admission_error.h"
#include "libraries/admission/admission_gate.h"
#include "libraries/admission/admission_level.h"
#include "libraries/admission/class_queue.h"
#include "libraries/admission/concurrency_limit.h"
#include "libraries/admission/fair_share.h"
#include "libraries/admission/gate_counters.h"
#include "libraries/admission/gate_limits.h"
#include "libraries/admission/level_controller.h"
#include "libraries/admission/load_level_map.h"
#include "libraries/admission/shed_key.h"
#include "libraries/admission/ticket.h"

#endif  // BORAGELOFT_ADMISSION_ADMISSION_H_
