#include "libraries/admission/level_controller.h"

#include <algorithm>

#include "libraries/admission/admission_error.h"

namespace borageloft::admission {

namespace {

// Below this share of its keys the total demand of a class is not estimated, since too few requests
// are admitted to extrapolate from.
constexpr std::uint32_t kMinEstimableShare = ShedKey::kPositions / 64;

// Smallest admitted share of the most important class, so that a gate always sees enough requests
// to detect that it has recovered.
constexpr std::uint32_t kMinShare = ShedKey::kPositions / 256;

// Weight of one interval in the smoothed measurements. A gate of 250 requests per second sees about
// 12 in an interval, whose spread of 30% has to be averaged out.
constexpr double kSmoothing = 0.2;

// Weight of one interval in the capacity, which changes less often than demand.
constexpr double kCapacitySmoothing = 0.15;

// Share by which the estimated demand of a class decays in one interval; it halves in 7 s.
constexpr double kDemandDecay = 0.005;

// Weight of the oldest request's wait in the queueing delay, since the oldest request of a moving
// queue has waited about twice the mean.
constexpr double kOldestWaitWeight = 0.6;

// While the delay is above target, admitted work is kept below capacity by this share for each
// multiple of the target in excess, up to a bound that drains a queue without idling the upstream.
constexpr double kDrainGain = 0.05;
constexpr double kMaxDrain = 0.2;

// One interval closes the level at most by this factor, since its measurements may be outliers.
constexpr double kMinClosingFactor = 0.5;

// While the inflow is below this share of the measured capacity, the level opens to that share in
// one step.
constexpr double kSafeCapacityShare = 0.9;

// The same applies below this share of the throughput at the concurrency limit, while almost
// nothing waits. The limit is 1.25 to 2 times what the upstream works on at once, so this is 0.5 to
// 0.8 of the capacity. Unlike the measured capacity, it is known as soon as latency has fallen.
constexpr double kIdleThroughputShare = 0.4;

// An inflow above this multiple of the measured capacity without delay shows that the capacity has
// grown.
constexpr double kGrownCapacityRatio = 1.2;

// Between these two bounds the level opens by a small step in each interval. If the upstream stays
// mostly idle for some intervals, the capacity has grown, and each further interval opens by a
// larger step: opening tenfold takes 0.65 s, within the second that recovery may take.
constexpr std::uint32_t kSmallStepIntervals = 5;
constexpr std::uint32_t kMaxIdleIntervals = 10;
constexpr double kSmallStep = 0.02;
constexpr double kStepAboveCapacity = 0.1;
constexpr double kIdleStep = 0.1;

// An upstream counts as idle while it uses less than this share of the concurrency limit and the
// delay is below this share of the target. Near its capacity it uses more of the limit, which is
// little above what it can work on at once.
constexpr double kIdleUtilization = 0.6;
constexpr double kIdleDelay = 0.1;

// In one interval the share of a class grows at most to twice its value plus this, since the
// demand that it admits is only an estimate.
constexpr std::uint32_t kMaxShareStep = ShedKey::kPositions / 16;

std::uint32_t ToShare(double share) {
  return static_cast<std::uint32_t>(
      std::clamp(share, 0.0, static_cast<double>(ShedKey::kPositions)));
}

}  // namespace

LevelController::LevelController(base::Duration target_delay, base::Duration interval)
    : target_delay_(target_delay), interval_(interval) {
  Configure(target_delay, interval);
  highest_arrivals_.fill({0, 0});
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
  AdmissionLevel& highest = highest_arrivals_[next_recent_];
  highest = std::max(highest, {rank, key.position() + 1});
  ++demand.offered;
  if (level_.Admits(rank, key)) {
    ++demand.admitted;
  }
}

void LevelController::RecordWait(base::Duration wait) {
  ++wait_count_;
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
  // Requests starved by more important ones never start, so their wait shows only in the age of the
  // oldest request.
  queueing_delay_ =
      std::max(std::chrono::duration_cast<base::Duration>(oldest_wait * kOldestWaitWeight),
               wait_count_ > 0 ? wait_sum_ / static_cast<base::Duration::rep>(wait_count_)
                               : base::Duration::zero());
  has_standing_queue_ = wait_count_ > 0 ? wait_min_ > target_delay_ : oldest_wait > target_delay_;
  UpdateEstimates();
  const double ratio =
      static_cast<double>(queueing_delay_.count()) / static_cast<double>(target_delay_.count());
  if (ratio > 1) {
    idle_intervals_ = 0;
    SetLevel(ClosedLevel(ClosingFactor(ratio)));
  } else {
    const double idle_capacity =
        ratio < kIdleDelay
            ? throughput * kIdleThroughputShare * std::chrono::duration<double>(interval_).count()
            : 0;
    const bool is_idle = TotalInflow() < idle_capacity || idle_intervals_ >= kSmallStepIntervals;
    const AdmissionLevel opened = OpenedLevel(OpeningFactor(ratio, idle_capacity));
    SetLevel(is_idle ? opened : std::max(level_, std::min(opened, HighestUsefulLevel())));
  }
  recent_levels_[next_recent_] = level_;
  next_recent_ = (next_recent_ + 1) % kRecentIntervals;
  highest_arrivals_[next_recent_] = {0, 0};
  StartInterval(now);
}

AdmissionLevel LevelController::recent_level() const {
  return std::max(level_, *std::ranges::max_element(recent_levels_));
}

void LevelController::UpdateEstimates() {
  const auto finished = static_cast<double>(finished_count_);
  if (queueing_delay_ > target_delay_) {
    // The outflow shows the capacity only while requests wait.
    capacity_ += (finished - capacity_) * kCapacitySmoothing;
  }
  // The capacity is at least the recent outflow, also after the upstream has been slow.
  outflow_ += (finished - outflow_) * kSmoothing;
  capacity_ = std::max(capacity_, outflow_);
  for (auto& [rank, demand] : demands_) {
    const auto admitted = static_cast<double>(demand.admitted);
    demand.inflow += (admitted - demand.inflow) * kSmoothing;
    double unshed = demand.inflow;
    if (rank == level_.rank() && level_.share() >= kMinEstimableShare) {
      unshed = demand.inflow * ShedKey::kPositions / level_.share();
    }
    demand.unshed = std::max(unshed, demand.unshed * (1 - kDemandDecay));
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
  // The inflow aimed at depends on the capacity, not on the present level: a queue takes several
  // intervals to drain, and closing further in each of them would leave the upstream idle after it.
  const double drain = std::min(kDrainGain * (delay_ratio - 1), kMaxDrain);
  const double inflow = TotalInflow();
  return inflow > 0 ? std::clamp(capacity_ * (1 - drain) / inflow, kMinClosingFactor, 1.0) : 1.0;
}

double LevelController::OpeningFactor(double delay_ratio, double idle_capacity) {
  const double utilization =
      finished_count_ > 0 ? std::min(utilization_sum_ / static_cast<double>(finished_count_), 1.0)
                          : 0;
  const bool is_idle = utilization < kIdleUtilization && delay_ratio < kIdleDelay;
  idle_intervals_ = is_idle ? std::min(idle_intervals_ + 1, kMaxIdleIntervals) : 0;
  if (idle_intervals_ > kSmallStepIntervals) {
    return 1 + kIdleStep * (idle_intervals_ - kSmallStepIntervals);
  }
  const double inflow = TotalInflow();
  const double safe = std::max(capacity_ * kSafeCapacityShare, idle_capacity);
  if (inflow > 0 && inflow < safe) {
    return safe / inflow;
  }
  const bool has_grown = inflow > capacity_ * kGrownCapacityRatio;
  const double step = has_grown ? kStepAboveCapacity * (1 - utilization) : kSmallStep;
  return 1 + step * (1 - delay_ratio);
}

AdmissionLevel LevelController::HighestUsefulLevel() const {
  // Callers shed by the median level of the service. When no request near this gate's own level
  // arrives, the median is lower. Opening further would bring no more work now, but would admit all
  // of it at once when the median rises.
  const AdmissionLevel highest = *std::ranges::max_element(highest_arrivals_);
  const std::uint32_t share = highest.share() + highest.share() / 2 + kMaxShareStep;
  if (share <= ShedKey::kPositions) {
    return {highest.rank(), share};
  }
  const auto next = demands_.upper_bound(highest.rank());
  return next == demands_.end() ? AdmissionLevel()
                                : AdmissionLevel(next->first, share - ShedKey::kPositions);
}

void LevelController::SetLevel(AdmissionLevel level) {
  // The measured inflow is smoothed over several intervals. Scaling it to the new level keeps later
  // intervals from making the same correction again.
  for (auto& [rank, demand] : demands_) {
    const double before = level_.ShareOf(rank);
    const double after = level.ShareOf(rank);
    if (before >= kMinEstimableShare) {
      demand.inflow *= after / before;
    } else if (after > before) {
      demand.inflow = demand.unshed * after / ShedKey::kPositions;
    }
  }
  level_ = level;
}

AdmissionLevel LevelController::ClosedLevel(double factor) const {
  double left = TotalInflow() * factor;
  for (const auto& [rank, demand] : demands_) {
    if (demand.inflow > left) {
      const double whole = rank == level_.rank() ? level_.share() : ShedKey::kPositions;
      const std::uint32_t share = ToShare(whole * left / demand.inflow);
      const bool is_first = rank == demands_.begin()->first;
      return std::min(level_, {rank, std::max(share, is_first ? kMinShare : 1)});
    }
    left -= demand.inflow;
  }
  return level_;
}

AdmissionLevel LevelController::OpenedLevel(double factor) const {
  if (level_.is_open()) {
    return level_;
  }
  double extra = std::max(TotalInflow() * (factor - 1), 0.0);
  for (auto found = demands_.lower_bound(level_.rank()); found != demands_.end(); ++found) {
    const double share = found->first == level_.rank() ? level_.share() : 0;
    const double unshed = std::max(found->second.unshed, 1.0);
    const double wanted = std::max(share + extra / unshed * ShedKey::kPositions, share * factor);
    const double opened = std::min(wanted, 2 * share + kMaxShareStep);
    if (opened < ShedKey::kPositions) {
      return {found->first, std::max(ToShare(opened), 1U)};
    }
    extra -= unshed * (1 - share / ShedKey::kPositions);
    if (extra <= 0) {
      return {found->first, ShedKey::kPositions};
    }
  }
  return {};
}

void LevelController::StartInterval(base::TimePoint now) {
  interval_start_ = now;
  finished_count_ = 0;
  utilization_sum_ = 0;
  wait_count_ = 0;
  wait_sum_ = base::Duration::zero();
  wait_min_ = base::Duration::max();
  for (auto& [rank, demand] : demands_) {
    demand.offered = 0;
    demand.admitted = 0;
  }
}

}  // namespace borageloft::admission
