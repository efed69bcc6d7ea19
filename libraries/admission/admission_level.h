#ifndef BORAGELOFT_ADMISSION_ADMISSION_LEVEL_H_
#define BORAGELOFT_ADMISSION_ADMISSION_LEVEL_H_

#include <compare>
#include <cstdint>
#include <limits>

#include "libraries/admission/shed_key.h"

namespace borageloft::admission {

/** Importance of a class; 1 is the most important. */
using ClassRank = std::uint32_t;

/**
 * Which requests a gate admits: every class more important than a rank, and of that rank the keys
 * below a share. Levels compare lexicographically by rank, then share; a smaller level admits less.
 */
class AdmissionLevel {
 public:
  /** Constructs the open level, which admits everything. */
  constexpr AdmissionLevel() = default;

  /**
   * @param rank The class that is admitted in part.
   * @param share How many of the ShedKey::kPositions keys of that class are admitted; larger values
   *     are clamped to all of them.
   */
  constexpr AdmissionLevel(ClassRank rank, std::uint32_t share)
      : rank_(rank), share_(share < ShedKey::kPositions ? share : ShedKey::kPositions) {}

  /** @return Whether a request of class @p rank with @p key is admitted. */
  constexpr bool Admits(ClassRank rank, ShedKey key) const {
    return rank < rank_ || (rank == rank_ && key.position() < share_);
  }

  /** @return Admitted keys of class @p rank, out of ShedKey::kPositions. */
  constexpr std::uint32_t ShareOf(ClassRank rank) const {
    return rank < rank_ ? ShedKey::kPositions : rank == rank_ ? share_ : 0;
  }

  /** @return Whether everything is admitted. */
  constexpr bool is_open() const {
    return rank_ == std::numeric_limits<ClassRank>::max() && share_ == ShedKey::kPositions;
  }

  /** @return The class that is admitted in part. */
  constexpr ClassRank rank() const { return rank_; }

  /** @return Admitted keys of class rank(), out of ShedKey::kPositions. */
  constexpr std::uint32_t share() const { return share_; }

  friend constexpr bool operator==(const AdmissionLevel&, const AdmissionLevel&) = default;
  friend constexpr std::strong_ordering operator<=>(const AdmissionLevel& left,
                                                    const AdmissionLevel& right) {
    return left.order() <=> right.order();
  }

 private:
  constexpr std::uint64_t order() const {
    return (static_cast<std::uint64_t>(rank_) << 32U) | share_;
  }

  ClassRank rank_ = std::numeric_limits<ClassRank>::max();
  std::uint32_t share_ = ShedKey::kPositions;
};

}  // namespace borageloft::admission

#endif  // BORAGELOFT_ADMISSION_ADMISSION_LEVEL_H_
