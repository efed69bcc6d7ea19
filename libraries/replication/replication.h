#ifndef BORAGELOFT_REPLICATION_REPLICATION_H_
#define BORAGELOFT_REPLICATION_REPLICATION_H_

/** @file Public header of the replication library: runs a consensus replica. */

#include "libraries/replication/error.h"
#include "libraries/replication/group_storage.h"
#include "libraries/replication/host_hooks.h"
#include "libraries/replication/host_status.h"
#include "libraries/replication/membership_repair.h"
#include "libraries/replication/outcomes.h"
#include "libraries/replication/replica_host.h"
#include "libraries/replication/replica_host_options.h"
#include "libraries/replication/replica_storage.h"
#include "libraries/replication/start_plan.h"

#endif  // BORAGELOFT_REPLICATION_REPLICATION_H_
