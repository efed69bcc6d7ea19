#ifndef BORAGELOFT_MEMBERSHIP_INCARNATION_H_
#define BORAGELOFT_MEMBERSHIP_INCARNATION_H_

#include <cstdint>
#include <functional>
#include <optional>

#include "libraries/base/base.h"

namespace borageloft::membership {

/** Reads and writes the last incarnation on disk. */
struct IncarnationStore {
  /** @return The stored number; nothing when none was ever stored. Throws when unreadable. */
  std::function<std::optional<std::uint64_t>()> load;
  /** Stores the number and returns only after it is synced. Throws when it cannot. */
  std::function<void(std::uint64_t)> save;
};

/**
 * Source of strictly rising incarnation numbers of one host, across restarts of the process.
 *
 * With a disk, the number is max(stored + 1, wall clock in ms) and is stored before it is used.
 * Without a disk it is the wall clock in ms, or the previous number + 1 when the clock stands or
 * was set back within this process. A clock set back between two processes yields a number that
 * the registry refuses with the one it knows; RaiseAbove() then moves this source past it.
 */
class Incarnation {
 public:
  /** @param clock Wall clock. @param store Hooks of the disk, or nothing on hosts without one. */
  explicit Incarnation(base::WallClock clock, std::optional<IncarnationStore> store = std::nullopt);

  /**
   * @return A number above all earlier ones.
   * @throws Error when the store fails; the number is then not used.
   */
  std::uint64_t Next();

  /**
   * Makes the next numbers exceed @p known. Numbers more than kMaximumLead ahead of the wall
   * clock are ignored, so that one damaged answer cannot use up the range of numbers.
   * @return Whether @p known was taken.
   */
  bool RaiseAbove(std::uint64_t known);

  /** @return The number that Next() returned last; 0 before the first. */
  std::uint64_t current() const { return current_; }

  /** Largest accepted distance between a number that others report and the wall clock. */
  static constexpr std::chrono::hours kMaximumLead{24 * 365};

 private:
  std::uint64_t ReadWallMilliseconds() const;

  base::WallClock clock_;
  std::optional<IncarnationStore> store_;
  std::uint64_t floor_ = 0;
  std::uint64_t current_ = 0;
  bool is_loaded_ = false;
};

}  // namespace borageloft::membership

#endif  // BORAGELOFT_MEMBERSHIP_INCARNATION_H_
