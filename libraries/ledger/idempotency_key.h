#ifndef BORAGELOFT_LEDGER_IDEMPOTENCY_KEY_H_
#define BORAGELOFT_LEDGER_IDEMPOTENCY_KEY_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "libraries/base/base.h"

namespace borageloft::ledger {

/** How long after the time in a key a request with it is admitted. */
inline constexpr std::chrono::hours kKeyWindow{24};
/** Largest difference allowed between a caller's clock and the ledger's. */
inline constexpr std::chrono::seconds kClockSkew{60};

/** Place of a key's time relative to the window. */
enum class KeyAge {
  kWithinWindow,
  kExpired,  ///< Older than the window: the ledger may have forgotten it.
  kTooNew,   ///< Further in the future than the clock skew allows.
};

/** A UUIDv7 (RFC 9562) that names one non-idempotent request. Ordered by its time. */
class IdempotencyKey {
 public:
  IdempotencyKey() = default;

  /**
   * @param text 36 characters, hexadecimal digits of either case.
   * @throws LedgerError if the text is no UUID of version 7 and variant 10.
   */
  static IdempotencyKey Parse(std::string_view text);

  /**
   * Makes a key.
   * @param time Time to carry, with a resolution of one millisecond.
   * @param random Source of its 74 random bits.
   */
  static IdempotencyKey Generate(base::WallTime time, const base::Random& random);

  /** @return The key of 16 bytes in network order. @throws LedgerError if they are no UUIDv7. */
  static IdempotencyKey FromBytes(std::string_view bytes);

  /** @return The 16 bytes in network order. */
  std::string ToBytes() const;
  /** @return The 36 characters, in lower case. */
  std::string ToString() const;
  /** @return Time in the key since the Unix epoch. */
  std::chrono::milliseconds timestamp() const { return std::chrono::milliseconds(high_ >> 16U); }
  /** @return Place of the key's time relative to the window that ends at @p now. */
  KeyAge AgeAt(base::WallTime now) const;
  /** @return A hash; its bits are well distributed even among keys of one millisecond. */
  std::uint64_t Hash() const;

  bool operator==(const IdempotencyKey&) const = default;
  bool operator<(const IdempotencyKey& other) const {
    return high_ != other.high_ ? high_ < other.high_ : low_ < other.low_;
  }

 private:
  IdempotencyKey(std::uint64_t high, std::uint64_t low) : high_(high), low_(low) {}
  bool IsVersion7() const;

  std::uint64_t high_ = 0;
  std::uint64_t low_ = 0;
};

/** Hash for unordered containers. */
struct IdempotencyKeyHash {
  std::size_t operator()(const IdempotencyKey& key) const {
    return static_cast<std::size_t>(key.Hash());
  }
};

}  // namespace borageloft::ledger

#endif  // BORAGELOFT_LEDGER_IDEMPOTENCY_KEY_H_
