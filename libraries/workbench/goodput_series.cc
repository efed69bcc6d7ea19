#include "libraries/workbench/goodput_series.h"

#include <algorithm>

namespace borageloft::workbench {

void GoodputSeries::Add(base::Duration intended, bool is_good) {
  const auto bin = static_cast<std::size_t>(intended / kBin);
  if (bin >= bins_.size()) {
    bins_.resize(bin + 1);
  }
  ++bins_[bin].offered;
  bins_[bin].good += is_good ? 1 : 0;
}

void GoodputSeries::Merge(const GoodputSeries& other) {
  bins_.resize(std::max(bins_.size(), other.bins_.size()));
  for (std::size_t i = 0; i < other.bins_.size(); ++i) {
    bins_[i].offered += other.bins_[i].offered;
    bins_[i].good += other.bins_[i].good;
  }
}

std::optional<base::Duration> GoodputSeries::RecoveryTime(const TriggerWindow& trigger,
                                                          base::Duration window,
                                                          double level) const {
  const auto width = static_cast<std::size_t>(window / kBin);
  const auto first = static_cast<std::size_t>((trigger.end + kBin - base::Duration(1)) / kBin);
  const Bin before = Sum(0, static_cast<std::size_t>(trigger.begin / kBin));
  if (before.offered == 0 || width == 0 || first + width > bins_.size()) {
    return std::nullopt;
  }
  const double needed =
      level * static_cast<double>(before.good) / static_cast<double>(before.offered);
  std::optional<std::size_t> recovered;
  // Walks back from the last window to the first one that is below the level.
  for (std::size_t begin = bins_.size() - width + 1; begin-- > first;) {
    const Bin sum = Sum(begin, begin + width);
    if (static_cast<double>(sum.good) < needed * static_cast<double>(sum.offered)) {
      break;
    }
    recovered = begin;
  }
  if (!recovered) {
    return std::nullopt;
  }
  return std::max(base::Duration::zero(),
                  kBin * static_cast<std::int64_t>(*recovered) - trigger.end);
}

GoodputSeries::Bin GoodputSeries::Sum(std::size_t begin, std::size_t end) const {
  Bin sum;
  for (std::size_t i = begin; i < std::min(end, bins_.size()); ++i) {
    sum.offered += bins_[i].offered;
    sum.good += bins_[i].good;
  }
  return sum;
}

}  // namespace borageloft::workbench
