#ifndef BORAGELOFT_STORAGE_DATA_FOLDER_H_
#define BORAGELOFT_STORAGE_DATA_FOLDER_H_

#include <string>

#include "libraries/storage/file.h"
#include "libraries/storage/file_system.h"

namespace borageloft::storage {

/** Name of the lock file in a data folder. */
inline constexpr const char* kLockFileName = "lock";

/** The folder with all durable files of one process, locked while this object lives. */
class DataFolder {
 public:
  /**
   * Creates the folder unless it exists, and locks it.
   * @param file_system File operations; they must outlive the folder and every store in it.
   * @param path Path of the folder; its parent must exist.
   * @throws FolderLockedError if another process, or another DataFolder in this process, holds the
   * lock.
   * @throws FileError if the folder cannot be created or written.
   */
  DataFolder(const FileSystem& file_system, std::string path);

  /** @return Path of the folder. */
  const std::string& path() const { return path_; }
  /** @return The file operations. */
  const FileSystem& file_system() const { return file_system_; }

  /**
   * Durably creates a folder unless it exists.
   * @param name Letters, digits, '-' and '_' only.
   * @return Its path.
   */
  std::string CreateSubfolder(const std::string& name) const;

 private:
  const FileSystem& file_system_;
  std::string path_;
  File lock_;
};

/** Durably creates @p parent/@p name unless it exists. @return Its path. */
std::string CreateDurableFolder(const FileSystem& file_system, const std::string& parent,
                                const std::string& name);

}  // namespace borageloft::storage

#endif  // BORAGELOFT_STORAGE_DATA_FOLDER_H_
