#ifndef BORAGELOFT_STORAGE_BYTE_CODEC_H_
#define BORAGELOFT_STORAGE_BYTE_CODEC_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace borageloft::storage {

/** Appends @p value in little-endian order. */
template <typename Integer>
void AppendInteger(std::string& bytes, Integer value) {
  for (std::size_t i = 0; i < sizeof(Integer); ++i) {
    bytes.push_back(static_cast<char>((value >> (8 * i)) & 0xFFU));
  }
}

/** @return The little-endian integer at @p offset; the caller has checked the length. */
template <typename Integer>
Integer LoadInteger(std::string_view bytes, std::size_t offset) {
  Integer value = 0;
  for (std::size_t i = 0; i < sizeof(Integer); ++i) {
    value |= static_cast<Integer>(static_cast<unsigned char>(bytes[offset + i])) << (8 * i);
  }
  return value;
}

}  // namespace borageloft::storage

#endif  // BORAGELOFT_STORAGE_BYTE_CODEC_H_
