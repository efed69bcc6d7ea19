#ifndef BORAGELOFT_STORAGE_LOG_SCAN_H_
#define BORAGELOFT_STORAGE_LOG_SCAN_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "libraries/storage/file_system.h"
#include "libraries/storage/segment.h"

namespace borageloft::storage {

/** Location of one record; the log keeps one in memory for each of its records. */
struct RecordLocation {
  std::uint64_t segment = 0;   ///< Sequence number of the segment.
  std::uint64_t offset = 0;    ///< Offset of the record's bytes in the file.
  std::uint64_t checksum = 0;  ///< Hash of the record's bytes, checked on every read.
  std::uint32_t size = 0;
};

/** Incomplete last write of a log, which is cut off when the log is opened. */
struct TornTail {
  std::string file;
  std::uint64_t offset = 0;
  std::uint64_t bytes = 0;
};

/** A segment file of a log. */
struct SegmentFile {
  std::uint64_t sequence = 0;
  std::string path;
  std::uint64_t valid_bytes = 0;
  /**
   * Offset of the last frame, or of the header if there is none. Only the sync of this write may
   * have failed.
   */
  std::uint64_t last_write_offset = 0;
};

/** A corrupt file. */
struct CorruptFile {
  std::string file;
  Corruption corruption;
};

/** Content of a log folder. */
struct LogScan {
  std::vector<SegmentFile> segments;            ///< In increasing order, without gaps.
  std::vector<std::string> obsolete_segments;   ///< Segments replaced by a later one, oldest first.
  std::vector<std::string> unrecognized_files;  ///< Files that are not segments.
  std::optional<std::string> incomplete_segment;  ///< Newest segment, if its header is incomplete.
  std::deque<RecordLocation> records;             ///< From first_index on.
  std::uint64_t first_index = 1;
  std::optional<TornTail> torn_tail;
  std::vector<CorruptFile> corruptions;  ///< If not empty, the log cannot be opened.

  /** @return Index that the next record will get. */
  std::uint64_t next_index() const { return first_index + records.size(); }
};

/**
 * Reads a whole log without changing it.
 * @param file_system File operations.
 * @param folder Folder of the log; it must exist.
 * @throws FileError if a file cannot be read.
 */
LogScan ScanLog(const FileSystem& file_system, const std::string& folder);

}  // namespace borageloft::storage

#endif  // BORAGELOFT_STORAGE_LOG_SCAN_H_
