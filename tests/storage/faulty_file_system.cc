#include "tests/storage/faulty_file_system.h"

#include <cerrno>

namespace borageloft::storage {

void FaultyFileSystem::LosePower(PowerLoss loss) {
  for (auto& [folder, changes] : pending_entries_) {
    // Each change of a folder survives or not, independently of the others.
    for (const EntryChange& change : changes) {
      if (loss == PowerLoss::kTearUnsynced && DrawBool()) {
        PersistEntry(change);
      }
    }
  }
  pending_entries_.clear();
  entries_ = durable_entries_;
  constexpr std::size_t kPieceBytes = 16;
  for (auto& [path, inode] : entries_) {
    for (const Change& change : inode->pending) {
      if (loss == PowerLoss::kLoseUnsynced) {
        continue;
      }
      if (change.is_truncate) {
        if (DrawBool()) {
          Apply(inode->durable, change);
        }
        continue;
      }
      for (std::size_t i = 0; i < change.data.size(); i += kPieceBytes) {
        if (DrawBool()) {
          Apply(inode->durable, {false, change.offset + i, change.data.substr(i, kPieceBytes)});
        }
      }
    }
    inode->pending.clear();
    inode->content = inode->durable;
  }
  open_.clear();
  locks_.clear();
}

FileHandle FaultyFileSystem::Open(const std::string& path, OpenMode mode) {
  if (mode == OpenMode::kReplace) {
    if (NextOperationFails()) {
      throw FileError("open", path, ENOSPC);
    }
    SetEntry(path, std::make_shared<Inode>());
  }
  if (!entries_.contains(path)) {
    throw FileError("open", path, ENOENT);
  }
  const FileHandle handle{next_handle_++};
  open_[handle] = entries_.at(path);
  return handle;
}

void FaultyFileSystem::Write(FileHandle file, std::uint64_t offset, std::string_view data) {
  const bool fails = NextOperationFails();
  const std::size_t stored = fails ? base::DrawBelow(random_, data.size() + 1) : data.size();
  Change change{false, offset, std::string(data.substr(0, stored))};
  Apply(InodeOf(file).content, change);
  InodeOf(file).pending.push_back(std::move(change));
  if (fails) {
    throw FileError("write", "file", ENOSPC);
  }
}

void FaultyFileSystem::Sync(FileHandle file) {
  Inode& inode = InodeOf(file);
  if (NextOperationFails()) {
    // The bytes stay visible but are no longer dirty, as after a failed fsync on Linux.
    inode.pending.clear();
    throw FileError("sync", "file", EIO);
  }
  for (const Change& change : inode.pending) {
    Apply(inode.durable, change);
  }
  inode.pending.clear();
}

void FaultyFileSystem::Rename(const std::string& from, const std::string& to) {
  if (NextOperationFails()) {
    throw FileError("rename", from, EIO);
  }
  const auto inode = entries_.at(from);
  entries_[to] = inode;
  entries_.erase(from);
  pending_entries_[FolderOf(to)].push_back({to, inode, from});
}

void FaultyFileSystem::SyncFolder(const std::string& folder) {
  if (NextOperationFails()) {
    throw FileError("sync folder", folder, EIO);
  }
  for (const EntryChange& change : pending_entries_[folder]) {
    PersistEntry(change);
  }
  pending_entries_.erase(folder);
}

FileSystem FaultyFileSystem::Hooks() {
  FileSystem hooks;
  hooks.open = [this](const std::string& path, OpenMode mode) { return Open(path, mode); };
  hooks.close = [this](FileHandle file) {
    open_.erase(file);
    locks_.erase(file);
  };
  hooks.read = [this](FileHandle file, std::uint64_t offset, std::size_t size) {
    const std::string& content = InodeOf(file).content;
    return offset >= content.size() ? std::string() : content.substr(offset, size);
  };
  hooks.write = [this](FileHandle file, std::uint64_t offset, std::string_view data) {
    Write(file, offset, data);
  };
  hooks.size = [this](FileHandle file) { return InodeOf(file).content.size(); };
  hooks.truncate = [this](FileHandle file, std::uint64_t size) {
    if (NextOperationFails()) {
      throw FileError("truncate", "file", EIO);
    }
    Apply(InodeOf(file).content, {true, size, {}});
    InodeOf(file).pending.push_back({true, size, {}});
  };
  hooks.sync = [this](FileHandle file) { Sync(file); };
  hooks.rename = [this](const std::string& from, const std::string& to) { Rename(from, to); };
  hooks.remove = [this](const std::string& path) {
    if (NextOperationFails()) {
      throw FileError("remove", path, EIO);
    }
    SetEntry(path, nullptr);
  };
  hooks.list = [this](const std::string& folder) {
    std::vector<std::string> names;
    for (const auto& [path, inode] : entries_) {
      if (FolderOf(path) == folder) {
        names.push_back(path.substr(path.rfind('/') + 1));
      }
    }
    for (const std::string& path : folders_) {
      if (path != "/" && FolderOf(path) == folder) {
        names.push_back(path.substr(path.rfind('/') + 1));
      }
    }
    return names;
  };
  hooks.is_folder = [this](const std::string& path) { return folders_.contains(path); };
  hooks.create_folder = [this](const std::string& folder) { folders_.insert(folder); };
  hooks.sync_folder = [this](const std::string& folder) { SyncFolder(folder); };
  hooks.lock = [this](const std::string& path) {
    for (const auto& [handle, locked] : locks_) {
      if (locked == path) {
        throw FolderLockedError(path + " is locked");
      }
    }
    const FileHandle handle{next_handle_++};
    locks_[handle] = path;
    return handle;
  };
  return hooks;
}

}  // namespace borageloft::storage
