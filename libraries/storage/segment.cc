#include "libraries/storage/segment.h"

#include <fmt/format.h>

#include <charconv>

#include "libraries/base/base.h"
#include "libraries/storage/byte_codec.h"

namespace borageloft::storage {

namespace {

constexpr std::uint64_t kSegmentMagic = 0x474F4C54464F4C42;  // "BLOFTLOG" in file order.
constexpr std::size_t kVersionOffset = 8;
constexpr std::size_t kKindOffset = 12;
constexpr std::size_t kSequenceOffset = 16;
constexpr std::size_t kIndexOffset = 24;
constexpr std::size_t kHashOffset = 32;
constexpr std::string_view kFileSuffix = ".log";
constexpr std::size_t kFileDigits = 20;

bool HasValidFrame(std::string_view bytes, std::uint64_t sequence, std::uint64_t from) {
  for (std::uint64_t offset = from; offset + kFrameHeaderBytes <= bytes.size(); ++offset) {
    Frame frame;
    if (DecodeFrame(bytes.substr(offset), {sequence, offset}, frame) == FrameStatus::kValid) {
      return true;
    }
  }
  return false;
}

bool HasValidHeaderHash(std::string_view bytes) {
  return bytes.size() >= kSegmentHeaderBytes &&
         LoadInteger<std::uint64_t>(bytes, 0) == kSegmentMagic &&
         base::Hash(bytes.substr(0, kHashOffset)) == LoadInteger<std::uint64_t>(bytes, kHashOffset);
}

void ReadHeader(std::string_view bytes, std::uint64_t sequence, SegmentScan& scan) {
  if (!HasValidHeaderHash(bytes)) {
    scan.torn_bytes = bytes.size();
    if (HasValidFrame(bytes, sequence, 0)) {
      scan.corruption = Corruption{0, "segment header is invalid but valid frames follow it"};
    }
    return;
  }
  const auto version = LoadInteger<std::uint32_t>(bytes, kVersionOffset);
  if (version != kSegmentFormatVersion) {
    scan.corruption =
        Corruption{kVersionOffset, fmt::format("format version {} is not supported, expected {}",
                                               version, kSegmentFormatVersion)};
    return;
  }
  const SegmentHeader header{
      .sequence = LoadInteger<std::uint64_t>(bytes, kSequenceOffset),
      .kind = static_cast<SegmentKind>(LoadInteger<std::uint32_t>(bytes, kKindOffset)),
      .first_index = LoadInteger<std::uint64_t>(bytes, kIndexOffset)};
  if (header.sequence != sequence) {
    scan.corruption = Corruption{
        kSequenceOffset,
        fmt::format("header has sequence number {}, not that of the file name", header.sequence)};
    return;
  }
  if (header.kind != SegmentKind::kContinues && header.kind != SegmentKind::kReplaces) {
    scan.corruption = Corruption{kKindOffset, "unknown segment kind"};
    return;
  }
  scan.header = header;
  scan.valid_bytes = kSegmentHeaderBytes;
}

}  // namespace

std::string EncodeSegmentHeader(const SegmentHeader& header) {
  std::string bytes;
  AppendInteger(bytes, kSegmentMagic);
  AppendInteger(bytes, kSegmentFormatVersion);
  AppendInteger(bytes, static_cast<std::uint32_t>(header.kind));
  AppendInteger(bytes, header.sequence);
  AppendInteger(bytes, header.first_index);
  AppendInteger(bytes, base::Hash(bytes));
  return bytes;
}

SegmentScan ScanSegment(std::string_view bytes, std::uint64_t sequence) {
  SegmentScan scan;
  ReadHeader(bytes, sequence, scan);
  if (!scan.header) {
    return scan;
  }
  while (scan.valid_bytes < bytes.size()) {
    ScannedFrame next{.offset = scan.valid_bytes, .frame = {}};
    if (DecodeFrame(bytes.substr(next.offset), {sequence, next.offset}, next.frame) !=
        FrameStatus::kValid) {
      break;
    }
    scan.valid_bytes += next.frame.size;
    scan.frames.push_back(std::move(next));
  }
  scan.torn_bytes = bytes.size() - scan.valid_bytes;
  if (HasValidFrame(bytes, sequence, scan.valid_bytes + 1)) {
    scan.corruption = Corruption{scan.valid_bytes, "invalid frame is followed by a valid one"};
  }
  return scan;
}

std::string SegmentFileName(std::uint64_t sequence) {
  return fmt::format("{:020}{}", sequence, kFileSuffix);
}

std::optional<std::uint64_t> ParseSegmentFileName(std::string_view name) {
  if (name.size() != kFileDigits + kFileSuffix.size() || !name.ends_with(kFileSuffix)) {
    return std::nullopt;
  }
  std::uint64_t sequence = 0;
  const char* end = name.data() + kFileDigits;
  const auto [stop, error] = std::from_chars(name.data(), end, sequence);
  if (error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return sequence;
}

}  // namespace borageloft::storage
