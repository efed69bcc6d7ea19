#ifndef BORAGELOFT_DISSEMINATION_DISSEMINATION_H_
#define BORAGELOFT_DISSEMINATION_DISSEMINATION_H_

/** @file Public header of the dissemination library: release notes down, numbers in force up. */

#include "libraries/dissemination/codec.h"
#include "libraries/dissemination/error.h"
#include "libraries/dissemination/in_force_tracker.h"
#include "libraries/dissemination/messages.h"
#include "libraries/dissemination/tree_node.h"
#include "libraries/dissemination/tree_plan.h"
#include "libraries/dissemination/zone_report.h"

#endif  // BORAGELOFT_DISSEMINATION_DISSEMINATION_H_
