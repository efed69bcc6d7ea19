#include "libraries/base/hash.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace borageloft::base {

std::uint64_t Hash(std::string_view data, std::uint64_t seed) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::string Digest(std::string_view data) {
  const XXH128_hash_t digest = XXH3_128bits(data.data(), data.size());
  return fmt::format("{:016x}{:016x}", digest.high64, digest.low64);
}

}  // namespace borageloft::base
