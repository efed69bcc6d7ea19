#ifndef BORAGELOFT_STORAGE_RECORD_FUZZ_H_
#define BORAGELOFT_STORAGE_RECORD_FUZZ_H_

#include <cstdlib>
#include <string>
#include <vector>

#include "libraries/storage/storage.h"

namespace borageloft::storage {

/** Writes correct checksums into a frame, so that the decoder reaches its mutated fields. */
inline std::string WithFrameChecksums(std::string bytes, const FrameLocation& location) {
  if (bytes.size() < kFrameHeaderBytes) {
    return bytes;
  }
  const auto store = [&bytes](std::size_t offset, std::uint64_t value) {
    for (std::size_t i = 0; i < 8; ++i) {
      bytes[offset + i] = static_cast<char>(value >> (8 * i));
    }
  };
  std::string salted(16, '\0');
  for (std::size_t i = 0; i < 8; ++i) {
    salted[i] = static_cast<char>(location.segment >> (8 * i));
    salted[8 + i] = static_cast<char>(location.offset >> (8 * i));
  }
  const std::uint64_t salt = base::Hash(salted);
  const std::string_view view(bytes);
  store(24, base::Hash(view.substr(kFrameHeaderBytes), salt));
  store(32, base::Hash(view.substr(0, 32), salt));
  return bytes;
}

/** Aborts if a decoded frame does not encode to its own bytes. */
inline void CheckFrame(const Frame& frame, const FrameLocation& location, std::string_view bytes) {
  const std::vector<std::string> records(frame.records.begin(), frame.records.end());
  const std::string encoded = frame.type == FrameType::kBatch
                                  ? EncodeBatchFrame(location, frame.first_index, records)
                                  : EncodeTruncateFrame(location, frame.first_index);
  if (encoded != bytes) {
    std::abort();
  }
}

/**
 * Feeds one input to every decoder; aborts if a decoded value does not encode to its own bytes, or
 * a decoded snapshot to its own length.
 */
inline void CheckRecordInput(std::string_view input) {
  constexpr std::uint64_t kSegment = 1;
  const SegmentScan scan = ScanSegment(input, kSegment);
  for (const ScannedFrame& scanned : scan.frames) {
    CheckFrame(scanned.frame, {kSegment, scanned.offset},
               input.substr(scanned.offset, scanned.frame.size));
  }
  const FrameLocation location{kSegment, kSegmentHeaderBytes};
  const std::string fixed = WithFrameChecksums(std::string(input), location);
  Frame frame;
  if (DecodeFrame(fixed, location, frame) == FrameStatus::kValid) {
    CheckFrame(frame, location, std::string_view(fixed).substr(0, frame.size));
  }
  if (scan.valid_bytes + scan.torn_bytes > input.size()) {
    std::abort();
  }
  std::string reason;
  if (const auto snapshot = DecodeSnapshot(input, reason)) {
    if (EncodeSnapshot(snapshot->id, snapshot->content).size() != input.size()) {
      std::abort();
    }
  }
  if (const auto metadata = DecodeMetadata(input)) {
    if (EncodeMetadata(*metadata) != input) {
      std::abort();
    }
  }
}

}  // namespace borageloft::storage

#endif  // BORAGELOFT_STORAGE_RECORD_FUZZ_H_
