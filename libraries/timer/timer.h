#ifndef BORAGELOFT_TIMER_TIMER_H_
#define BORAGELOFT_TIMER_TIMER_H_

/** @file Public header of the timer library. */

#include "libraries/timer/timer_service.h"

#endif  // BORAGELOFT_TIMER_TIMER_H_
