#ifndef BORAGELOFT_STORAGE_DATA_FOLDER_CHECK_H_
#define BORAGELOFT_STORAGE_DATA_FOLDER_CHECK_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "libraries/storage/file_system.h"
#include "libraries/storage/log_scan.h"
#include "libraries/storage/metadata_store.h"
#include "libraries/storage/snapshot_store.h"

namespace borageloft::storage {

/** Severity of a finding. */
enum class FindingSeverity {
  kNotice,  ///< The next start repairs or ignores it; no acknowledged write is lost.
  kError,   ///< The group cannot be opened.
};

/** A problem found by CheckDataFolder. */
struct Finding {
  FindingSeverity severity = FindingSeverity::kNotice;
  std::string file;
  std::uint64_t offset = 0;
  std::string message;
};

/** Summary of one group's files. */
struct GroupReport {
  std::string name;
  std::uint64_t segment_count = 0;
  std::uint64_t log_bytes = 0;
  std::uint64_t first_index = 0;
  std::uint64_t last_index = 0;
  std::optional<TornTail> torn_tail;
  std::optional<SnapshotId> snapshot;  ///< Newest valid snapshot, if any.
  std::optional<Metadata> metadata;    ///< Empty if never written or damaged.
};

/** Whether a process holds the lock of the data folder. */
enum class FolderUse {
  kFree,
  kInUse,    ///< Locked; findings about the newest writes may be wrong.
  kMissing,  ///< The path does not exist or is not a folder.
};

/** Result of CheckDataFolder. */
struct DataFolderReport {
  std::string path;
  FolderUse use = FolderUse::kFree;
  std::vector<GroupReport> groups;
  std::vector<Finding> findings;

  /** @return True if every group can be opened. */
  bool is_sound() const;
};

/**
 * Reads and verifies every file of a data folder without modifying any.
 * @param path The data folder.
 * @param file_system File operations.
 * @throws FileError if a file cannot be read.
 */
DataFolderReport CheckDataFolder(const std::string& path,
                                 const FileSystem& file_system = PosixFileSystem());

}  // namespace borageloft::storage

#endif  // BORAGELOFT_STORAGE_DATA_FOLDER_CHECK_H_
