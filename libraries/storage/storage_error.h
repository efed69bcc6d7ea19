#ifndef BORAGELOFT_STORAGE_STORAGE_ERROR_H_
#define BORAGELOFT_STORAGE_STORAGE_ERROR_H_

#include <cstdint>
#include <string>

#include "libraries/base/base.h"

namespace borageloft::storage {

/** Base class of this library's errors. Thrown directly for arguments out of range. */
class StorageError : public base::Error {
 public:
  using base::Error::Error;
};

/** A file system operation failed. */
class FileError : public StorageError {
 public:
  /**
   * @param operation What was attempted, for example "sync".
   * @param path File or folder.
   * @param code Value of errno.
   */
  FileError(const std::string& operation, const std::string& path, int code);

  /** @return Value of errno. */
  int code() const { return code_; }

 private:
  int code_;
};

/** Another process holds the data folder. */
class FolderLockedError : public StorageError {
 public:
  using StorageError::StorageError;
};

/** Stored bytes differ from what was written. The store cannot be opened until an operator acts. */
class CorruptionError : public StorageError {
 public:
  /**
   * @param file Path of the file.
   * @param offset Offset of the structure that contains the first wrong byte, in bytes.
   * @param reason What is wrong.
   */
  CorruptionError(std::string file, std::uint64_t offset, const std::string& reason);

  /** @return Path of the file. */
  const std::string& file() const { return file_; }
  /** @return Offset in bytes. */
  std::uint64_t offset() const { return offset_; }

 private:
  std::string file_;
  std::uint64_t offset_;
};

/**
 * The store is unusable after a failed write, sync or rename, until it is opened again, because the
 * state of the file after a failed sync is unknown. The owner steps down.
 */
class StorageFailedError : public StorageError {
 public:
  using StorageError::StorageError;
};

}  // namespace borageloft::storage

#endif  // BORAGELOFT_STORAGE_STORAGE_ERROR_H_
