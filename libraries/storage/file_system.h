#ifndef BORAGELOFT_STORAGE_FILE_SYSTEM_H_
#define BORAGELOFT_STORAGE_FILE_SYSTEM_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace borageloft::storage {

/** Identifies an open file or lock of one FileSystem. */
enum class FileHandle : int {};

/** How a file is opened. */
enum class OpenMode {
  kRead,     ///< The file must exist.
  kUpdate,   ///< Read and write; the file must exist.
  kReplace,  ///< Read and write; the file is created or emptied.
};

/**
 * File operations used by the storage library. Every operation throws FileError on failure. A
 * failed write may have stored any part of its bytes, and after a failed sync any unsynced bytes
 * may be lost.
 */
struct FileSystem {
  /** Opens a file. */
  std::function<FileHandle(const std::string& path, OpenMode mode)> open;
  /** Closes a file or releases a lock; does not throw. */
  std::function<void(FileHandle file)> close;
  /** Reads up to @p size bytes at @p offset; fewer only at the end of the file. */
  std::function<std::string(FileHandle file, std::uint64_t offset, std::size_t size)> read;
  /** Writes all of @p data at @p offset. */
  std::function<void(FileHandle file, std::uint64_t offset, std::string_view data)> write;
  /** Size of a file in bytes. */
  std::function<std::uint64_t(FileHandle file)> size;
  /** Truncates a file to @p size bytes. */
  std::function<void(FileHandle file, std::uint64_t size)> truncate;
  /** Makes the file's content durable (fdatasync); its folder entry needs sync_folder. */
  std::function<void(FileHandle file)> sync;
  /** Atomically renames @p from to @p to, replacing an existing file. */
  std::function<void(const std::string& from, const std::string& to)> rename;
  /** Removes a file. */
  std::function<void(const std::string& path)> remove;
  /** Names of the entries of a folder, in any order, without "." and "..". */
  std::function<std::vector<std::string>(const std::string& folder)> list;
  /** True if the path is a folder. */
  std::function<bool(const std::string& path)> is_folder;
  /** Creates a folder unless it exists; its parent must exist. */
  std::function<void(const std::string& folder)> create_folder;
  /** Makes the entries of a folder durable. */
  std::function<void(const std::string& folder)> sync_folder;
  /** Creates the file if needed and locks it. Throws FolderLockedError if it is already locked. */
  std::function<FileHandle(const std::string& path)> lock;
};

/** @return File operations that call the POSIX functions of the operating system. */
FileSystem PosixFileSystem();

}  // namespace borageloft::storage

#endif  // BORAGELOFT_STORAGE_FILE_SYSTEM_H_
