#ifndef BORAGELOFT_STORAGE_STORAGE_H_
#define BORAGELOFT_STORAGE_STORAGE_H_

/** @file Public header of the storage library: durable logs, snapshots and metadata. */

#include "libraries/storage/atomic_file.h"
#include "libraries/storage/data_folder.h"
#include "libraries/storage/data_folder_check.h"
#include "libraries/storage/file.h"
#include "libraries/storage/file_system.h"
#include "libraries/storage/group_store.h"
#include "libraries/storage/log_scan.h"
#include "libraries/storage/metadata_store.h"
#include "libraries/storage/record.h"
#include "libraries/storage/segment.h"
#include "libraries/storage/segmented_log.h"
#include "libraries/storage/snapshot_store.h"
#include "libraries/storage/storage_error.h"
#include "libraries/storage/storage_health.h"

#endif  // BORAGELOFT_STORAGE_STORAGE_H_
