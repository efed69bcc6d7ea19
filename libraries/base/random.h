#ifndef BORAGELOFT_BASE_RANDOM_H_
#define BORAGELOFT_BASE_RANDOM_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <random>

namespace borageloft::base {

/** Draws 64 uniformly distributed bits. Decision code draws random numbers only through this. */
using Random = std::function<std::uint64_t()>;

/**
 * @param seed Seed of the sequence; the same seed gives the same sequence on every machine.
 * @return A deterministic random number hook. Not thread-safe.
 */
inline Random SeededRandom(std::uint64_t seed) {
  auto engine = std::make_shared<std::mt19937_64>(seed);
  return [engine] { return (*engine)(); };
}

/** @return A number drawn uniformly from [0, bound); 0 if @p bound is 0. */
inline std::uint64_t DrawBelow(const Random& random, std::uint64_t bound) {
  return bound == 0 ? 0 : random() % bound;
}

/** @return A number drawn uniformly from [0, 1). */
inline double DrawFraction(const Random& random) {
  return static_cast<double>(random() >> 11U) * 0x1.0p-53;
}

}  // namespace borageloft::base

#endif  // BORAGELOFT_BASE_RANDOM_H_
