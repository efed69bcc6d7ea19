#ifndef BORAGELOFT_RETRY_ATTEMPT_LIMITER_H_
#define BORAGELOFT_RETRY_ATTEMPT_LIMITER_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>

#include "libraries/base/base.h"

namespace borageloft::retry {

/** Result of offering an attempt of a caller. */
enum class AttemptVerdict {
  kFirst,           ///< Not remembered, or the last attempt succeeded; always admitted.
  kRepeatAdmitted,  ///< A repeated attempt that the caller's limit allows.
  kRepeatRefused,   ///< A repeated attempt over the caller's limit.
};

/** Decision about an attempt. */
struct AttemptDecision {
  AttemptVerdict verdict = AttemptVerdict::kFirst;
  base::Duration retry_after{};  ///< Hint for a refused repeat; zero otherwise.
};

/** Bounds of an AttemptLimiter. */
struct AttemptLimits {
  /** Repeated attempts that each first attempt of the caller adds to its limit. */
  double repeats_per_first = 0.1;

  /** Most repeated attempts that a caller can accumulate; a new caller starts with all of them. */
  double burst = 3;

  /** An attempt within this time of the last admitted one of the same request is a repeat. */
  base::Duration memory = std::chrono::seconds(10);

  /** Most callers that are remembered; the least recently seen one is evicted first. */
  std::size_t max_callers = 16'384;

  /** Most unfinished requests remembered for each caller; the oldest one is evicted first. */
  std::size_t max_requests = 256;
};

/**
 * Limits at the entry how often one caller repeats a request that has not succeeded, with a token
 * bucket for each caller that first attempts fill. First attempts are never refused, so a caller
 * that retries too often loses only its own repeats. Not thread-safe.
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
  struct SeenRequest {
    std::uint64_t request = 0;
    base::TimePoint at;
  };
  struct Caller {
    double repeats_left = 0;
    std::list<SeenRequest> lru_requests;  // Least recently admitted first.
    std::unordered_map<std::uint64_t, std::list<SeenRequest>::iterator> requests;
    std::list<std::uint64_t>::iterator lru_position;
  };

  Caller& Touch(std::uint64_t id);
  static void Forget(Caller& caller, std::list<SeenRequest>::iterator seen_request);

  AttemptLimits limits_;
  std::unordered_map<std::uint64_t, Caller> callers_;
  std::list<std::uint64_t> lru_callers_;  // Least recently seen first.
};

}  // namespace borageloft::retry

#endif  // BORAGELOFT_RETRY_ATTEMPT_LIMITER_H_
