#ifndef BORAGELOFT_STORAGE_GROUP_STORE_H_
#define BORAGELOFT_STORAGE_GROUP_STORE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "libraries/storage/data_folder.h"
#include "libraries/storage/metadata_store.h"
#include "libraries/storage/segmented_log.h"
#include "libraries/storage/snapshot_store.h"
#include "libraries/storage/storage_health.h"

namespace borageloft::storage {

/** Folder of the log within a group's folder. */
inline constexpr const char* kLogFolderName = "log";
/** Folder of the snapshots within a group's folder. */
inline constexpr const char* kSnapshotFolderName = "snapshots";

/**
 * Log, snapshots and metadata of one replication group. They share one health state: when a write
 * to any of them fails, none can be used until the group is opened again. Not thread-safe.
 */
class GroupStore {
 public:
  /**
   * Opens a group or creates an empty one.
   * @param folder Data folder; must outlive the store.
   * @param name Name of the group; see DataFolder::CreateSubfolder.
   * @param options Settings of the log.
   * @throws CorruptionError if stored bytes are damaged, or entries between the newest
   *   snapshot and the start of the log are missing.
   * @throws StorageFailedError if a repair fails.
   * @throws FileError if a folder cannot be created or a file cannot be read.
   */
  GroupStore(const DataFolder& folder, const std::string& name, LogOptions options = {});
  GroupStore(const GroupStore&) = delete;
  GroupStore& operator=(const GroupStore&) = delete;

  /** @return Whether the store can be used. The owner steps down if it cannot. */
  StorageState state() const { return health_.state(); }
  /** @return Why the store failed, or an empty string. */
  const std::string& failure() const { return health_.cause(); }

  /** @return The log. */
  SegmentedLog& log() { return log_; }
  /** @return Term, vote and incarnation. */
  MetadataStore& metadata() { return metadata_; }
  /** @return Last entry that the newest snapshot covers, if there is a snapshot. */
  const std::optional<SnapshotId>& snapshot_id() const { return snapshots_.newest(); }
  /** @return The newest valid snapshot, if any. */
  std::optional<Snapshot> LoadSnapshot() const { return snapshots_.LoadNewest(); }

  /** Stores a snapshot of this host's own state and drops the log entries that it covers. */
  void SaveSnapshot(const SnapshotId& id, std::string_view content);

  /** Stores a snapshot received from another host; it replaces the whole log. */
  void InstallSnapshot(const SnapshotId& id, std::string_view content);

 private:
  std::string folder_;
  StorageHealth health_;
  MetadataStore metadata_;
  SnapshotStore snapshots_;
  SegmentedLog log_;
};

}  // namespace borageloft::storage

#endif  // BORAGELOFT_STORAGE_GROUP_STORE_H_
