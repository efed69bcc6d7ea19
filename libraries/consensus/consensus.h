#ifndef BORAGELOFT_CONSENSUS_CONSENSUS_H_
#define BORAGELOFT_CONSENSUS_CONSENSUS_H_

/** @file Public header of the consensus library: a Raft replica without I/O. */

#include "libraries/consensus/codec.h"
#include "libraries/consensus/entry.h"
#include "libraries/consensus/error.h"
#include "libraries/consensus/hard_state.h"
#include "libraries/consensus/limits.h"
#include "libraries/consensus/membership.h"
#include "libraries/consensus/message.h"
#include "libraries/consensus/ready.h"
#include "libraries/consensus/replica.h"
#include "libraries/consensus/replica_options.h"
#include "libraries/consensus/snapshot.h"
#include "libraries/consensus/types.h"

#endif  // BORAGELOFT_CONSENSUS_CONSENSUS_H_
