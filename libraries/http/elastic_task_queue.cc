#include "libraries/http/elastic_task_queue.h"

namespace borageloft::http {

namespace {

thread_local ConnectionMode thread_mode = ConnectionMode::kServe;

}  // namespace

ElasticTaskQueue::ElasticTaskQueue(std::size_t maximum_threads)
    : serving_(maximum_threads), refusing_(1) {}

void ElasticTaskQueue::enqueue(std::function<void()> task) {
  if (!serving_.TryPost(task)) {
    refusing_.Post([task = std::move(task)] {
      thread_mode = ConnectionMode::kRefuse;
      task();
    });
  }
}

void ElasticTaskQueue::shutdown() {
  serving_.Stop();
  refusing_.Stop();
}

ConnectionMode ElasticTaskQueue::current_mode() { return thread_mode; }

}  // namespace borageloft::http
