#ifndef BORAGELOFT_BASE_WORKER_POOL_H_
#define BORAGELOFT_BASE_WORKER_POOL_H_

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace borageloft::base {

/**
 * Pool of threads for tasks that block. Threads are started only when no idle one is left, so a
 * generous bound costs nothing until it is needed. Thread-safe.
 */
class WorkerPool {
 public:
  /** @param maximum_threads Tasks that may run at once, at least 1. */
  explicit WorkerPool(std::size_t maximum_threads);

  /** Runs the tasks that are still queued and ends the threads. */
  ~WorkerPool();

  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  /** Queues a task; it waits when all threads are busy. */
  void Post(std::function<void()> task);

  /** Queues a task only if a thread can take it at once. @return Whether it was queued. */
  bool TryPost(std::function<void()> task);

  /** Runs the tasks that are still queued and ends the threads. Later tasks are dropped. */
  void Stop();

  /** Raises the bound of threads; a lower value than before is ignored. */
  void AllowThreads(std::size_t maximum_threads);

 private:
  bool HasRoom() const { return tasks_.size() < idle_count_ || threads_.size() < maximum_threads_; }
  void Push(std::function<void()> task);
  void Work();

  // Outside the ranked order: held for single queue operations only, never across a task.
  std::mutex mutex_;
  std::condition_variable changed_;
  std::size_t maximum_threads_;
  std::size_t idle_count_ = 0;
  bool is_stopping_ = false;
  std::deque<std::function<void()>> tasks_;
  std::vector<std::thread> threads_;
};

}  // namespace borageloft::base

#endif  // BORAGELOFT_BASE_WORKER_POOL_H_
