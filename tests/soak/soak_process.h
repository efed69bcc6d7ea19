#ifndef BORAGELOFT_TESTS_SOAK_SOAK_PROCESS_H_
#define BORAGELOFT_TESTS_SOAK_SOAK_PROCESS_H_

#include <sys/types.h>

#include <string>

namespace borageloft::soak {

/** One process of the system under test. Only processes started here are ever signalled. */
class SoakProcess {
 public:
  SoakProcess(std::string program, std::string settings_file, std::string log_file);
  ~SoakProcess();

  SoakProcess(const SoakProcess&) = delete;
  SoakProcess& operator=(const SoakProcess&) = delete;

  void Start();
  void Signal(int signal) const;
  /** Kills the process at once and waits for its end. */
  void Kill();
  /** @return Whether the process runs; notes its end otherwise. */
  bool IsRunning();
  /** @return Process id, or 0 while it does not run. */
  pid_t id() const { return pid_; }
  /** @return How often the process ended without having been told to. */
  int unexpected_ends() const { return unexpected_ends_; }
  /** The next end is expected, because the process was told to end. */
  void ExpectEnd() { is_end_expected_ = true; }

 private:
  std::string program_;
  std::string settings_file_;
  std::string log_file_;
  pid_t pid_ = 0;
  bool is_end_expected_ = false;
  int unexpected_ends_ = 0;
};

}  // namespace borageloft::soak

#endif  // BORAGELOFT_TESTS_SOAK_SOAK_PROCESS_H_
