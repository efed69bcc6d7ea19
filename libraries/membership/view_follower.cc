#include "libraries/membership/view_follower.h"

namespace borageloft::membership {

ViewFollower::Outcome ViewFollower::Accept(const ViewChunk& chunk) {
  if (chunk.life < life_) {
    return Outcome::kIgnore;
  }
  if (chunk.life > life_) {
    if (!chunk.is_full || chunk.from != 0) {
      return Outcome::kGap;
    }
    life_ = chunk.life;
    version_ = 0;
    is_in_full_ = false;
  }
  if (chunk.is_full) {
    return AcceptFull(chunk);
  }
  if (chunk.to <= version_) {
    return Outcome::kIgnore;
  }
  if (chunk.from > version_) {
    return Outcome::kGap;
  }
  version_ = chunk.to;
  return Outcome::kApply;
}

ViewFollower::Outcome ViewFollower::AcceptFull(const ViewChunk& chunk) {
  if (chunk.target <= version_) {
    return Outcome::kIgnore;
  }
  if (chunk.from == 0) {
    is_in_full_ = true;
    named_.clear();
  } else if (!is_in_full_ || chunk.from > full_position_) {
    is_in_full_ = false;
    return Outcome::kGap;
  } else if (chunk.to <= full_position_) {
    return Outcome::kIgnore;
  }
  full_position_ = chunk.to;
  for (const RecordEntry& entry : chunk.entries) {
    named_.insert(entry.record.node);
  }
  if (chunk.to < chunk.target) {
    return Outcome::kApply;
  }
  is_in_full_ = false;
  version_ = chunk.target;
  return Outcome::kApplyAndSweep;
}

}  // namespace borageloft::membership
