#include "libraries/storage/metadata_store.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "libraries/storage/atomic_file.h"
#include "libraries/storage/byte_codec.h"
#include "libraries/storage/file.h"

namespace borageloft::storage {

namespace {

constexpr std::uint64_t kMetadataMagic = 0x4154454D464F4C42;  // "BLOFMETA" in file order.
constexpr std::size_t kFixedBytes = 40;                       // Size of all fields except the vote.

}  // namespace

std::string EncodeMetadata(const Metadata& metadata) {
  std::string bytes;
  AppendInteger(bytes, kMetadataMagic);
  AppendInteger(bytes, kMetadataFormatVersion);
  AppendInteger(bytes, static_cast<std::uint32_t>(metadata.vote.size()));
  AppendInteger(bytes, metadata.term);
  AppendInteger(bytes, metadata.incarnation);
  bytes.append(metadata.vote);
  AppendInteger(bytes, base::Hash(bytes));
  return bytes;
}

std::optional<Metadata> DecodeMetadata(std::string_view bytes) {
  if (bytes.size() < kFixedBytes || LoadInteger<std::uint64_t>(bytes, 0) != kMetadataMagic ||
      LoadInteger<std::uint32_t>(bytes, 8) != kMetadataFormatVersion) {
    return std::nullopt;
  }
  const auto vote_bytes = LoadInteger<std::uint32_t>(bytes, 12);
  if (vote_bytes > kMaximumVoteBytes || bytes.size() != kFixedBytes + vote_bytes ||
      base::Hash(bytes.substr(0, bytes.size() - 8)) !=
          LoadInteger<std::uint64_t>(bytes, bytes.size() - 8)) {
    return std::nullopt;
  }
  return Metadata{.term = LoadInteger<std::uint64_t>(bytes, 16),
                  .vote = std::string(bytes.substr(32, vote_bytes)),
                  .incarnation = LoadInteger<std::uint64_t>(bytes, 24)};
}

MetadataStore::MetadataStore(const FileSystem& file_system, std::string folder,
                             StorageHealth& health)
    : file_system_(file_system), folder_(std::move(folder)), health_(health) {
  health_.Run([&] { RemoveTemporaryFiles(file_system_, folder_); });
  const std::vector<std::string> names = file_system_.list(folder_);
  if (std::find(names.begin(), names.end(), kMetadataFileName) == names.end()) {
    return;
  }
  const std::string path = folder_ + "/" + kMetadataFileName;
  const auto metadata = DecodeMetadata(File(file_system_, path, OpenMode::kRead).ReadAll());
  if (!metadata) {
    throw CorruptionError(path, 0, "metadata is damaged or of another format version");
  }
  metadata_ = *metadata;
}

void MetadataStore::Save(const Metadata& metadata) {
  VERIFY(metadata.term >= metadata_.term);
  VERIFY(metadata.incarnation >= metadata_.incarnation);
  VERIFY(metadata.term > metadata_.term || metadata_.vote.empty() ||
         metadata.vote == metadata_.vote);
  if (metadata.vote.size() > kMaximumVoteBytes) {
    throw StorageError(fmt::format("voted host name of {} bytes exceeds the limit of {} bytes",
                                   metadata.vote.size(), kMaximumVoteBytes));
  }
  health_.Run([&] {
    WriteFileAtomically(file_system_, folder_, kMetadataFileName, EncodeMetadata(metadata));
  });
  metadata_ = metadata;
}

std::uint64_t MetadataStore::RaiseIncarnation() {
  Metadata next = metadata_;
  ++next.incarnation;
  Save(next);
  return metadata_.incarnation;
}

}  // namespace borageloft::storage
