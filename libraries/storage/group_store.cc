#include "libraries/storage/group_store.h"

#include <fmt/format.h>

namespace borageloft::storage {

GroupStore::GroupStore(const DataFolder& folder, const std::string& name, LogOptions options)
    : folder_(folder.CreateSubfolder(name)),
      health_(name),
      metadata_(folder.file_system(), folder_, health_),
      snapshots_(folder.file_system(),
                 CreateDurableFolder(folder.file_system(), folder_, kSnapshotFolderName), health_),
      log_(folder.file_system(), CreateDurableFolder(folder.file_system(), folder_, kLogFolderName),
           health_, options) {
  const std::uint64_t snapshot = snapshots_.newest() ? snapshots_.newest()->index : 0;
  if (log_.first_index() > snapshot + 1) {
    throw CorruptionError(folder_ + "/" + kLogFolderName, 0,
                          fmt::format("log begins at index {}, but the newest valid snapshot ends "
                                      "at index {}",
                                      log_.first_index(), snapshot));
  }
  if (log_.last_index() < snapshot) {
    // InstallSnapshot was interrupted by a crash after it saved the snapshot; finish it.
    log_.Reset(snapshot + 1);
  }
}

void GroupStore::SaveSnapshot(const SnapshotId& id, std::string_view content) {
  health_.RequireUsable();
  VERIFY(id.index <= log_.last_index());
  snapshots_.Save(id, content);
  log_.DropPrefix(id.index);
}

void GroupStore::InstallSnapshot(const SnapshotId& id, std::string_view content) {
  snapshots_.Save(id, content);
  log_.Reset(id.index + 1);
}

}  // namespace borageloft::storage
