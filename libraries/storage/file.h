#ifndef BORAGELOFT_STORAGE_FILE_H_
#define BORAGELOFT_STORAGE_FILE_H_

#include <memory>
#include <string>
#include <string_view>

#include "libraries/storage/file_system.h"

namespace borageloft::storage {

/** Owns an open file or lock and closes it on destruction. Every method may throw FileError. */
class File {
 public:
  /** Opens @p path through @p file_system, which must outlive the file. */
  File(const FileSystem& file_system, const std::string& path, OpenMode mode)
      : File(file_system, file_system.open(path, mode)) {}
  /** Takes ownership of an open handle. */
  File(const FileSystem& file_system, FileHandle handle)
      : file_system_(&file_system), handle_(handle) {}
  ~File() { file_system_->close(handle_); }
  File(const File&) = delete;
  File& operator=(const File&) = delete;

  /** @return Up to @p size bytes at @p offset; fewer only at the end of the file. */
  std::string Read(std::uint64_t offset, std::size_t size) const {
    return file_system_->read(handle_, offset, size);
  }
  /** @return The whole content. */
  std::string ReadAll() const { return Read(0, static_cast<std::size_t>(Size())); }
  /** Writes all of @p data at @p offset. */
  void Write(std::uint64_t offset, std::string_view data) {
    file_system_->write(handle_, offset, data);
  }
  /** @return Size in bytes. */
  std::uint64_t Size() const { return file_system_->size(handle_); }
  /** Truncates the file to @p size bytes. */
  void Truncate(std::uint64_t size) { file_system_->truncate(handle_, size); }
  /** Makes the content durable. */
  void Sync() { file_system_->sync(handle_); }

 private:
  const FileSystem* file_system_;
  FileHandle handle_;
};

}  // namespace borageloft::storage

#endif  // BORAGELOFT_STORAGE_FILE_H_
