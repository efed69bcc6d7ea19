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

/** Weight of a finding. */
enum class FindingSeverity {
  kNotice,  ///< The next start repairs or ignores it; nothing accepted is lost.
  kError,   ///< The group does not open.
};

/** Something the check found. */
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
  std::optional<SnapshotId> snapshot;  ///< Newest valid one.
  std::optional<Metadata> metadata;    ///< Nothing if never written or damaged.
};

/** Whether a process holds the data folder. */
enum class FolderUse {
  kFree,
  kInUse,    ///< Findings about the newest writes may be wrong.
  kMissing,  ///< The path is no folder.
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
 * Reads and checks every file of a data folder without changing any.
 * @param path The data folder.
 * @param file_system Hooks.
 * @throws FileError if a file cannot be read.
 */
DataFolderReport CheckDataFolder(const std::string& path,
                                 const FileSystem& file_system = PosixFileSystem());

}  // namespace borageloft::storage

#endif  // BORAGELOFT_STORAGE_DATA_FOLDER_CHECK_H_
