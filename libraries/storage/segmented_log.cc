#include "libraries/storage/segmented_log.h"

#include <fmt/format.h>

#include <numeric>
#include <utility>

namespace borageloft::storage {

SegmentedLog::SegmentedLog(const FileSystem& file_system, std::string folder, StorageHealth& health,
                           LogOptions options)
    : file_system_(file_system), folder_(std::move(folder)), health_(health), options_(options) {
  LogScan scan = ScanLog(file_system_, folder_);
  if (!scan.corruptions.empty()) {
    const CorruptFile& first = scan.corruptions.front();
    throw CorruptionError(first.file, first.corruption.offset, first.corruption.reason);
  }
  health_.Run([&] { Repair(scan); });
  records_ = std::move(scan.records);
  first_index_ = scan.first_index;
  torn_tail_ = std::move(scan.torn_tail);
}

std::uint64_t SegmentedLog::Append(std::span<const std::string> records) {
  health_.RequireUsable();
  // Encodes before any write, so that an invalid argument leaves the log unchanged and usable.
  std::string frame = EncodeBatchFrame(NextFrameLocation(), last_index() + 1, records);
  health_.Run([&] {
    if (segments_.rbegin()->second.size >= options_.segment_bytes) {
      StartSegment(SegmentKind::kContinues, last_index() + 1);
      frame = EncodeBatchFrame(NextFrameLocation(), last_index() + 1, records);
    }
    WriteFrame(frame);
  });
  std::uint64_t offset = segments_.rbegin()->second.size - frame.size() + kFrameHeaderBytes;
  for (const std::string& record : records) {
    offset += 4;
    records_.push_back({segments_.rbegin()->first, offset, base::Hash(record),
                        static_cast<std::uint32_t>(record.size())});
    offset += record.size();
  }
  return last_index();
}

ReadResult SegmentedLog::Read(std::uint64_t first, std::size_t maximum_count,
                              std::size_t maximum_bytes) const {
  health_.RequireUsable();
  if (first < first_index_ || first > last_index() + 1) {
    throw StorageError(fmt::format("{}: index {} is outside the range {} to {}", folder_, first,
                                   first_index_, last_index()));
  }
  ReadResult result{.first_index = first, .records = {}};
  std::size_t bytes = 0;
  for (std::uint64_t index = first;
       index <= last_index() && result.records.size() < maximum_count && bytes < maximum_bytes;
       ++index) {
    result.records.push_back(ReadRecord(index));
    bytes += result.records.back().size();
  }
  return result;
}

void SegmentedLog::TruncateSuffix(std::uint64_t first) {
  health_.RequireUsable();
  if (first < first_index_ || first > last_index() + 1) {
    throw StorageError(fmt::format("{}: cannot truncate from index {}, the log holds {} to {}",
                                   folder_, first, first_index_, last_index()));
  }
  if (first == last_index() + 1) {
    return;
  }
  health_.Run([&] { WriteFrame(EncodeTruncateFrame(NextFrameLocation(), first)); });
  records_.resize(first - first_index_);
}

void SegmentedLog::DropPrefix(std::uint64_t last) {
  health_.RequireUsable();
  if (last > last_index()) {
    throw StorageError(fmt::format("{}: cannot drop through index {}, the last is {}", folder_,
                                   last, last_index()));
  }
  if (last < first_index_) {
    return;
  }
  records_.erase(records_.begin(),
                 records_.begin() + static_cast<std::ptrdiff_t>(last - first_index_ + 1));
  first_index_ = last + 1;
  const std::uint64_t first_needed_segment =
      records_.empty() ? segments_.rbegin()->first : records_[0].segment;
  health_.Run([&] {
    while (segments_.begin()->first < first_needed_segment) {
      RemoveOldestSegment();
    }
  });
}

void SegmentedLog::Reset(std::uint64_t next_index) {
  VERIFY(next_index > 0);
  health_.Run([&] {
    StartSegment(SegmentKind::kReplaces, next_index);
    while (segments_.size() > 1) {
      RemoveOldestSegment();
    }
  });
  records_.clear();
  first_index_ = next_index;
}

std::uint64_t SegmentedLog::size_bytes() const {
  return std::accumulate(
      segments_.begin(), segments_.end(), std::uint64_t{0},
      [](std::uint64_t sum, const auto& entry) { return sum + entry.second.size; });
}

void SegmentedLog::Repair(const LogScan& scan) {
  if (scan.incomplete_segment) {
    file_system_.remove(*scan.incomplete_segment);
  }
  if (scan.torn_tail) {
    base::Log(base::LogLevel::kWarning, "log_tail_cut",
              {{"file", scan.torn_tail->file},
               {"offset", static_cast<Json::UInt64>(scan.torn_tail->offset)},
               {"bytes", static_cast<Json::UInt64>(scan.torn_tail->bytes)}});
  }
  OpenSegments(scan);
  if (segments_.empty()) {
    StartSegment(SegmentKind::kContinues, 1);
    return;
  }
  RewriteLastWrite(scan.segments.back());
  file_system_.sync_folder(folder_);
  // Only now is the segment that replaces the obsolete ones known to be durable.
  for (const std::string& path : scan.obsolete_segments) {
    file_system_.remove(path);
    file_system_.sync_folder(folder_);
  }
}

// After a failed sync, the page cache may hold bytes that are not on the disk but are marked clean,
// so that another sync has no effect. Rewriting the last frame marks its pages dirty again.
void SegmentedLog::RewriteLastWrite(const SegmentFile& last) {
  File& file = *segments_.rbegin()->second.file;
  // Needed even if the size is correct: the sync after an earlier truncation may have failed.
  file.Truncate(last.valid_bytes);
  const std::size_t size = static_cast<std::size_t>(last.valid_bytes - last.last_write_offset);
  file.Write(last.last_write_offset, file.Read(last.last_write_offset, size));
  file.Sync();
}

void SegmentedLog::OpenSegments(const LogScan& scan) {
  for (const SegmentFile& segment : scan.segments) {
    segments_.emplace(
        segment.sequence,
        Segment{segment.path, std::make_unique<File>(file_system_, segment.path, OpenMode::kUpdate),
                segment.valid_bytes});
  }
}

void SegmentedLog::StartSegment(SegmentKind kind, std::uint64_t first_index) {
  const std::uint64_t sequence = segments_.empty() ? 1 : segments_.rbegin()->first + 1;
  Segment segment{folder_ + "/" + SegmentFileName(sequence), nullptr, kSegmentHeaderBytes};
  segment.file = std::make_unique<File>(file_system_, segment.path, OpenMode::kReplace);
  segment.file->Write(
      0, EncodeSegmentHeader({.sequence = sequence, .kind = kind, .first_index = first_index}));
  segment.file->Sync();
  file_system_.sync_folder(folder_);
  segments_.emplace(sequence, std::move(segment));
}

// Each removal is synced before the next one: a crash must not leave a gap between segments.
void SegmentedLog::RemoveOldestSegment() {
  const std::string path = segments_.begin()->second.path;
  segments_.erase(segments_.begin());
  file_system_.remove(path);
  file_system_.sync_folder(folder_);
}

void SegmentedLog::WriteFrame(const std::string& frame) {
  Segment& segment = segments_.rbegin()->second;
  segment.file->Write(segment.size, frame);
  segment.file->Sync();
  segment.size += frame.size();
}

FrameLocation SegmentedLog::NextFrameLocation() const {
  return {.segment = segments_.rbegin()->first, .offset = segments_.rbegin()->second.size};
}

std::string SegmentedLog::ReadRecord(std::uint64_t index) const {
  const RecordLocation& location = records_[index - first_index_];
  const Segment& segment = segments_.at(location.segment);
  std::string record = segment.file->Read(location.offset, location.size);
  if (record.size() != location.size || base::Hash(record) != location.checksum) {
    throw CorruptionError(segment.path, location.offset,
                          fmt::format("record {} has changed since it was written", index));
  }
  return record;
}

}  // namespace borageloft::storage
