#include "utilities/borageloft/interrupt.h"

#include <csignal>
#include <thread>

namespace borageloft::command_line {

std::stop_token StopOnInterrupt() {
  static std::stop_source source;
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::thread([signals] {
    int signal = 0;
    sigwait(&signals, &signal);
    source.request_stop();
  }).detach();
  return source.get_token();
}

}  // namespace borageloft::command_line
