#include "libraries/admission/level_controller.h"

#include <algorithm>

#include "libraries/admission/admission_error.h"

namespace borageloft::admission {

namespace {

// Below this share of its keys a class is not learned from: too few requests pass to tell how many
// there would be.
constexpr std::uint32_t kSmallestLearnedShare = ShedKey::kPositions / 64;

// The level never closes further than this, so that a gate always sees enough requests to notice
// that it has recovered.
constexpr std::uint32_t kSmallestShare = ShedKey::kPositions / 256;

constexpr double kLearnRate = 0.3;

// Part of the backlog that one interval is meant to work off. The full backlog would undershoot,
// since part of it is the queue that keeps the slots busy.
constexpr double kBacklogGain = 0.5;

// The level changes at most by these factors in one interval. Nine steps at the upper bound open it
// tenfold, which leaves half of the second that recovery may take.
constexpr double kSmallestFactor = 0.5;
constexpr double kLargestFactor = 1.3;

// A class that has not been seen is taken to ask for at least this share of the work admitted.
constexpr double kUnknownDemandShare = 0.05;

}  // namespace

LevelController::LevelController(base::Duration target_delay, base::Duration interval)
    : target_delay_(target_delay), interval_(interval) {
  Configure(target_delay, interval);
}

void LevelController::Configure(base::Duration target_delay, base::Duration interval) {
  if (target_delay <= base::Duration::zero() || interval <= base::Duration::zero()) {
    throw AdmissionError("target delay and control interval must be positive");
  }
  target_delay_ = target_delay;
  interval_ = interval;
}

void LevelController::RecordArrival(ClassRank rank, ShedKey key) {
  Demand& demand = demands_[rank];
  ++demand.offered;
  if (level_.Admits(rank, key)) {
    ++demand.admitted;
  }
}

void LevelController::RecordWait(base::Duration wait) {
  ++waits_;
  wait_sum_ += wait;
  wait_min_ = std::min(wait_min_, wait);
}

void LevelController::Update(base::Duration oldest_wait, std::size_t waiting, base::TimePoint now) {
  if (!has_started_) {
    has_started_ = true;
    StartInterval(now);
    return;
  }
  if (now - interval_start_ < interval_) {
    return;
  }
  delay_ = waits_ > 0 ? wait_sum_ / static_cast<base::Duration::rep>(waits_) : oldest_wait;
  is_standing_ = waits_ > 0 ? wait_min_ > target_delay_ : oldest_wait > target_delay_;
  double admitted = 0;
  for (const auto& [rank, demand] : demands_) {
    admitted += static_cast<double>(demand.admitted);
  }
  Learn();
  const double ratio =
      static_cast<double>(delay_.count()) / static_cast<double>(target_delay_.count());
  if (ratio > 1 || !level_.is_open()) {
    level_ = LevelAt(Position() * Allowed(ratio, admitted, waiting));
  }
  StartInterval(now);
}

void LevelController::Learn() {
  for (auto& [rank, demand] : demands_) {
    double measured = 0;
    if (rank < level_.rank()) {
      measured = static_cast<double>(demand.offered);
    } else if (rank == level_.rank() && level_.share() >= kSmallestLearnedShare) {
      measured = static_cast<double>(demand.admitted) * ShedKey::kPositions / level_.share();
    } else {
      // Callers hold most of this class back, so what arrives is a lower bound.
      demand.full = std::max(demand.full, static_cast<double>(demand.offered));
      continue;
    }
    demand.full += (measured - demand.full) * (demand.full == 0 ? 1.0 : kLearnRate);
  }
}

double LevelController::Position() const {
  double position = 0;
  for (const auto& [rank, demand] : demands_) {
    if (rank < level_.rank()) {
      position += demand.full;
    } else if (rank == level_.rank()) {
      position += demand.full * level_.share() / ShedKey::kPositions;
    }
  }
  return position;
}

double LevelController::Allowed(double delay_ratio, double admitted, std::size_t waiting) const {
  const double finished = static_cast<double>(finished_);
  if (delay_ratio > 1) {
    // The queue that the target delay stands for is wanted; only the rest is backlog.
    const double excess = static_cast<double>(waiting) * (1 - 1 / delay_ratio);
    const double wanted = finished - kBacklogGain * excess;
    return std::clamp(admitted > 0 ? wanted / admitted : 1.0, kSmallestFactor, 1.0);
  }
  return 1 + (kLargestFactor - 1) * (1 - delay_ratio);
}

AdmissionLevel LevelController::LevelAt(double position) const {
  double total = 0;
  for (const auto& [rank, demand] : demands_) {
    total += demand.full;
  }
  double below = 0;
  for (const auto& [rank, demand] : demands_) {
    const double full = std::max({demand.full, total * kUnknownDemandShare, 1.0});
    if (position < below + full) {
      const double share = (position - below) / full * ShedKey::kPositions;
      const bool is_first = rank == demands_.begin()->first;
      return {rank, std::max(static_cast<std::uint32_t>(share), is_first ? kSmallestShare : 1)};
    }
    below += full;
  }
  return {};
}

void LevelController::StartInterval(base::TimePoint now) {
  interval_start_ = now;
  finished_ = 0;
  waits_ = 0;
  wait_sum_ = base::Duration::zero();
  wait_min_ = base::Duration::max();
  for (auto& [rank, demand] : demands_) {
    demand.offered = 0;
    demand.admitted = 0;
  }
}

}  // namespace borageloft::admission
