#ifndef BORAGELOFT_CONTROL_RPC_CONTROL_RPC_H_
#define BORAGELOFT_CONTROL_RPC_CONTROL_RPC_H_

/** @file Public header of the control_rpc library: the operator's calls to a node. */

#include "libraries/control_rpc/rpc_client.h"
#include "libraries/control_rpc/rpc_error.h"
#include "libraries/control_rpc/rpc_server.h"
#include "libraries/control_rpc/token.h"

#endif  // BORAGELOFT_CONTROL_RPC_CONTROL_RPC_H_
