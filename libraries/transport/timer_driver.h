#ifndef BORAGELOFT_TRANSPORT_TIMER_DRIVER_H_
#define BORAGELOFT_TRANSPORT_TIMER_DRIVER_H_

#include <asio.hpp>

#include "libraries/timer/timer.h"

namespace borageloft::transport {

/** Drives a timer service from an Asio event loop. */
class TimerDriver {
 public:
  /** @param context Event loop; @param timers Service to drive. Both must outlive this object. */
  TimerDriver(asio::io_context& context, timer::TimerService& timers);

  /** Begins driving. */
  void Start();

  /** Stops driving and waits for a round that is running. The event loop must be running. */
  void Stop();

 private:
  void Schedule();

  // Upper bound of a round: a subscription added meanwhile is late by no more than this.
  static constexpr std::chrono::milliseconds kLongestRound{10};

  timer::TimerService& timers_;
  asio::strand<asio::io_context::executor_type> strand_;
  asio::steady_timer timer_;
  bool is_stopped_ = false;
};

}  // namespace borageloft::transport

#endif  // BORAGELOFT_TRANSPORT_TIMER_DRIVER_H_
