#ifndef BORAGELOFT_STORAGE_FAULTY_FILE_SYSTEM_H_
#define BORAGELOFT_STORAGE_FAULTY_FILE_SYSTEM_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "libraries/storage/storage.h"

namespace borageloft::storage {

/** What a power loss does to unsynced writes. */
enum class PowerLoss {
  kLoseUnsynced,
  kTearUnsynced,  ///< Each small piece of an unsynced write survives or not at random.
};

/** In-memory file system that can fail a chosen operation and lose unsynced changes. */
class FaultyFileSystem {
 public:
  explicit FaultyFileSystem(std::uint64_t seed) : random_(base::SeededRandom(seed)) {
    folders_.insert("/");
  }

  /** Makes the @p number-th modifying operation from now fail, once; 0 for none. */
  void FailAt(std::uint64_t number) { fail_at_ = number == 0 ? 0 : operations_ + number; }
  /** True once the chosen operation has failed. */
  bool has_failed() const { return fail_at_ != 0 && operations_ >= fail_at_; }

  void LosePower(PowerLoss loss);
  /** Content of a file, for tests that damage it with OverwriteFile, whose change is durable. */
  std::string ReadFile(const std::string& path) const { return entries_.at(path)->content; }
  void OverwriteFile(const std::string& path, const std::string& content) {
    auto inode = std::make_shared<Inode>();
    inode->content = inode->durable = content;
    entries_[path] = durable_entries_[path] = inode;
  }
  void RemoveFile(const std::string& path) {
    entries_.erase(path);
    durable_entries_.erase(path);
  }
  bool HasFile(const std::string& path) const { return entries_.contains(path); }

  FileSystem Hooks();

 private:
  struct Change {
    bool is_truncate = false;
    std::uint64_t offset = 0;
    std::string data;
  };
  struct Inode {
    std::string content;
    std::string durable;
    std::vector<Change> pending;
  };
  struct EntryChange {
    std::string path;
    std::shared_ptr<Inode> inode;  // Null for a removal.
    std::string renamed_from;      // Empty unless the change is a rename.
  };

  static void Apply(std::string& content, const Change& change) {
    if (change.is_truncate) {
      content.resize(change.offset);
      return;
    }
    content.resize(std::max<std::size_t>(content.size(), change.offset + change.data.size()));
    content.replace(change.offset, change.data.size(), change.data);
  }
  static std::string FolderOf(const std::string& path) {
    const auto slash = path.rfind('/');
    return slash == 0 ? "/" : path.substr(0, slash);
  }

  // Counts a modifying operation. True if this one must fail.
  bool NextOperationFails() { return ++operations_ == fail_at_; }
  bool DrawBool() { return random_() % 2 == 0; }
  void SetEntry(const std::string& path, std::shared_ptr<Inode> inode) {
    if (inode) {
      entries_[path] = inode;
    } else {
      entries_.erase(path);
    }
    pending_entries_[FolderOf(path)].push_back({path, std::move(inode), ""});
  }
  void PersistEntry(const EntryChange& change) {
    if (!change.renamed_from.empty()) {
      durable_entries_.erase(change.renamed_from);
    }
    if (change.inode) {
      durable_entries_[change.path] = change.inode;
    } else {
      durable_entries_.erase(change.path);
    }
  }

  FileHandle Open(const std::string& path, OpenMode mode);
  void Write(FileHandle file, std::uint64_t offset, std::string_view data);
  void Sync(FileHandle file);
  void Rename(const std::string& from, const std::string& to);
  void SyncFolder(const std::string& folder);
  Inode& InodeOf(FileHandle file) { return *open_.at(file); }

  base::Random random_;
  std::uint64_t operations_ = 0;
  std::uint64_t fail_at_ = 0;
  int next_handle_ = 1;
  std::set<std::string> folders_;
  std::map<std::string, std::shared_ptr<Inode>> entries_;
  std::map<std::string, std::shared_ptr<Inode>> durable_entries_;
  std::map<std::string, std::vector<EntryChange>> pending_entries_;
  std::map<FileHandle, std::shared_ptr<Inode>> open_;
  std::map<FileHandle, std::string> locks_;
};

}  // namespace borageloft::storage

#endif  // BORAGELOFT_STORAGE_FAULTY_FILE_SYSTEM_H_
