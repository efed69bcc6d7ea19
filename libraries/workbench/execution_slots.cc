#include "libraries/workbench/execution_slots.h"

namespace borageloft::workbench {

ExecutionSlots::Place::Place(ExecutionSlots& slots) : slots_(slots) {
  const std::scoped_lock lock(slots_.mutex_);
  slots_.processor_.Enter(slots_.clock_());
  slots_.changed_.notify_one();
}

ExecutionSlots::Place::~Place() {
  const std::scoped_lock lock(slots_.mutex_);
  slots_.processor_.Leave(slots_.clock_());
  slots_.changed_.notify_one();
}

ExecutionSlots::ExecutionSlots(std::size_t slots, double contention)
    : processor_(slots, contention, clock_()), dispatcher_([this] { RunDispatcher(); }) {}

ExecutionSlots::~ExecutionSlots() {
  Stop();
  dispatcher_.join();
}

WorkEnd ExecutionSlots::Work(base::Duration demand, std::optional<base::TimePoint> deadline) {
  if (demand <= base::Duration::zero()) {
    return WorkEnd::kFinished;
  }
  std::unique_lock lock(mutex_);
  Waiter waiter;
  const SharedProcessor::TaskId task = processor_.Add(demand, clock_());
  waiters_.emplace(task, &waiter);
  changed_.notify_one();
  const auto has_ended = [&] { return waiter.is_done || is_stopped_; };
  if (deadline) {
    waiter.wake.wait_until(lock, *deadline, has_ended);
  } else {
    waiter.wake.wait(lock, has_ended);
  }
  waiters_.erase(task);
  processor_.Remove(task);
  if (waiter.is_done) {
    return WorkEnd::kFinished;
  }
  return is_stopped_ ? WorkEnd::kStopped : WorkEnd::kDeadline;
}

void ExecutionSlots::SetSlowDown(double factor) {
  const std::scoped_lock lock(mutex_);
  processor_.SetSlowDown(factor, clock_());
  changed_.notify_one();
}

void ExecutionSlots::Stop() {
  const std::scoped_lock lock(mutex_);
  is_stopped_ = true;
  changed_.notify_one();
  for (const auto& [task, waiter] : waiters_) {
    waiter->wake.notify_one();
  }
}

void ExecutionSlots::RunDispatcher() {
  std::unique_lock lock(mutex_);
  while (!is_stopped_) {
    for (const SharedProcessor::TaskId task : processor_.TakeFinished(clock_())) {
      if (const auto found = waiters_.find(task); found != waiters_.end()) {
        found->second->is_done = true;
        found->second->wake.notify_one();
      }
    }
    if (const auto next = processor_.NextFinish()) {
      changed_.wait_until(lock, *next);
    } else {
      changed_.wait(lock);
    }
  }
}

}  // namespace borageloft::workbench
