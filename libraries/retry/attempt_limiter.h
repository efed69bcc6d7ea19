#ifndef BORAGELOFT_RETRY_ATTEMPT_LIMITER_H_
#define BORAGELOFT_RETRY_ATTEMPT_LIMITER_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>

#include "libraries/base/base.h"

namespace borageloft::retry {

/** What becomes of an attempt of a caller. */
enum class AttemptVerdict {
  kFirst,           ///< Not seen lately, or the last one succeeded; always let through.
  kRepeatAdmitted,  ///< A repeated attempt within the caller's share.
  kRepeatRefused,   ///< A repeated attempt over the caller's share.
};

/** Answer about an attempt. */
struct AttemptDecision {
  AttemptVerdict verdict = AttemptVerdict::kFirst;
  base::Duration retry_after{};  ///< For a refused repeat; zero otherwise.
};

/** Bounds of an AttemptLimiter. */
struct AttemptLimits {
  /** Repeated attempts per first attempt of the caller. */
  double repeats_per_first = 0.1;

  /** Repeated attempts that a caller can save up; also what a new caller begins with. */
  double burst = 3;

  /** An attempt of the same request within this time is a repeated one. */
  base::Duration memory = std::chrono::seconds(10);

  /** Callers that are remembered; the least recently seen one is forgotten first. */
  std::size_t max_callers = 16'384;

  /** Unfinished requests remembered for each caller; the oldest is forgotten first. */
  std::size_t max_requests = 256;
};

/**
 * Limits at the entry how often one caller repeats a request that has not succeeded. First attempts
 * are never refused and are what earns repeats, so a caller that retries hard hurts only its own
 * repeats. Not thread-safe.
 */
class AttemptLimiter {
 public:
  /** @throws RetryError if a bound is out of range. */
  explicit AttemptLimiter(const AttemptLimits& limits);

  /**
   * Decides about an attempt.
   * @param caller Hash of the caller's identity.
   * @param request Hash of method, path, body and idempotency key.
   * @param now Current time.
   */
  AttemptDecision Offer(std::uint64_t caller, std::uint64_t request, base::TimePoint now);

  /** Records that a request succeeded; the same request later is a first attempt again. */
  void RecordSuccess(std::uint64_t caller, std::uint64_t request);

  /** @return Callers that are remembered. */
  std::size_t size() const { return callers_.size(); }

 private:
  struct Seen {
    std::uint64_t request = 0;
    base::TimePoint at;
  };
  struct Caller {
    double repeats = 0;
    std::list<Seen> order;  // Least recently offered first.
    std::unordered_map<std::uint64_t, std::list<Seen>::iterator> requests;
    std::list<std::uint64_t>::iterator place;
  };

  Caller& Touch(std::uint64_t id);
  static void Forget(Caller& caller, std::list<Seen>::iterator seen);

  AttemptLimits limits_;
  std::unordered_map<std::uint64_t, Caller> callers_;
  std::list<std::uint64_t> order_;  // Least recently seen first.
};

}  // namespace borageloft::retry

#endif  // BORAGELOFT_RETRY_ATTEMPT_LIMITER_H_
