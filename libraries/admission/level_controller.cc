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

// Weight of one interval in the smoothed measures. A gate of 250 requests per second sees about 12
// in an interval, whose spread of 30% has to be averaged out.
constexpr double kSmoothing = 0.2;

// Weight of one interval in the capacity, which changes less often than demand.
constexpr double kCapacitySmoothing = 0.15;

// Share by which the remembered demand of a class falls in one interval, which halves it in 7 s.
constexpr double kForgetting = 0.005;

// Part of the wait of the oldest that counts, since the oldest of a queue that moves has waited
// about twice the mean.
constexpr double kStarvationShare = 0.6;

// Work admitted while the delay is above target, as a share of the work finished: less by this for
// each multiple of the target, down to a bound that empties a queue without idling the upstream.
constexpr double kDrainGain = 0.05;
constexpr double kLargestDrain = 0.2;

// One interval closes at most by this factor, since its measures may be outliers.
constexpr double kSmallestFactor = 0.5;

// Below this share of the capacity found last, the level opens to it at once.
constexpr double kSafeCapacityShare = 0.9;

// The same holds below this share of the throughput at the concurrency limit, while nothing waits.
// The limit is 1.25 to 2 times what the upstream works on at once, so this is 0.5 to 0.8 of the
// capacity. Unlike the capacity found last it is known as soon as latency has fallen.
constexpr double kIdleShare = 0.4;

// Above this share without delay, the capacity has grown.
constexpr double kGrownCapacityShare = 1.2;

// Between the two it opens by a small step in each calm interval. If the upstream stays mostly idle
// for some intervals, the capacity has grown, and each further interval opens by a larger step:
// tenfold takes 0.65 s, which fits into the second that recovery may take.
constexpr std::uint32_t kCarefulIntervals = 5;
constexpr std::uint32_t kLargestCalm = 10;
constexpr double kCarefulStep = 0.02;
constexpr double kStepAboveCapacity = 0.1;
constexpr double kOpeningStep = 0.1;

// Below this share of the concurrency limit in use, and with a delay below this share of the
// target, an upstream counts as idle. Near its capacity it uses more, since the limit is little
// above what it can work on at once.
constexpr double kIdleUtilization = 0.6;
constexpr double kIdleDelay = 0.1;

// The share of a class grows in one interval at most to twice itself and this, since the demand
// behind it is only an estimate.
constexpr std::uint32_t kLargestShareStep = ShedKey::kPositions / 16;

std::uint32_t ToShare(double share) {
  return static_cast<std::uint32_t>(
      std::clamp(share, 0.0, static_cast<double>(ShedKey::kPositions)));
}

}  // namespace

