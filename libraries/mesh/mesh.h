#ifndef BORAGELOFT_MESH_MESH_H_
#define BORAGELOFT_MESH_MESH_H_

/** @file Public header of the mesh library: the node and control host processes, each driven by one
 * event loop, and what they do without their sockets. */

#include "libraries/mesh/control_node.h"
#include "libraries/mesh/control_service.h"
#include "libraries/mesh/dialect.h"
#include "libraries/mesh/mesh_node.h"
#include "libraries/mesh/mesh_settings.h"
#include "libraries/mesh/node_presence.h"

#endif  // BORAGELOFT_MESH_MESH_H_
