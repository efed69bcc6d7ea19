#ifndef BORAGELOFT_STORAGE_METADATA_STORE_H_
#define BORAGELOFT_STORAGE_METADATA_STORE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "libraries/storage/file_system.h"
#include "libraries/storage/storage_health.h"

namespace borageloft::storage {

/** Version of the metadata format. */
inline constexpr std::uint32_t kMetadataFormatVersion = 1;
/** Longest name of a host in a vote, in bytes. */
inline constexpr std::size_t kMaximumVoteBytes = 255;

/** State of a control host that must survive restarts. */
struct Metadata {
  std::uint64_t term = 0;
  std::string vote;  ///< Host that this host voted for in the term; empty if none.
  std::uint64_t incarnation = 0;
  bool operator==(const Metadata&) const = default;
};

/** @return The bytes of a metadata file. */
std::string EncodeMetadata(const Metadata& metadata);

/** @return The metadata, or std::nullopt if the bytes are damaged or of another version. */
std::optional<Metadata> DecodeMetadata(std::string_view bytes);

/**
 * Stores one Metadata record, which is replaced atomically by rename. A crash therefore cannot
 * damage it: a damaged record is a disk fault and is refused, since falling back to an older record
 * could lead to a second vote in one term.
 * Not thread-safe.
 */
class MetadataStore {
 public:
  /**
   * Reads the record, or starts with an empty one if there is none.
   * @param file_system File operations; they must outlive the store.
   * @param folder Existing folder.
   * @param health State shared with the other parts of the store; must outlive this object.
   * @throws CorruptionError if the record is damaged.
   */
  MetadataStore(const FileSystem& file_system, std::string folder, StorageHealth& health);

  /** @return The durable record. */
  const Metadata& metadata() const { return metadata_; }

  /**
   * Durably replaces the record. Neither the term nor the incarnation may decrease, and a vote may
   * not change within a term.
   */
  void Save(const Metadata& metadata);

  /** Durably increments the incarnation. @return The new incarnation. */
  std::uint64_t RaiseIncarnation();

 private:
  const FileSystem& file_system_;
  std::string folder_;
  StorageHealth& health_;
  Metadata metadata_;
};

/** Name of the metadata file in its folder. */
inline constexpr const char* kMetadataFileName = "metadata";

}  // namespace borageloft::storage

#endif  // BORAGELOFT_STORAGE_METADATA_STORE_H_
