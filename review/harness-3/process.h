#ifndef BORAGELOFT_REVIEW_HARNESS_3_PROCESS_H_
#define BORAGELOFT_REVIEW_HARNESS_3_PROCESS_H_

#include <sys/types.h>

#include <cstddef>
#include <string>
#include <vector>

namespace review {

/** One process of the system under test. Kills it at the end. */
class Process {
 public:
  /**
   * @param words Program and arguments.
   * @param log File to which its output is appended.
   */
  Process(std::vector<std::string> words, std::string log)
      : words_(std::move(words)), log_(std::move(log)) {}
  ~Process() { Kill(); }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Start();
  /** Kills it at once and waits for its end. */
  void Kill();
  /** @param signal Signal to send, if it runs. */
  void Signal(int signal) const;
  /** @return Whether it runs. */
  bool IsRunning();
  /**
   * @return Memory that it uses, in bytes, without the pages of its program and of libraries; 0 if
   * it does not run.
   */
  std::size_t Memory() const;

 private:
  std::vector<std::string> words_;
  std::string log_;
  pid_t id_ = 0;
};

}  // namespace review

#endif  // BORAGELOFT_REVIEW_HARNESS_3_PROCESS_H_
