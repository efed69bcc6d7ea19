#ifndef BORAGELOFT_STORAGE_RECORD_H_
#define BORAGELOFT_STORAGE_RECORD_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace borageloft::storage {

/** Largest record, in bytes. A larger length is rejected before memory is allocated for it. */
inline constexpr std::size_t kMaximumRecordBytes = std::size_t{8} << 20U;
/** Largest batch, in bytes, including the 4-byte length before each record. */
inline constexpr std::size_t kMaximumBatchBytes = std::size_t{64} << 20U;
/** Size of a frame header, in bytes. */
inline constexpr std::size_t kFrameHeaderBytes = 40;

/** What a frame does to the log. */
enum class FrameType : std::uint32_t {
  kBatch = 1,     ///< Appends records from first_index on.
  kTruncate = 2,  ///< Discards the records from first_index on.
};

/** Location of a frame. The frame's checksums cover it, so a misplaced frame is not accepted. */
struct FrameLocation {
  std::uint64_t segment = 0;  ///< Sequence number of the segment.
  std::uint64_t offset = 0;   ///< Offset in the segment file, in bytes.
};

/** A decoded frame. Its records are views of the bytes that it was decoded from. */
struct Frame {
  FrameType type = FrameType::kBatch;
  std::uint64_t first_index = 0;
  std::vector<std::string_view> records;
  std::size_t size = 0;  ///< Bytes of the frame, header and payload.
};

/** Result of DecodeFrame. */
enum class FrameStatus {
  kValid,
  kIncomplete,  ///< The bytes end before the frame does.
  kInvalid,     ///< A checksum or field is wrong.
};

/**
 * Encodes one batch. All records of a batch share one checksum: the batch is written with a single
 * write before its sync, and its sectors may reach the disk in any order.
 * @throws StorageError if a record or the batch is too large, or the batch is empty.
 */
std::string EncodeBatchFrame(const FrameLocation& location, std::uint64_t first_index,
                             std::span<const std::string> records);

/** Encodes the removal of all records from @p first_index on. */
std::string EncodeTruncateFrame(const FrameLocation& location, std::uint64_t first_index);

/**
 * Decodes the frame at the beginning of @p bytes.
 * @param location Where the bytes were read from.
 * @param frame Receives the frame; changed only if the result is kValid.
 */
FrameStatus DecodeFrame(std::string_view bytes, const FrameLocation& location, Frame& frame);

}  // namespace borageloft::storage

#endif  // BORAGELOFT_STORAGE_RECORD_H_
