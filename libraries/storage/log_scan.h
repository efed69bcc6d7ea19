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

/** Place of one record, kept in memory for each record of a log. */
struct RecordPlace {
  std::uint64_t segment = 0;   ///< Sequence number of the segment.
  std::uint64_t offset = 0;    ///< Offset of the record's bytes in the file.
  std::uint64_t checksum = 0;  ///< Hash of the record's bytes, checked on every read.
  std::uint32_t size = 0;
};

/** A tail that was cut off, or would be cut off on opening. */
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
  /** Last frame, or the header if there is none; the only bytes whose sync may have failed. */
  std::uint64_t last_write_offset = 0;
};

/** A file that is wrong. */
struct CorruptFile {
  std::string file;
  Corruption corruption;
};

/** Content of a log folder. */
struct LogScan {
  std::vector<SegmentFile> segments;      ///< Rising, without gaps.
  std::vector<std::string> obsolete;      ///< Segments that a later one replaces, oldest first.
  std::vector<std::string> unknown;       ///< Files that are no segments.
  std::optional<std::string> unfinished;  ///< Newest segment, if its header was never completed.
  std::deque<RecordPlace> records;        ///< From first_index on.
  std::uint64_t first_index = 1;
  std::optional<TornTail> torn_tail;
  std::vector<CorruptFile> corruptions;  ///< If not empty, the log cannot be opened.

  /** @return Index that the next record will get. */
  std::uint64_t next_index() const { return first_index + records.size(); }
};

/**
 * Reads a whole log without changing it.
 * @param file_system Hooks.
 * @param folder Folder of the log; it must exist.
 * @throws FileError if a file cannot be read.
 */
LogScan ScanLog(const FileSystem& file_system, const std::string& folder);

}  // namespace borageloft::storage

#endif  // BORAGELOFT_STORAGE_LOG_SCAN_H_
