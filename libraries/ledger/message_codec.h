#ifndef BORAGELOFT_LEDGER_MESSAGE_CODEC_H_
#define BORAGELOFT_LEDGER_MESSAGE_CODEC_H_

// Included by the library's sources only, so that users of the library do not need msgpack.

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "libraries/base/base.h"
#include "libraries/ledger/idempotency_key.h"
#include "libraries/ledger/ledger_error.h"

namespace borageloft::ledger {

using Packer = msgpack::packer<msgpack::sbuffer>;

/** Reads one msgpack array field by field; every mismatch throws LedgerError. */
class ArrayReader {
 public:
  ArrayReader(const msgpack::object& object, std::size_t size) {
    if (object.type != msgpack::type::ARRAY || object.via.array.size != size) {
      throw LedgerError("ledger message: expected an array of " + std::to_string(size));
    }
    array_ = object.via.array;
  }

  const msgpack::object& Next() { return array_.ptr[next_++]; }

  std::uint64_t NextUnsigned() {
    const msgpack::object& object = Next();
    if (object.type != msgpack::type::POSITIVE_INTEGER) {
      throw LedgerError("ledger message: expected a number");
    }
    return object.via.u64;
  }

  /** Reads an enumerator from 0 to @p last. */
  template <typename Enum>
  Enum NextEnum(Enum last) {
    const std::uint64_t value = NextUnsigned();
    if (value > static_cast<std::uint64_t>(last)) {
      throw LedgerError("ledger message: unknown value " + std::to_string(value));
    }
    return static_cast<Enum>(value);
  }

  base::WallTime NextTime() {
    const std::uint64_t milliseconds = NextUnsigned();
    // A larger value overflows the nanoseconds of WallTime.
    if (milliseconds > static_cast<std::uint64_t>(INT64_MAX) / 1'000'000) {
      throw LedgerError("ledger message: time out of range");
    }
    return base::WallTime(std::chrono::milliseconds(milliseconds));
  }

  std::string_view NextBytes(std::size_t maximum) {
    const msgpack::object& object = Next();
    if (object.type != msgpack::type::BIN || object.via.bin.size > maximum) {
      throw LedgerError("ledger message: expected at most " + std::to_string(maximum) + " bytes");
    }
    return {object.via.bin.ptr, object.via.bin.size};
  }

  std::optional<std::string> NextOptionalBytes(std::size_t maximum) {
    if (array_.ptr[next_].type == msgpack::type::NIL) {
      ++next_;
      return std::nullopt;
    }
    return std::string(NextBytes(maximum));
  }

  IdempotencyKey NextKey() { return IdempotencyKey::FromBytes(NextBytes(16)); }

 private:
  msgpack::object_array array_{};
  std::size_t next_ = 0;
};

inline void PackTime(Packer& packer, base::WallTime time) {
  packer.pack_uint64(static_cast<std::uint64_t>(
      std::chrono::floor<std::chrono::milliseconds>(time.time_since_epoch()).count()));
}

inline void PackBytes(Packer& packer, std::string_view bytes) {
  packer.pack_bin(static_cast<std::uint32_t>(bytes.size()));
  packer.pack_bin_body(bytes.data(), static_cast<std::uint32_t>(bytes.size()));
}

inline void PackOptionalBytes(Packer& packer, const std::optional<std::string>& bytes) {
  if (bytes) {
    PackBytes(packer, *bytes);
  } else {
    packer.pack_nil();
  }
}

/**
 * Reads the object at @p offset and moves the offset behind it.
 * @param maximum_elements Largest array.
 * @param maximum_bytes Longest byte string.
 */
inline msgpack::object_handle UnpackBounded(std::string_view bytes, std::size_t& offset,
                                            std::size_t maximum_elements,
                                            std::size_t maximum_bytes) {
  // Maps, strings and extension types do not occur in ledger messages.
  const msgpack::unpack_limit limit(maximum_elements, 0, 0, maximum_bytes, 0, 4);
  try {
    return msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
  } catch (const msgpack::unpack_error& error) {
    throw LedgerError(std::string("ledger message: ") + error.what());
  }
}

}  // namespace borageloft::ledger

#endif  // BORAGELOFT_LEDGER_MESSAGE_CODEC_H_
