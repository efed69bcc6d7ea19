#include "libraries/ledger/idempotency_key.h"

#include <fmt/format.h>

#include <array>
#include <cstring>

#include "libraries/ledger/ledger_error.h"

namespace borageloft::ledger {

namespace {

constexpr std::size_t kTextLength = 36;
constexpr std::size_t kByteLength = 16;

bool IsHyphenPlace(std::size_t place) {
  return place == 8 || place == 13 || place == 18 || place == 23;
}

// Value of a hexadecimal digit, or 16.
unsigned DigitValue(char c) {
  if (c >= '0' && c <= '9') {
    return static_cast<unsigned>(c - '0');
  }
  if (c >= 'a' && c <= 'f') {
    return static_cast<unsigned>(c - 'a') + 10;
  }
  if (c >= 'A' && c <= 'F') {
    return static_cast<unsigned>(c - 'A') + 10;
  }
  return 16;
}

}  // namespace

IdempotencyKey IdempotencyKey::Parse(std::string_view text) {
  if (text.size() != kTextLength) {
    throw LedgerError("idempotency key: expected a UUID of 36 characters");
  }
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  for (std::size_t i = 0; i < kTextLength; ++i) {
    if (IsHyphenPlace(i)) {
      if (text[i] != '-') {
        throw LedgerError("idempotency key: expected '-' between the groups of digits");
      }
      continue;
    }
    const unsigned digit = DigitValue(text[i]);
    if (digit == 16) {
      throw LedgerError("idempotency key: expected hexadecimal digits");
    }
    std::uint64_t& half = i < 18 ? high : low;
    half = (half << 4U) | digit;
  }
  const IdempotencyKey key(high, low);
  if (!key.IsVersion7()) {
    throw LedgerError("idempotency key: expected a UUID of version 7 (RFC 9562)");
  }
  return key;
}

IdempotencyKey IdempotencyKey::Generate(base::WallTime time, const base::Random& random) {
  const auto milliseconds = static_cast<std::uint64_t>(
      std::chrono::floor<std::chrono::milliseconds>(time.time_since_epoch()).count());
  return {(milliseconds << 16U) | 0x7000U | (random() & 0x0FFFU),
          (std::uint64_t{2} << 62U) | (random() >> 2U)};
}

IdempotencyKey IdempotencyKey::FromBytes(std::string_view bytes) {
  if (bytes.size() != kByteLength) {
    throw LedgerError("idempotency key: expected 16 bytes");
  }
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  for (std::size_t i = 0; i < kByteLength; ++i) {
    std::uint64_t& half = i < 8 ? high : low;
    half = (half << 8U) | static_cast<unsigned char>(bytes[i]);
  }
  const IdempotencyKey key(high, low);
  if (!key.IsVersion7()) {
    throw LedgerError("idempotency key: expected a UUID of version 7 (RFC 9562)");
  }
  return key;
}

std::string IdempotencyKey::ToBytes() const {
  std::string bytes(kByteLength, '\0');
  for (std::size_t i = 0; i < 8; ++i) {
    bytes[i] = static_cast<char>((high_ >> (56 - 8 * i)) & 0xFFU);
    bytes[8 + i] = static_cast<char>((low_ >> (56 - 8 * i)) & 0xFFU);
  }
  return bytes;
}

std::string IdempotencyKey::ToString() const {
  return fmt::format("{:08x}-{:04x}-{:04x}-{:04x}-{:012x}", high_ >> 32U, (high_ >> 16U) & 0xFFFFU,
                     high_ & 0xFFFFU, low_ >> 48U, low_ & 0xFFFFFFFFFFFFU);
}

KeyAge IdempotencyKey::AgeAt(base::WallTime now) const {
  // Compared in milliseconds: the 48 bits of a hostile key overflow the nanoseconds of WallTime.
  const auto at = std::chrono::floor<std::chrono::milliseconds>(now.time_since_epoch());
  if (timestamp() > at + kClockSkew) {
    return KeyAge::kTooNew;
  }
  return timestamp() + kKeyWindow < at ? KeyAge::kExpired : KeyAge::kWithinWindow;
}

std::uint64_t IdempotencyKey::Hash() const {
  std::array<char, kByteLength> bytes{};
  std::memcpy(bytes.data(), &high_, 8);
  std::memcpy(bytes.data() + 8, &low_, 8);
  return base::Hash({bytes.data(), bytes.size()});
}

bool IdempotencyKey::IsVersion7() const {
  return ((high_ >> 12U) & 0xFU) == 7 && (low_ >> 62U) == 2;
}

}  // namespace borageloft::ledger
