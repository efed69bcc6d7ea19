#ifndef BORAGELOFT_DIRECTORY_DIRECTORY_H_
#define BORAGELOFT_DIRECTORY_DIRECTORY_H_

/** @file Public header of the directory library, which tracks the instances and their nodes. */

#include "libraries/directory/control_directory.h"
#include "libraries/directory/departure_register.h"
#include "libraries/directory/directory_view.h"
#include "libraries/directory/local_instance.h"
#include "libraries/directory/messages.h"
#include "libraries/directory/registry.h"
#include "libraries/directory/versioned_records.h"

#endif  // BORAGELOFT_DIRECTORY_DIRECTORY_H_
