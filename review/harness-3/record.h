#ifndef BORAGELOFT_REVIEW_HARNESS_3_RECORD_H_
#define BORAGELOFT_REVIEW_HARNESS_3_RECORD_H_

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/** Lines of what was sent, answered and run, each with its time since the start. Thread-safe. */
class Record {
 public:
  /** @param path File that is written anew. */
  explicit Record(const std::string& path) : file_(path) {}

  /** Appends one line. @param text The line without its end. */
  void Write(const std::string& text) {
    const std::scoped_lock lock(mutex_);
    const auto at = std::chrono::duration_cast<milliseconds>(Clock::now() - start_);
    file_ << at.count() << " ms " << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
  const Clock::time_point start_ = Clock::now();
};

}  // namespace review

#endif  // BORAGELOFT_REVIEW_HARNESS_3_RECORD_H_
