#ifndef BORAGELOFT_TRANSPORT_TRANSPORT_H_
#define BORAGELOFT_TRANSPORT_TRANSPORT_H_

/** @file Public header of the transport library: multiplexed connections between nodes. */

#include "libraries/transport/peer_transport.h"
#include "libraries/transport/timer_driver.h"
#include "libraries/transport/traffic_table.h"
#include "libraries/transport/transport_types.h"

#endif  // BORAGELOFT_TRANSPORT_TRANSPORT_H_
