#include "libraries/storage/record.h"

#include <fmt/format.h>

#include "libraries/storage/byte_codec.h"
#include "libraries/storage/storage_error.h"

namespace borageloft::storage {

namespace {

constexpr std::uint32_t kFrameMagic = 0x4D465242;  // "BRFM" in file order.
// Offsets of the header's fields, in bytes.
constexpr std::size_t kTypeOffset = 4;
constexpr std::size_t kLengthOffset = 8;
constexpr std::size_t kCountOffset = 12;
constexpr std::size_t kIndexOffset = 16;
constexpr std::size_t kPayloadHashOffset = 24;
constexpr std::size_t kHeaderHashOffset = 32;

std::uint64_t SaltOf(const FrameLocation& location) {
  std::string bytes;
  AppendInteger(bytes, location.segment);
  AppendInteger(bytes, location.offset);
  return base::Hash(bytes);
}

std::string EncodeFrame(FrameType type, const FrameLocation& location, std::uint64_t first_index,
                        std::size_t count, std::string_view payload) {
  const std::uint64_t salt = SaltOf(location);
  std::string bytes;
  bytes.reserve(kFrameHeaderBytes + payload.size());
  AppendInteger(bytes, kFrameMagic);
  AppendInteger(bytes, static_cast<std::uint32_t>(type));
  AppendInteger(bytes, static_cast<std::uint32_t>(payload.size()));
  AppendInteger(bytes, static_cast<std::uint32_t>(count));
  AppendInteger(bytes, first_index);
  AppendInteger(bytes, base::Hash(payload, salt));
  AppendInteger(bytes, base::Hash(bytes, salt));
  bytes.append(payload);
  return bytes;
}

// Splits the payload of a batch into records; false if the lengths do not match the payload.
bool SplitRecords(std::string_view payload, std::size_t count,
                  std::vector<std::string_view>& records) {
  // Each record has a 4-byte length, so the payload size bounds the memory reserved for a
  // malicious count.
  if (count == 0 || count > payload.size() / 4) {
    return false;
  }
  records.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    if (payload.size() < 4) {
      return false;
    }
    const auto length = LoadInteger<std::uint32_t>(payload, 0);
    payload.remove_prefix(4);
    if (length > kMaximumRecordBytes || length > payload.size()) {
      return false;
    }
    records.push_back(payload.substr(0, length));
    payload.remove_prefix(length);
  }
  return payload.empty();
}

}  // namespace

std::string EncodeBatchFrame(const FrameLocation& location, std::uint64_t first_index,
                             std::span<const std::string> records) {
  if (records.empty()) {
    throw StorageError("batch contains no records");
  }
  std::size_t size = 0;
  for (const std::string& record : records) {
    if (record.size() > kMaximumRecordBytes) {
      throw StorageError(fmt::format("record of {} bytes exceeds the limit of {} bytes",
                                     record.size(), kMaximumRecordBytes));
    }
    size += 4 + record.size();
  }
  if (size > kMaximumBatchBytes) {
    throw StorageError(
        fmt::format("batch of {} bytes exceeds the limit of {} bytes", size, kMaximumBatchBytes));
  }
  std::string payload;
  payload.reserve(size);
  for (const std::string& record : records) {
    AppendInteger(payload, static_cast<std::uint32_t>(record.size()));
    payload.append(record);
  }
  return EncodeFrame(FrameType::kBatch, location, first_index, records.size(), payload);
}

std::string EncodeTruncateFrame(const FrameLocation& location, std::uint64_t first_index) {
  return EncodeFrame(FrameType::kTruncate, location, first_index, 0, {});
}

FrameStatus DecodeFrame(std::string_view bytes, const FrameLocation& location, Frame& frame) {
  if (bytes.size() >= 4 && LoadInteger<std::uint32_t>(bytes, 0) != kFrameMagic) {
    return FrameStatus::kInvalid;
  }
  if (bytes.size() < kFrameHeaderBytes) {
    return FrameStatus::kIncomplete;
  }
  // The header has its own checksum, so that a search for frames hashes a payload only after a
  // header that is valid at this location.
  const std::uint64_t salt = SaltOf(location);
  if (base::Hash(bytes.substr(0, kHeaderHashOffset), salt) !=
      LoadInteger<std::uint64_t>(bytes, kHeaderHashOffset)) {
    return FrameStatus::kInvalid;
  }
  const auto type = static_cast<FrameType>(LoadInteger<std::uint32_t>(bytes, kTypeOffset));
  const auto length = LoadInteger<std::uint32_t>(bytes, kLengthOffset);
  const auto count = LoadInteger<std::uint32_t>(bytes, kCountOffset);
  if (length > kMaximumBatchBytes) {
    return FrameStatus::kInvalid;
  }
  if (bytes.size() - kFrameHeaderBytes < length) {
    return FrameStatus::kIncomplete;
  }
  const std::string_view payload = bytes.substr(kFrameHeaderBytes, length);
  if (base::Hash(payload, salt) != LoadInteger<std::uint64_t>(bytes, kPayloadHashOffset)) {
    return FrameStatus::kInvalid;
  }
  Frame decoded{.type = type,
                .first_index = LoadInteger<std::uint64_t>(bytes, kIndexOffset),
                .records = {},
                .size = kFrameHeaderBytes + length};
  const bool is_batch = type == FrameType::kBatch && SplitRecords(payload, count, decoded.records);
  const bool is_truncate = type == FrameType::kTruncate && length == 0 && count == 0;
  if (!is_batch && !is_truncate) {
    return FrameStatus::kInvalid;
  }
  frame = std::move(decoded);
  return FrameStatus::kValid;
}

}  // namespace borageloft::storage
