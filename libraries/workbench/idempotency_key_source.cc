#include "libraries/workbench/idempotency_key_source.h"

#include <fmt/format.h>

namespace borageloft::workbench {

std::string IdempotencyKeySource::Next() {
  constexpr std::uint64_t kTimeMask = 0xffff'ffff'ffffULL;
  constexpr std::uint64_t kVersion = 0x7000;
  constexpr std::uint64_t kVariant = 0x8000;
  const auto now =
      std::chrono::duration_cast<std::chrono::milliseconds>(clock_().time_since_epoch());
  const std::uint64_t time = static_cast<std::uint64_t>(now.count()) & kTimeMask;
  const std::uint64_t high = random_();
  const std::uint64_t low = random_();
  return fmt::format("{:08x}-{:04x}-{:04x}-{:04x}-{:012x}", time >> 16U, time & 0xffffU,
                     kVersion | (high & 0x0fffU), kVariant | ((high >> 12U) & 0x3fffU),
                     low & kTimeMask);
}

}  // namespace borageloft::workbench
