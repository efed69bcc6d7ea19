#include "libraries/transport/timer_driver.h"

#include <algorithm>
#include <future>

namespace borageloft::transport {

TimerDriver::TimerDriver(asio::io_context& context, timer::TimerService& timers)
    : timers_(timers), strand_(asio::make_strand(context)), timer_(strand_) {}

void TimerDriver::Start() {
  asio::post(strand_, [this] { Schedule(); });
}

void TimerDriver::Stop() {
  std::promise<void> stopped;
  asio::post(strand_, [&] {
    is_stopped_ = true;
    timer_.cancel();
    stopped.set_value();
  });
  stopped.get_future().wait();
}

void TimerDriver::Schedule() {
  if (is_stopped_) {
    return;
  }
  auto due = std::chrono::steady_clock::now() + kLongestRound;
  if (const auto next = timers_.NextDue()) {
    due = std::min(due, *next);
  }
  timer_.expires_at(due);
  timer_.async_wait([this](const asio::error_code& error) {
    // A wait that ended before the cancel may be handled after the stop.
    if (!error && !is_stopped_) {
      timers_.RunDue();
      Schedule();
    }
  });
}

}  // namespace borageloft::transport
