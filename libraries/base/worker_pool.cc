#include "libraries/base/worker_pool.h"

#include <algorithm>
#include <utility>

#include "libraries/base/verify.h"

namespace borageloft::base {

WorkerPool::WorkerPool(std::size_t maximum_threads) : maximum_threads_(maximum_threads) {
  VERIFY(maximum_threads > 0);
}

WorkerPool::~WorkerPool() { Stop(); }

void WorkerPool::Post(std::function<void()> task) {
  const std::scoped_lock lock(mutex_);
  Push(std::move(task));
}

bool WorkerPool::TryPost(std::function<void()> task) {
  const std::scoped_lock lock(mutex_);
  if (is_stopping_ || !HasRoom()) {
    return false;
  }
  Push(std::move(task));
  return true;
}

void WorkerPool::Stop() {
  std::vector<std::thread> threads;
  {
    const std::scoped_lock lock(mutex_);
    is_stopping_ = true;
    threads.swap(threads_);
    changed_.notify_all();
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

void WorkerPool::AllowThreads(std::size_t maximum_threads) {
  const std::scoped_lock lock(mutex_);
  maximum_threads_ = std::max(maximum_threads_, maximum_threads);
}

void WorkerPool::Push(std::function<void()> task) {
  if (is_stopping_) {
    return;
  }
  tasks_.push_back(std::move(task));
  if (tasks_.size() > idle_count_ && threads_.size() < maximum_threads_) {
    threads_.emplace_back([this] { Work(); });
  } else {
    changed_.notify_one();
  }
}

void WorkerPool::Work() {
  std::unique_lock lock(mutex_);
  while (true) {
    ++idle_count_;
    changed_.wait(lock, [this] { return is_stopping_ || !tasks_.empty(); });
    --idle_count_;
    if (tasks_.empty()) {
      return;
    }
    const std::function<void()> task = std::move(tasks_.front());
    tasks_.pop_front();
    lock.unlock();
    task();
    lock.lock();
  }
}

}  // namespace borageloft::base
