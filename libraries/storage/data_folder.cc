#include "libraries/storage/data_folder.h"

#include <algorithm>
#include <utility>

#include "libraries/storage/storage_error.h"

namespace borageloft::storage {

namespace {

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
         c == '_';
}

std::string ParentOf(const std::string& path) {
  const auto end = path.find_last_not_of('/');
  const auto slash = path.find_last_of('/', end);
  if (slash == std::string::npos) {
    return ".";
  }
  return slash == 0 ? "/" : path.substr(0, slash);
}

FileHandle CreateAndLock(const FileSystem& file_system, const std::string& path) {
  file_system.create_folder(path);
  // Also syncs for an existing folder: the sync may have failed when the folder was created.
  file_system.sync_folder(ParentOf(path));
  return file_system.lock(path + "/" + kLockFileName);
}

}  // namespace

DataFolder::DataFolder(const FileSystem& file_system, std::string path)
    : file_system_(file_system),
      path_(std::move(path)),
      lock_(file_system, CreateAndLock(file_system, path_)) {}

std::string DataFolder::CreateSubfolder(const std::string& name) const {
  if (name.empty() || !std::all_of(name.begin(), name.end(), IsNameCharacter)) {
    throw StorageError("invalid folder name '" + name +
                       "': only letters, digits, '-' and '_' are allowed");
  }
  return CreateDurableFolder(file_system_, path_, name);
}

std::string CreateDurableFolder(const FileSystem& file_system, const std::string& parent,
                                const std::string& name) {
  std::string path = parent + "/" + name;
  file_system.create_folder(path);
  file_system.sync_folder(parent);
  return path;
}

}  // namespace borageloft::storage
