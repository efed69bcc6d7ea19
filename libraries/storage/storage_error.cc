#include "libraries/storage/storage_error.h"

#include <fmt/format.h>

#include <system_error>

namespace borageloft::storage {

FileError::FileError(const std::string& operation, const std::string& path, int code)
    : StorageError(
          fmt::format("{} {}: {}", operation, path, std::generic_category().message(code))),
      code_(code) {}

CorruptionError::CorruptionError(std::string file, std::uint64_t offset, const std::string& reason)
    : StorageError(fmt::format("{}: corrupt at offset {}: {}", file, offset, reason)),
      file_(std::move(file)),
      offset_(offset) {}

}  // namespace borageloft::storage