LevelController::LevelController(base::Duration target_delay, base::Duration interval)
    : target_delay_(target_delay), interval_(interval) {
  Configure(target_delay, interval);
  ceilings_.fill({0, 0});
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
  AdmissionLevel& ceiling = ceilings_[next_recent_];
  ceiling = std::max(ceiling, {rank, key.position() + 1});
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

void LevelController::Update(base::Duration oldest_wait, double throughput, base::TimePoint now) {
  if (!has_started_) {
    has_started_ = true;
    StartInterval(now);
    return;
  }
  if (now - interval_start_ < interval_) {
    return;
  }
  // Requests of a class that more important ones hold back never start, so their wait shows only in
  // the age of the oldest.
  delay_ = std::max(
      std::chrono::duration_cast<base::Duration>(oldest_wait * kStarvationShare),
      waits_ > 0 ? wait_sum_ / static_cast<base::Duration::rep>(waits_) : base::Duration::zero());
  is_standing_ = waits_ > 0 ? wait_min_ > target_delay_ : oldest_wait > target_delay_;
  Measure();
  const double ratio =
      static_cast<double>(delay_.count()) / static_cast<double>(target_delay_.count());
  if (ratio > 1) {
    calm_intervals_ = 0;
    Adopt(Closed(ClosingFactor(ratio)));
  } else {
    const double idle_capacity =
        ratio < kIdleDelay
            ? throughput * kIdleShare * std::chrono::duration<double>(interval_).count()
            : 0;
    const bool is_idle = TotalInflow() < idle_capacity || calm_intervals_ >= kCarefulIntervals;
    const AdmissionLevel opened = Opened(OpeningFactor(ratio, idle_capacity));
    Adopt(is_idle ? opened : std::max(level_, std::min(opened, Reachable())));
  }
  recent_[next_recent_] = level_;
  next_recent_ = (next_recent_ + 1) % kRecentIntervals;
  ceilings_[next_recent_] = {0, 0};
  StartInterval(now);
}

AdmissionLevel LevelController::recent_level() const {
  return std::max(level_, *std::ranges::max_element(recent_));
}

void LevelController::Measure() {
  const auto finished = static_cast<double>(finished_);
  if (delay_ > target_delay_) {
    // Only while requests wait is the outflow what the upstream can do.
    capacity_ += (finished - capacity_) * kCapacitySmoothing;
  }
  // What was finished lately shows that the capacity is at least that, also after a slow phase.
  outflow_ += (finished - outflow_) * kSmoothing;
  capacity_ = std::max(capacity_, outflow_);
  for (auto& [rank, demand] : demands_) {
    const auto admitted = static_cast<double>(demand.admitted);
    demand.inflow += (admitted - demand.inflow) * kSmoothing;
    double full = demand.inflow;
    if (rank == level_.rank() && level_.share() >= kSmallestLearnedShare) {
      full = demand.inflow * ShedKey::kPositions / level_.share();
    }
    demand.full = std::max(full, demand.full * (1 - kForgetting));
  }
}

double LevelController::TotalInflow() const {
  double total = 0;
  for (const auto& [rank, demand] : demands_) {
    total += demand.inflow;
  }
  return total;
}

double LevelController::ClosingFactor(double delay_ratio) const {
  // The target is absolute: a queue takes several intervals to empty, and closing further in each
  // of them would leave the upstream idle afterwards.
  const double drain = std::min(kDrainGain * (delay_ratio - 1), kLargestDrain);
  const double inflow = TotalInflow();
  return inflow > 0 ? std::clamp(capacity_ * (1 - drain) / inflow, kSmallestFactor, 1.0) : 1.0;
}

double LevelController::OpeningFactor(double delay_ratio, double idle_capacity) {
  const double utilization =
      finished_ > 0 ? std::min(utilization_sum_ / static_cast<double>(finished_), 1.0) : 0;
  const bool is_idle = utilization < kIdleUtilization && delay_ratio < kIdleDelay;
  calm_intervals_ = is_idle ? std::min(calm_intervals_ + 1, kLargestCalm) : 0;
  if (calm_intervals_ > kCarefulIntervals) {
    return 1 + kOpeningStep * (calm_intervals_ - kCarefulIntervals);
  }
  const double inflow = TotalInflow();
  const double safe = std::max(capacity_ * kSafeCapacityShare, idle_capacity);
  if (inflow > 0 && inflow < safe) {
    return safe / inflow;
  }
  const bool has_grown = inflow > capacity_ * kGrownCapacityShare;
  const double step = has_grown ? kStepAboveCapacity * (1 - utilization) : kCarefulStep;
  return 1 + step * (1 - delay_ratio);
}

AdmissionLevel LevelController::Reachable() const {
  // Callers act on the median level of the service. When no request near this gate's own level
  // comes, they hold back at a lower one, and opening further would not bring more work, but would
  // let all of it in at once when the median follows.
  const AdmissionLevel ceiling = *std::ranges::max_element(ceilings_);
  const std::uint32_t share = ceiling.share() + ceiling.share() / 2 + kLargestShareStep;
  if (share <= ShedKey::kPositions) {
    return {ceiling.rank(), share};
  }
  const auto next = demands_.upper_bound(ceiling.rank());
  return next == demands_.end() ? AdmissionLevel()
                                : AdmissionLevel(next->first, share - ShedKey::kPositions);
}

void LevelController::Adopt(AdmissionLevel level) {
  // The measured inflow is smoothed over several intervals. Scaling it to the new level keeps the
  // next decisions from correcting once more what this one has corrected.
  for (auto& [rank, demand] : demands_) {
    const double before = level_.ShareOf(rank);
    const double after = level.ShareOf(rank);
    if (before >= kSmallestLearnedShare) {
      demand.inflow *= after / before;
    } else if (after > before) {
      demand.inflow = demand.full * after / ShedKey::kPositions;
    }
  }
  level_ = level;
}

AdmissionLevel LevelController::Closed(double factor) const {
  double left = TotalInflow() * factor;
  for (const auto& [rank, demand] : demands_) {
    if (demand.inflow > left) {
      const double whole = rank == level_.rank() ? level_.share() : ShedKey::kPositions;
      const std::uint32_t share = ToShare(whole * left / demand.inflow);
      const bool is_first = rank == demands_.begin()->first;
      return std::min(level_, {rank, std::max(share, is_first ? kSmallestShare : 1)});
    }
    left -= demand.inflow;
  }
  return level_;
}

AdmissionLevel LevelController::Opened(double factor) const {
  if (level_.is_open()) {
    return level_;
  }
  double extra = std::max(TotalInflow() * (factor - 1), 0.0);
  for (auto found = demands_.lower_bound(level_.rank()); found != demands_.end(); ++found) {
    const double share = found->first == level_.rank() ? level_.share() : 0;
    const double full = std::max(found->second.full, 1.0);
    const double wanted = std::max(share + extra / full * ShedKey::kPositions, share * factor);
    const double opened = std::min(wanted, 2 * share + kLargestShareStep);
    if (opened < ShedKey::kPositions) {
      return {found->first, std::max(ToShare(opened), 1U)};
    }
    extra -= full * (1 - share / ShedKey::kPositions);
    if (extra <= 0) {
      return {found->first, ShedKey::kPositions};
    }
  }
  return {};
}

void LevelController::StartInterval(base::TimePoint now) {
  interval_start_ = now;
  finished_ = 0;
  utilization_sum_ = 0;
  waits_ = 0;
  wait_sum_ = base::Duration::zero();
  wait_min_ = base::Duration::max();
  for (auto& [rank, demand] : demands_) {
    demand.offered = 0;
    demand.admitted = 0;
  }
}

}  // namespace borageloft::admission
