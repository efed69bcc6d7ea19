#include "libraries/base/ranked_mutex.h"

#include <cstdint>

#include "libraries/base/verify.h"

namespace borageloft::base {

namespace {

// One bit for each rank held by this thread. Ranks are below 128, in steps of five.
thread_local std::uint32_t held_ranks = 0;

std::uint32_t BitOf(LockRank rank) { return 1U << (static_cast<unsigned>(rank) / 5U); }

}  // namespace

void RankedMutex::lock() {
  VERIFY(held_ranks < BitOf(rank_));
  mutex_.lock();
  held_ranks |= BitOf(rank_);
}

void RankedMutex::unlock() {
  held_ranks &= ~BitOf(rank_);
  mutex_.unlock();
}

}  // namespace borageloft::base
