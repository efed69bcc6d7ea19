#ifndef BORAGELOFT_STORAGE_SEGMENT_H_
#define BORAGELOFT_STORAGE_SEGMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/storage/record.h"

namespace borageloft::storage {

/** Version of the segment format. Files of other versions are rejected. */
inline constexpr std::uint32_t kSegmentFormatVersion = 1;
/** Size of a segment header, in bytes. */
inline constexpr std::size_t kSegmentHeaderBytes = 40;

/** How a segment relates to those before it. */
enum class SegmentKind : std::uint32_t {
  kContinues = 1,  ///< Continues the segment before it.
  kReplaces = 2,   ///< Discards all segments before it.
};

/** Header of a segment file. */
struct SegmentHeader {
  std::uint64_t sequence = 0;  ///< Increases by one per segment; also in the file name.
  SegmentKind kind = SegmentKind::kContinues;
  std::uint64_t first_index = 0;  ///< Next index of the log when the segment was created.
};

/** A frame found in a segment. */
struct ScannedFrame {
  std::uint64_t offset = 0;
  Frame frame;
};

/** Location and reason of a corruption in a file. */
struct Corruption {
  std::uint64_t offset = 0;
  std::string reason;
};

/** Content of a segment file. The frames are views of the scanned bytes. */
struct SegmentScan {
  std::optional<SegmentHeader> header;  ///< Empty if the header is incomplete or invalid.
  std::vector<ScannedFrame> frames;
  std::uint64_t valid_bytes = 0;  ///< Length of the header and the valid frames after it.
  std::uint64_t torn_bytes = 0;   ///< Bytes after valid_bytes, which hold no valid frame.
  std::optional<Corruption> corruption;
};

/** @return The encoded header. */
std::string EncodeSegmentHeader(const SegmentHeader& header);

/**
 * Decodes a segment. Bytes that do not form a valid frame are a torn tail if no valid frame follows
 * them, since a frame is written only after the one before it was synced. If a valid frame follows,
 * synced bytes have changed, which is reported as corruption.
 * @param bytes Content of the file.
 * @param sequence Sequence number in the file's name.
 */
SegmentScan ScanSegment(std::string_view bytes, std::uint64_t sequence);

/** @return The file name of a segment. */
std::string SegmentFileName(std::uint64_t sequence);

/** @return The sequence number in a file name, or std::nullopt for other files. */
std::optional<std::uint64_t> ParseSegmentFileName(std::string_view name);

}  // namespace borageloft::storage

#endif  // BORAGELOFT_STORAGE_SEGMENT_H_
