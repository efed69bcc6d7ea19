#ifndef BORAGELOFT_STORAGE_SEGMENTED_LOG_H_
#define BORAGELOFT_STORAGE_SEGMENTED_LOG_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "libraries/storage/file.h"
#include "libraries/storage/log_scan.h"
#include "libraries/storage/storage_health.h"

namespace borageloft::storage {

/** Settings of a log. */
struct LogOptions {
  /** An append starts a new segment once the current one has reached this size, in bytes. */
  std::uint64_t segment_bytes = std::uint64_t{64} << 20U;
};

/** Records read from a log. */
struct ReadResult {
  std::uint64_t first_index = 0;
  std::vector<std::string> records;
};

/**
 * Durable log of records with consecutive indexes, which start at 1 in a new log. A record whose
 * Append() has returned survives a crash; a record whose Append() failed may be present when the
 * log is opened again. Not thread-safe.
 *
 * A truncation is written as a frame instead of shortening the file, so that a crash during it
 * cannot lose a record before the truncated ones.
 */
class SegmentedLog {
 public:
  /**
   * Opens a log or creates an empty one, and repairs the effects of a crash.
   * @param file_system File operations; they must outlive the log.
   * @param folder Existing folder that contains only this log.
   * @param health State shared with the other parts of the store; must outlive the log.
   * @param options Settings.
   * @throws CorruptionError if synced records are damaged.
   * @throws StorageFailedError if a repair fails.
   * @throws FileError if a file cannot be read.
   */
  SegmentedLog(const FileSystem& file_system, std::string folder, StorageHealth& health,
               LogOptions options = {});

  /**
   * Appends records with one write and one sync.
   * @return Index of the last record.
   * @throws StorageError if a record or the batch is too large; the log stays usable.
   * @throws StorageFailedError if the store has failed or fails now.
   */
  std::uint64_t Append(std::span<const std::string> records);

  /**
   * Reads records in order and verifies the checksum of each.
   * @param first Index of the first record, from first_index() to last_index() + 1.
   * @param maximum_count Largest number of records.
   * @param maximum_bytes Reading stops after the record with which the total reaches this size.
   * @throws CorruptionError if a record has changed since it was written.
   */
  ReadResult Read(std::uint64_t first, std::size_t maximum_count,
                  std::size_t maximum_bytes = kMaximumBatchBytes) const;

  /**
   * Durably discards the records from @p first on.
   * @param first From first_index() to last_index() + 1.
   */
  void TruncateSuffix(std::uint64_t first);

  /**
   * Allows removal of the records up to @p last, which a durable snapshot covers. Whole segments
   * are removed, so some of these records may reappear when the log is opened again.
   * @param last At most last_index().
   */
  void DropPrefix(std::uint64_t last);

  /** Durably discards all records; the next record gets index @p next_index. */
  void Reset(std::uint64_t next_index);

  /** @return Index of the first record; last_index() + 1 if the log is empty. */
  std::uint64_t first_index() const { return first_index_; }
  /** @return Index of the last record; first_index() - 1 if the log is empty. */
  std::uint64_t last_index() const { return first_index_ + records_.size() - 1; }
  /** @return Number of segment files. */
  std::size_t segment_count() const { return segments_.size(); }
  /** @return Size of the segment files in bytes. */
  std::uint64_t size_bytes() const;
  /** @return Torn tail that was cut off when the log was opened, if any. */
  const std::optional<TornTail>& torn_tail() const { return torn_tail_; }

 private:
  struct Segment {
    std::string path;
    std::unique_ptr<File> file;
    std::uint64_t size = 0;
  };

  void Repair(const LogScan& scan);
  void RewriteLastWrite(const SegmentFile& last);
  void OpenSegments(const LogScan& scan);
  void StartSegment(SegmentKind kind, std::uint64_t first_index);
  void RemoveOldestSegment();
  void WriteFrame(const std::string& frame);
  FrameLocation NextFrameLocation() const;
  std::string ReadRecord(std::uint64_t index) const;

  const FileSystem& file_system_;
  std::string folder_;
  StorageHealth& health_;
  LogOptions options_;
  std::map<std::uint64_t, Segment> segments_;  // By sequence number; the last is written to.
  std::deque<RecordLocation> records_;         // From first_index_ on.
  std::uint64_t first_index_ = 1;
  std::optional<TornTail> torn_tail_;
};

}  // namespace borageloft::storage

#endif  // BORAGELOFT_STORAGE_SEGMENTED_LOG_H_
