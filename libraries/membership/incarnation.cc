#include "libraries/membership/incarnation.h"

#include <algorithm>
#include <exception>
#include <string>

#include "libraries/membership/error.h"

namespace borageloft::membership {

Incarnation::Incarnation(base::WallClock clock, std::optional<IncarnationStore> store)
    : clock_(std::move(clock)), store_(std::move(store)) {}

std::uint64_t Incarnation::Next() {
  try {
    if (store_.has_value() && !is_loaded_) {
      floor_ = std::max(floor_, store_->load().value_or(0));
      is_loaded_ = true;
    }
    const std::uint64_t next = std::max(floor_ + 1, ReadWallMilliseconds());
    if (store_.has_value()) {
      store_->save(next);
    }
    VERIFY(next > current_);
    floor_ = next;
    current_ = next;
    return next;
  } catch (const std::exception& error) {
    throw Error(std::string("incarnation store: ") + error.what());
  }
}

bool Incarnation::RaiseAbove(std::uint64_t known) {
  const auto lead = std::chrono::duration_cast<std::chrono::milliseconds>(kMaximumLead).count();
  if (known > ReadWallMilliseconds() + static_cast<std::uint64_t>(lead)) {
    return false;
  }
  floor_ = std::max(floor_, known);
  return true;
}

std::uint64_t Incarnation::ReadWallMilliseconds() const {
  const auto now =
      std::chrono::duration_cast<std::chrono::milliseconds>(clock_().time_since_epoch()).count();
  return now < 0 ? 0 : static_cast<std::uint64_t>(now);
}

}  // namespace borageloft::membership
