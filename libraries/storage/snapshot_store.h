#ifndef BORAGELOFT_STORAGE_SNAPSHOT_STORE_H_
#define BORAGELOFT_STORAGE_SNAPSHOT_STORE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "libraries/storage/file_system.h"
#include "libraries/storage/storage_health.h"

namespace borageloft::storage {

/** Version of the snapshot format. */
inline constexpr std::uint32_t kSnapshotFormatVersion = 1;

/** Last log entry that a snapshot covers. */
struct SnapshotId {
  std::uint64_t index = 0;
  std::uint64_t term = 0;
  bool operator==(const SnapshotId&) const = default;
};

/** State of a state machine up to a log entry. */
struct Snapshot {
  SnapshotId id;
  std::string content;
};

/** Result of reading and validating a snapshot file. */
struct SnapshotFile {
  std::string file;
  std::uint64_t bytes = 0;
  std::optional<Snapshot> snapshot;  ///< Empty if the file is invalid.
  std::string reason;                ///< Why the file is invalid.
};

/** @return The content of a snapshot file. */
std::string EncodeSnapshot(const SnapshotId& id, std::string_view content);

/**
 * @param bytes Content of a snapshot file.
 * @param reason Receives why the file is invalid.
 * @return The snapshot, or std::nullopt.
 */
std::optional<Snapshot> DecodeSnapshot(std::string_view bytes, std::string& reason);

/** Reads all snapshot files of a folder without changing it, newest first. */
std::vector<SnapshotFile> ScanSnapshots(const FileSystem& file_system, const std::string& folder);

/** Keeps the newest valid snapshot of a state machine. Not thread-safe. */
class SnapshotStore {
 public:
  /**
   * Opens the folder and removes unfinished files.
   * @param file_system File operations; they must outlive the store.
   * @param folder Existing folder that contains only snapshots.
   * @param health State shared with the other parts of the store; must outlive this object.
   */
  SnapshotStore(const FileSystem& file_system, std::string folder, StorageHealth& health);

  /**
   * Durably stores a snapshot, then removes the older ones.
   * @param id Must not be older than the newest snapshot.
   * @param content State of the state machine.
   * @throws StorageFailedError if the store has failed or fails now.
   */
  void Save(const SnapshotId& id, std::string_view content);

  /**
   * Reads the newest valid snapshot. Invalid ones are logged and left in place; the caller must
   * check that its log has no gap after the returned snapshot.
   * @return The snapshot, or std::nullopt.
   */
  std::optional<Snapshot> LoadNewest() const;

  /** @return Last entry that the newest valid snapshot covers, if there is a snapshot. */
  const std::optional<SnapshotId>& newest() const { return newest_; }

 private:
  const FileSystem& file_system_;
  std::string folder_;
  StorageHealth& health_;
  std::optional<SnapshotId> newest_;
};

}  // namespace borageloft::storage

#endif  // BORAGELOFT_STORAGE_SNAPSHOT_STORE_H_
