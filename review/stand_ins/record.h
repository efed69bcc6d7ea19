#ifndef BORAGELOFT_REVIEW_STAND_INS_RECORD_H_
#define BORAGELOFT_REVIEW_STAND_INS_RECORD_H_

#include <chrono>
#include <fstream>
#include <string>

namespace borageloft::review {

using Clock = std::chrono::steady_clock;

/** Writes what was sent, answered and run to the record of a case. */
class Record {
 public:
  /** @param path File to write; an earlier one is replaced. */
  explicit Record(const std::string& path) : file_(path), start_(Clock::now()) {}

  /**
   * Writes a line with the seconds since the start.
   * @param line What was seen.
   */
  void Write(const std::string& line) {
    const std::chrono::duration<double> since = Clock::now() - start_;
    file_ << std::fixed << since.count() << " " << line << "\n" << std::flush;
  }

 private:
  std::ofstream file_;
  Clock::time_point start_;
};

}  // namespace borageloft::review

#endif  // BORAGELOFT_REVIEW_STAND_INS_RECORD_H_
