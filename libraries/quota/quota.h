#ifndef BORAGELOFT_QUOTA_QUOTA_H_
#define BORAGELOFT_QUOTA_QUOTA_H_

/** @file Public header of the quota library: rate limits of client accounts over all nodes. */

#include "libraries/quota/quota_client.h"
#include "libraries/quota/quota_options.h"
#include "libraries/quota/quota_owner.h"

#endif  // BORAGELOFT_QUOTA_QUOTA_H_
