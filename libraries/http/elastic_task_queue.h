#ifndef BORAGELOFT_HTTP_ELASTIC_TASK_QUEUE_H_
#define BORAGELOFT_HTTP_ELASTIC_TASK_QUEUE_H_

#include <httplib.h>

#include <functional>

#include "libraries/base/base.h"

namespace borageloft::http {

/** How a connection is to be served by the thread that took it. */
enum class ConnectionMode { kServe, kRefuse };

/**
 * Runs one connection per thread, as cpp-httplib expects, and starts threads only when needed.
 * Connections above the bound are given to one more thread that refuses them, so that their
 * callers hear a clear answer in place of a stall.
 */
class ElasticTaskQueue : public httplib::TaskQueue {
 public:
  /** @param maximum_threads Connections served at once. */
  explicit ElasticTaskQueue(std::size_t maximum_threads);

  void enqueue(std::function<void()> task) override;
  void shutdown() override;

  /** @return How the calling thread is to treat its connection. */
  static ConnectionMode current_mode();

 private:
  base::WorkerPool serving_;
  base::WorkerPool refusing_;
};

}  // namespace borageloft::http

#endif  // BORAGELOFT_HTTP_ELASTIC_TASK_QUEUE_H_
