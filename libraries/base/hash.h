#ifndef BORAGELOFT_BASE_HASH_H_
#define BORAGELOFT_BASE_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace borageloft::base {

/**
 * @param data Bytes to hash.
 * @param seed Different seeds give independent hashes of the same bytes.
 * @return XXH3 64-bit hash, equal on every machine.
 */
std::uint64_t Hash(std::string_view data, std::uint64_t seed = 0);

/** @return XXH3 128-bit digest of @p data in 32 lower-case hexadecimal digits. */
std::string Digest(std::string_view data);

}  // namespace borageloft::base

#endif  // BORAGELOFT_BASE_HASH_H_
