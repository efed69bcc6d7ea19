#ifndef BORAGELOFT_MEMBERSHIP_MEMBERSHIP_H_
#define BORAGELOFT_MEMBERSHIP_MEMBERSHIP_H_

/** @file Public header of the membership library: local upstream, leases, registry, directory. */

#include "libraries/membership/codec.h"
#include "libraries/membership/error.h"
#include "libraries/membership/incarnation.h"
#include "libraries/membership/lease_client.h"
#include "libraries/membership/local_upstream.h"
#include "libraries/membership/messages.h"
#include "libraries/membership/registry.h"
#include "libraries/membership/service_directory.h"

#endif  // BORAGELOFT_MEMBERSHIP_MEMBERSHIP_H_
