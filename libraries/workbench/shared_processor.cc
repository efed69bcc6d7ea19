#include "libraries/workbench/shared_processor.h"

#include <algorithm>
#include <cmath>

#include "libraries/workbench/error.h"

namespace borageloft::workbench {

SharedProcessor::SharedProcessor(std::size_t slots, double contention, base::TimePoint now)
    : slots_(slots), contention_(contention), now_(now) {
  if (slots == 0) {
    throw Error("slots must be at least 1");
  }
  if (contention < 0) {
    throw Error("contention must not be negative");
  }
}

void SharedProcessor::Enter(base::TimePoint now) {
  Advance(now);
  ++present_;
}

void SharedProcessor::Leave(base::TimePoint now) {
  VERIFY(present_ > 0);
  Advance(now);
  --present_;
}

SharedProcessor::TaskId SharedProcessor::Add(base::Duration demand, base::TimePoint now) {
  Advance(now);
  const TaskId task = next_task_++;
  const double finish = work_ + static_cast<double>(std::max<std::int64_t>(demand.count(), 0));
  by_finish_.emplace(std::pair(finish, task), task);
  finish_.emplace(task, finish);
  return task;
}

void SharedProcessor::Remove(TaskId task) {
  const auto found = finish_.find(task);
  if (found != finish_.end()) {
    by_finish_.erase({found->second, task});
    finish_.erase(found);
  }
}

void SharedProcessor::SetSlowDown(double factor, base::TimePoint now) {
  VERIFY(factor > 0);
  Advance(now);
  slow_down_ = factor;
}

std::optional<base::TimePoint> SharedProcessor::NextFinish() const {
  if (by_finish_.empty()) {
    return std::nullopt;
  }
  const double missing = std::max(0.0, by_finish_.begin()->first.first - work_);
  return now_ + base::Duration(static_cast<std::int64_t>(std::ceil(missing / Speed())));
}

std::vector<SharedProcessor::TaskId> SharedProcessor::TakeFinished(base::TimePoint now) {
  Advance(now);
  // Rounding to whole nanoseconds may leave this much work of a task undone at its finish.
  constexpr double kRoundingSlack = 1.0;
  std::vector<TaskId> finished;
  while (!by_finish_.empty() && by_finish_.begin()->first.first <= work_ + kRoundingSlack) {
    finished.push_back(by_finish_.begin()->second);
    finish_.erase(by_finish_.begin()->second);
    by_finish_.erase(by_finish_.begin());
  }
  return finished;
}

double SharedProcessor::Speed() const {
  if (present_ <= slots_) {
    return 1.0 / slow_down_;
  }
  const double load = static_cast<double>(present_) / static_cast<double>(slots_);
  return 1.0 / (load * (1.0 + contention_ * (load - 1.0)) * slow_down_);
}

void SharedProcessor::Advance(base::TimePoint now) {
  if (now > now_) {
    work_ += static_cast<double>((now - now_).count()) * Speed();
    now_ = now;
  }
}

}  // namespace borageloft::workbench
