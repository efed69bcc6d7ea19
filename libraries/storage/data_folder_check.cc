#include "libraries/storage/data_folder_check.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "libraries/storage/atomic_file.h"
#include "libraries/storage/data_folder.h"
#include "libraries/storage/file.h"
#include "libraries/storage/group_store.h"
#include "libraries/storage/storage_error.h"

namespace borageloft::storage {

namespace {

class DataFolderChecker {
 public:
  DataFolderChecker(std::string path, const FileSystem& file_system) : file_system_(file_system) {
    report_.path = std::move(path);
  }

  DataFolderReport Run() {
    if (!file_system_.is_folder(report_.path)) {
      report_.use = FolderUse::kMissing;
      AddFinding(FindingSeverity::kError, report_.path, 0, "no such folder");
      return std::move(report_);
    }
    std::vector<std::string> names = file_system_.list(report_.path);
    std::sort(names.begin(), names.end());
    for (const std::string& name : names) {
      const std::string path = report_.path + "/" + name;
      if (name == kLockFileName) {
        CheckLock(path);
      } else if (file_system_.is_folder(path)) {
        CheckGroup(name, path);
      } else {
        AddFinding(FindingSeverity::kNotice, path, 0, "file is not part of a data folder");
      }
    }
    return std::move(report_);
  }

 private:
  void AddFinding(FindingSeverity severity, const std::string& file, std::uint64_t offset,
                  std::string message) {
    report_.findings.push_back({severity, file, offset, std::move(message)});
  }

  void CheckLock(const std::string& path) {
    try {
      const File lock(file_system_, file_system_.lock(path));
    } catch (const FolderLockedError&) {
      report_.use = FolderUse::kInUse;
    }
  }

  void CheckGroup(const std::string& name, const std::string& path) {
    GroupReport group;
    group.name = name;
    CheckMetadata(path, group);
    CheckSnapshots(path + "/" + kSnapshotFolderName, group);
    CheckLog(path + "/" + kLogFolderName, group);
    report_.groups.push_back(std::move(group));
  }

  void CheckMetadata(const std::string& folder, GroupReport& group) {
    const std::vector<std::string> names = file_system_.list(folder);
    if (std::find(names.begin(), names.end(), kMetadataFileName) == names.end()) {
      return;
    }
    const std::string path = folder + "/" + kMetadataFileName;
    group.metadata = DecodeMetadata(File(file_system_, path, OpenMode::kRead).ReadAll());
    if (!group.metadata) {
      AddFinding(FindingSeverity::kError, path, 0,
                 "metadata is damaged or of another format version");
    }
  }

  void CheckSnapshots(const std::string& folder, GroupReport& group) {
    if (!file_system_.is_folder(folder)) {
      return;
    }
    for (const SnapshotFile& file : ScanSnapshots(file_system_, folder)) {
      if (!file.snapshot) {
        AddFinding(FindingSeverity::kNotice, file.file, 0, "invalid snapshot: " + file.reason);
      } else if (!group.snapshot) {
        group.snapshot = file.snapshot->id;
      }
    }
  }

  void CheckLog(const std::string& folder, GroupReport& group) {
    if (!file_system_.is_folder(folder)) {
      return;
    }
    const LogScan scan = ScanLog(file_system_, folder);
    group.segment_count = scan.segments.size();
    group.first_index = scan.first_index;
    group.last_index = scan.next_index() - 1;
    group.torn_tail = scan.torn_tail;
    for (const SegmentFile& segment : scan.segments) {
      group.log_bytes += segment.valid_bytes;
    }
    for (const CorruptFile& file : scan.corruptions) {
      AddFinding(FindingSeverity::kError, file.file, file.corruption.offset,
                 file.corruption.reason);
    }
    for (const std::string& file : scan.unrecognized_files) {
      AddFinding(FindingSeverity::kNotice, file, 0, "file is not part of a log");
    }
    if (scan.torn_tail) {
      AddFinding(FindingSeverity::kNotice, scan.torn_tail->file, scan.torn_tail->offset,
                 fmt::format("torn tail of {} bytes", scan.torn_tail->bytes));
    }
    const std::uint64_t snapshot = group.snapshot ? group.snapshot->index : 0;
    if (scan.corruptions.empty() && scan.first_index > snapshot + 1) {
      AddFinding(FindingSeverity::kError, folder, 0,
                 fmt::format("log begins at index {}, but the newest valid snapshot ends at "
                             "index {}",
                             scan.first_index, snapshot));
    }
  }

  const FileSystem& file_system_;
  DataFolderReport report_;
};

}  // namespace

bool DataFolderReport::is_sound() const {
  return std::none_of(findings.begin(), findings.end(), [](const Finding& finding) {
    return finding.severity == FindingSeverity::kError;
  });
}

DataFolderReport CheckDataFolder(const std::string& path, const FileSystem& file_system) {
  return DataFolderChecker(path, file_system).Run();
}

}  // namespace borageloft::storage
