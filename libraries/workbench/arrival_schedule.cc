#include "libraries/workbench/arrival_schedule.h"

#include <cmath>
#include <limits>

namespace borageloft::workbench {

namespace {

double ToSeconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

ArrivalSchedule::ArrivalSchedule(const LoadOptions& options)
    : rate_(options.rate_per_second),
      end_(ToSeconds(options.duration)),
      surge_begin_(options.trigger ? ToSeconds(options.trigger->begin) : 0),
      surge_end_(options.trigger ? ToSeconds(options.trigger->end) : 0),
      surge_multiplier_(options.surge_multiplier),
      process_(options.arrivals),
      most_requests_(options.most_requests),
      // Each use of a seed has a sequence of its own. With one sequence for arrivals and service
      // times, the kind of a request decided its service time.
      random_(base::SeededRandom(base::Hash("arrivals", options.seed))) {
  for (const RequestKind& kind : options.kinds) {
    weights_.push_back(kind.weight);
    total_weight_ += kind.weight;
  }
}

std::optional<Arrival> ArrivalSchedule::Next() {
  // The gap is measured in arrivals at rate 1 and spent piecewise, so that a change of rate takes
  // effect at its time and not at the next arrival.
  double gap =
      process_ == ArrivalProcess::kUniform ? 1.0 : -std::log(1.0 - base::DrawFraction(random_));
  while (true) {
    double boundary = std::numeric_limits<double>::infinity();
    if (next_ < surge_begin_) {
      boundary = surge_begin_;
    } else if (next_ < surge_end_) {
      boundary = surge_end_;
    }
    const double rate = RateAt(next_);
    if (next_ + gap / rate < boundary) {
      next_ += gap / rate;
      break;
    }
    gap -= (boundary - next_) * rate;
    next_ = boundary;
  }
  if (next_ >= end_ || number_ >= most_requests_) {
    return std::nullopt;
  }
  const auto intended =
      std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(next_));
  return Arrival{number_++, intended, DrawKind()};
}

double ArrivalSchedule::RateAt(double seconds) const {
  const bool is_surge = seconds >= surge_begin_ && seconds < surge_end_;
  return is_surge ? rate_ * surge_multiplier_ : rate_;
}

std::size_t ArrivalSchedule::DrawKind() {
  double point = base::DrawFraction(random_) * total_weight_;
  for (std::size_t kind = 0; kind + 1 < weights_.size(); ++kind) {
    point -= weights_[kind];
    if (point < 0) {
      return kind;
    }
  }
  return weights_.size() - 1;
}

}  // namespace borageloft::workbench
