#include "libraries/storage/snapshot_store.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <utility>

#include "libraries/storage/atomic_file.h"
#include "libraries/storage/byte_codec.h"
#include "libraries/storage/file.h"

namespace borageloft::storage {

namespace {

constexpr std::uint64_t kSnapshotMagic = 0x50414E53464F4C42;  // "BLOFSNAP" in file order.
constexpr std::size_t kHeaderBytes = 48;
constexpr std::string_view kFilePrefix = "snapshot-";
constexpr std::size_t kFileDigits = 20;

std::string SnapshotFileName(std::uint64_t index) {
  return fmt::format("{}{:020}", kFilePrefix, index);
}

bool IsSnapshotFileName(std::string_view name) {
  return name.starts_with(kFilePrefix) && name.size() == kFilePrefix.size() + kFileDigits &&
         std::all_of(name.begin() + kFilePrefix.size(), name.end(),
                     [](char c) { return c >= '0' && c <= '9'; });
}

// Sorted by index: the number in the name has a fixed width.
std::vector<std::string> ListSnapshots(const FileSystem& file_system, const std::string& folder) {
  std::vector<std::string> names = file_system.list(folder);
  std::erase_if(names, [](const std::string& name) { return !IsSnapshotFileName(name); });
  std::sort(names.begin(), names.end());
  return names;
}

SnapshotFile ReadSnapshot(const FileSystem& file_system, const std::string& path) {
  const std::string bytes = File(file_system, path, OpenMode::kRead).ReadAll();
  SnapshotFile result{.file = path, .bytes = bytes.size(), .snapshot = {}, .reason = {}};
  result.snapshot = DecodeSnapshot(bytes, result.reason);
  if (result.snapshot && !path.ends_with(SnapshotFileName(result.snapshot->id.index))) {
    result.snapshot.reset();
    result.reason = "index in the file name differs from that in the header";
  }
  return result;
}

}  // namespace

std::string EncodeSnapshot(const SnapshotId& id, std::string_view content) {
  std::string header;
  AppendInteger(header, kSnapshotMagic);
  AppendInteger(header, kSnapshotFormatVersion);
  AppendInteger(header, std::uint32_t{0});
  AppendInteger(header, id.index);
  AppendInteger(header, id.term);
  AppendInteger(header, static_cast<std::uint64_t>(content.size()));
  AppendInteger(header, base::Hash(content, base::Hash(header)));
  header.append(content);
  return header;
}

std::optional<Snapshot> DecodeSnapshot(std::string_view bytes, std::string& reason) {
  if (bytes.size() < kHeaderBytes || LoadInteger<std::uint64_t>(bytes, 0) != kSnapshotMagic) {
    reason = "not a snapshot file";
    return std::nullopt;
  }
  const auto version = LoadInteger<std::uint32_t>(bytes, 8);
  if (version != kSnapshotFormatVersion) {
    reason = fmt::format("format version {} is not supported, expected {}", version,
                         kSnapshotFormatVersion);
    return std::nullopt;
  }
  const std::string_view content = bytes.substr(kHeaderBytes);
  if (content.size() != LoadInteger<std::uint64_t>(bytes, 32)) {
    reason = "content length does not match the header";
    return std::nullopt;
  }
  if (base::Hash(content, base::Hash(bytes.substr(0, 40))) !=
      LoadInteger<std::uint64_t>(bytes, 40)) {
    reason = "checksum mismatch";
    return std::nullopt;
  }
  return Snapshot{.id = {.index = LoadInteger<std::uint64_t>(bytes, 16),
                         .term = LoadInteger<std::uint64_t>(bytes, 24)},
                  .content = std::string(content)};
}

std::vector<SnapshotFile> ScanSnapshots(const FileSystem& file_system, const std::string& folder) {
  std::vector<SnapshotFile> files;
  for (const std::string& name : ListSnapshots(file_system, folder)) {
    files.push_back(ReadSnapshot(file_system, fmt::format("{}/{}", folder, name)));
  }
  std::reverse(files.begin(), files.end());
  return files;
}

SnapshotStore::SnapshotStore(const FileSystem& file_system, std::string folder,
                             StorageHealth& health)
    : file_system_(file_system), folder_(std::move(folder)), health_(health) {
  health_.Run([&] { RemoveTemporaryFiles(file_system_, folder_); });
  if (const auto snapshot = LoadNewest()) {
    newest_ = snapshot->id;
  }
}

void SnapshotStore::Save(const SnapshotId& id, std::string_view content) {
  if (newest_ && id.index < newest_->index) {
    throw StorageError(
        fmt::format("{}: snapshot {} is older than {}", folder_, id.index, newest_->index));
  }
  const std::string name = SnapshotFileName(id.index);
  health_.Run([&] {
    WriteFileAtomically(file_system_, folder_, name, EncodeSnapshot(id, content));
    newest_ = id;
    // The removal needs no sync: an older snapshot that reappears after a crash is harmless.
    for (const std::string& other : ListSnapshots(file_system_, folder_)) {
      if (other < name) {
        file_system_.remove(folder_ + "/" + other);
      }
    }
  });
}

std::optional<Snapshot> SnapshotStore::LoadNewest() const {
  std::vector<std::string> names = ListSnapshots(file_system_, folder_);
  for (auto name = names.rbegin(); name != names.rend(); ++name) {
    SnapshotFile file = ReadSnapshot(file_system_, folder_ + "/" + *name);
    if (file.snapshot) {
      return std::move(file.snapshot);
    }
    base::Log(base::LogLevel::kError, "snapshot_invalid",
              {{"file", file.file}, {"reason", file.reason}});
  }
  return std::nullopt;
}

}  // namespace borageloft::storage
