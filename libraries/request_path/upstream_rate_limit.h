#ifndef BORAGELOFT_REQUEST_PATH_UPSTREAM_RATE_LIMIT_H_
#define BORAGELOFT_REQUEST_PATH_UPSTREAM_RATE_LIMIT_H_

#include <cstddef>
#include <cstdint>

#include "libraries/base/base.h"

namespace borageloft::request_path {

/**
 * Token bucket for the rate that an upstream names in its answers while it is in need. Without a
 * named rate every request has a token. Not thread-safe.
 */
class UpstreamRateLimit {
 public:
  /**
   * Applies what the newest answer of the upstream says.
   * @param milli Named rate in thousandths of a request per second; 0 if the answer names none.
   */
  void Learn(std::uint32_t milli, base::TimePoint now);

  /**
   * Applies a rate that another node learned from the upstream's answers. Ignored once an answer
   * was received here, which is newer.
   */
  void Suggest(std::uint32_t milli, base::TimePoint now);

  /** Forgets the rate, because another process of the upstream has taken over. */
  void Reset() { *this = {}; }

  /** @return Whether a request may start now. */
  bool HasToken(base::TimePoint now);

  /** Uses the token of a request that starts now. */
  void Take(base::TimePoint now);

  /** @return Time until a request behind @p ahead others has a token; zero without a limit. */
  base::Duration WaitBehind(std::size_t ahead, base::TimePoint now);

  /** @return Requests per second in force, at least the probing rate; 0 without a limit. */
  double rate() const { return rate_; }
  /** @return The rate as named, in thousandths of a request per second; 0 without a limit. */
  std::uint32_t milli() const { return milli_; }

 private:
  void Set(std::uint32_t milli, base::TimePoint now);
  void Refill(base::TimePoint now);
  double Capacity() const;

  std::uint32_t milli_ = 0;
  double rate_ = 0;
  double tokens_ = 0;
  base::TimePoint refilled_at_{};
  bool has_learned_ = false;
};

}  // namespace borageloft::request_path

#endif  // BORAGELOFT_REQUEST_PATH_UPSTREAM_RATE_LIMIT_H_
