#ifndef BORAGELOFT_ADMISSION_SHED_KEY_H_
#define BORAGELOFT_ADMISSION_SHED_KEY_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "libraries/base/base.h"

namespace borageloft::admission {

/**
 * Position of a root request in the order of shedding within its class. It depends only on the root
 * id, so services at the same level decide alike, and a root admitted at the entry is finished.
 */
class ShedKey {
 public:
  /** Number of positions; a share of keys is a count out of this number. */
  static constexpr std::uint32_t kPositions = 1U << 16U;

  constexpr ShedKey() = default;

  /** @param root_hash Uniformly distributed hash of the root id. */
  constexpr explicit ShedKey(std::uint64_t root_hash)
      : position_(static_cast<std::uint32_t>(root_hash >> 48U)) {}

  /** @param root_id Root id of the request context. @return The key of that root. */
  static ShedKey FromRoot(std::string_view root_id) { return ShedKey(base::Hash(root_id)); }

  /** @return Position in [0, kPositions); lower positions are shed last. */
  constexpr std::uint32_t position() const { return position_; }

  friend constexpr auto operator<=>(const ShedKey&, const ShedKey&) = default;

 private:
  std::uint32_t position_ = 0;
};

}  // namespace borageloft::admission

#endif  // BORAGELOFT_ADMISSION_SHED_KEY_H_
