#ifndef BORAGELOFT_MEMBERSHIP_VIEW_FOLLOWER_H_
#define BORAGELOFT_MEMBERSHIP_VIEW_FOLLOWER_H_

#include <cstdint>
#include <set>
#include <string>

#include "libraries/membership/messages.h"

namespace borageloft::membership {

/**
 * Receiving side of a versioned view: decides for each chunk whether its entries are to be
 * applied, notices gaps, and collects the nodes of a full transfer, so that the owner can drop
 * those that the transfer did not name. Not thread-safe.
 */
class ViewFollower {
 public:
  /** What the owner has to do with a chunk. */
  enum class Outcome : std::uint8_t {
    kIgnore,         ///< Already known or part of another transfer.
    kGap,            ///< Something before it is missing: ask for what is newer than version().
    kApply,          ///< Apply the entries.
    kApplyAndSweep,  ///< Apply the entries and drop the nodes that are not in named().
  };

  /** Checks a chunk and moves the version forward. */
  Outcome Accept(const ViewChunk& chunk);

  std::uint64_t life() const { return life_; }
  std::uint64_t version() const { return version_; }
  /** @return The nodes named by the last full transfer. */
  const std::set<std::string>& named() const { return named_; }

 private:
  Outcome AcceptFull(const ViewChunk& chunk);

  std::uint64_t life_ = 0;
  std::uint64_t version_ = 0;
  std::uint64_t full_position_ = 0;
  bool is_in_full_ = false;
  std::set<std::string> named_;
};

}  // namespace borageloft::membership

#endif  // BORAGELOFT_MEMBERSHIP_VIEW_FOLLOWER_H_
