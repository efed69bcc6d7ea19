#include "libraries/storage/log_scan.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "libraries/base/base.h"
#include "libraries/storage/file.h"

namespace borageloft::storage {

namespace {

class LogScanner {
 public:
  LogScanner(const FileSystem& file_system, std::string folder)
      : file_system_(file_system), folder_(std::move(folder)) {}

  LogScan Run() {
    ListFiles();
    SkipReplacedSegments();
    for (std::size_t i = 0; i < sequences_.size(); ++i) {
      ScanFile(sequences_[i], i + 1 == sequences_.size());
    }
    return std::move(result_);
  }

 private:
  std::string PathOf(std::uint64_t sequence) const {
    return folder_ + "/" + SegmentFileName(sequence);
  }

  std::string ReadBytes(std::uint64_t sequence, std::size_t limit) const {
    const File file(file_system_, PathOf(sequence), OpenMode::kRead);
    return file.Read(0, std::min<std::size_t>(limit, static_cast<std::size_t>(file.Size())));
  }

  void ListFiles() {
    for (const std::string& name : file_system_.list(folder_)) {
      if (const auto sequence = ParseSegmentFileName(name)) {
        sequences_.push_back(*sequence);
      } else {
        result_.unrecognized_files.push_back(folder_ + "/" + name);
      }
    }
    std::sort(sequences_.begin(), sequences_.end());
  }

  // Some of the segments before a replacing one may already be removed, so none of them is read.
  void SkipReplacedSegments() {
    for (std::size_t i = sequences_.size(); i-- > 0;) {
      const SegmentScan scan =
          ScanSegment(ReadBytes(sequences_[i], kSegmentHeaderBytes), sequences_[i]);
      if (!scan.header || scan.header->kind != SegmentKind::kReplaces) {
        continue;
      }
      const auto end = sequences_.begin() + static_cast<std::ptrdiff_t>(i);
      std::transform(sequences_.begin(), end, std::back_inserter(result_.obsolete_segments),
                     [this](std::uint64_t sequence) { return PathOf(sequence); });
      sequences_.erase(sequences_.begin(), end);
      return;
    }
  }

  void ReportCorruption(std::uint64_t sequence, std::uint64_t offset, std::string reason) {
    result_.corruptions.push_back({PathOf(sequence), {offset, std::move(reason)}});
  }

  void ScanFile(std::uint64_t sequence, bool is_last) {
    const std::string bytes = ReadBytes(sequence, SIZE_MAX);
    const SegmentScan scan = ScanSegment(bytes, sequence);
    if (scan.corruption) {
      ReportCorruption(sequence, scan.corruption->offset, scan.corruption->reason);
      return;
    }
    if (scan.torn_bytes > 0 || !scan.header) {
      if (!is_last) {
        ReportCorruption(sequence, scan.valid_bytes,
                         "segment is incomplete but a later segment exists");
        return;
      }
      result_.torn_tail = TornTail{PathOf(sequence), scan.valid_bytes, scan.torn_bytes};
    }
    if (!scan.header) {
      result_.incomplete_segment = PathOf(sequence);
      return;
    }
    if (CheckContinuity(*scan.header)) {
      AddSegment(scan, sequence);
    }
  }

  bool CheckContinuity(const SegmentHeader& header) {
    if (result_.segments.empty()) {
      result_.first_index = header.first_index;
      return true;
    }
    const std::uint64_t expected = result_.segments.back().sequence + 1;
    if (header.sequence != expected) {
      ReportCorruption(header.sequence, 0, fmt::format("segment {} is missing", expected));
      return false;
    }
    if (header.first_index != result_.next_index()) {
      ReportCorruption(header.sequence, 0,
                       fmt::format("segment begins at index {}, expected {}", header.first_index,
                                   result_.next_index()));
      return false;
    }
    return true;
  }

  void AddSegment(const SegmentScan& scan, std::uint64_t sequence) {
    SegmentFile segment{.sequence = sequence,
                        .path = PathOf(sequence),
                        .valid_bytes = scan.valid_bytes,
                        .last_write_offset = 0};
    for (const ScannedFrame& scanned : scan.frames) {
      segment.last_write_offset = scanned.offset;
      if (!AddFrame(scanned, sequence)) {
        return;
      }
    }
    result_.segments.push_back(std::move(segment));
  }

  bool AddFrame(const ScannedFrame& scanned, std::uint64_t sequence) {
    const Frame& frame = scanned.frame;
    if (frame.type == FrameType::kTruncate) {
      return ApplyTruncation(scanned, sequence);
    }
    if (frame.first_index != result_.next_index()) {
      ReportCorruption(sequence, scanned.offset,
                       fmt::format("batch begins at index {}, expected {}", frame.first_index,
                                   result_.next_index()));
      return false;
    }
    std::uint64_t offset = scanned.offset + kFrameHeaderBytes;
    for (const std::string_view record : frame.records) {
      offset += 4;
      result_.records.push_back(
          {sequence, offset, base::Hash(record), static_cast<std::uint32_t>(record.size())});
      offset += record.size();
    }
    return true;
  }

  bool ApplyTruncation(const ScannedFrame& scanned, std::uint64_t sequence) {
    const std::uint64_t index = scanned.frame.first_index;
    if (index > result_.next_index()) {
      ReportCorruption(sequence, scanned.offset, "truncation index is past the end of the log");
      return false;
    }
    if (index < result_.first_index) {
      // The segments with the records before this index were dropped after a snapshot.
      result_.first_index = index;
      result_.records.clear();
    }
    result_.records.resize(index - result_.first_index);
    return true;
  }

  const FileSystem& file_system_;
  std::string folder_;
  std::vector<std::uint64_t> sequences_;
  LogScan result_;
};

}  // namespace

LogScan ScanLog(const FileSystem& file_system, const std::string& folder) {
  return LogScanner(file_system, folder).Run();
}

}  // namespace borageloft::storage
