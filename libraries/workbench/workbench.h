#ifndef BORAGELOFT_WORKBENCH_WORKBENCH_H_
#define BORAGELOFT_WORKBENCH_WORKBENCH_H_

/** @file Public header of the workbench library: stand-in upstream and open-loop load generator. */

#include "libraries/workbench/address.h"
#include "libraries/workbench/answer.h"
#include "libraries/workbench/arrival_schedule.h"
#include "libraries/workbench/error.h"
#include "libraries/workbench/execution_record.h"
#include "libraries/workbench/execution_slots.h"
#include "libraries/workbench/goodput_series.h"
#include "libraries/workbench/http_caller.h"
#include "libraries/workbench/http_listener.h"
#include "libraries/workbench/idempotency_key_source.h"
#include "libraries/workbench/latency_histogram.h"
#include "libraries/workbench/load_generator.h"
#include "libraries/workbench/load_options.h"
#include "libraries/workbench/load_report.h"
#include "libraries/workbench/service_time.h"
#include "libraries/workbench/shared_processor.h"
#include "libraries/workbench/stand_in.h"
#include "libraries/workbench/stand_in_command.h"
#include "libraries/workbench/stand_in_options.h"
#include "libraries/workbench/upstream_announcer.h"

#endif  // BORAGELOFT_WORKBENCH_WORKBENCH_H_
