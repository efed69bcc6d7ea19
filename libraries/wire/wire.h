#ifndef BORAGELOFT_WIRE_WIRE_H_
#define BORAGELOFT_WIRE_WIRE_H_

/** @file Public header of the wire library: frames between nodes and their codec. */

#include "libraries/wire/frame.h"
#include "libraries/wire/frame_codec.h"
#include "libraries/wire/request_context.h"

#endif  // BORAGELOFT_WIRE_WIRE_H_
