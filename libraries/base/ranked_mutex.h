#ifndef BORAGELOFT_BASE_RANKED_MUTEX_H_
#define BORAGELOFT_BASE_RANKED_MUTEX_H_

#include <mutex>

namespace borageloft::base {

/** Global lock order. A thread takes locks only in rising rank; each rank at most once. */
enum class LockRank : int {
  kDissemination = 5,  // First, since notes are put in force in order while it is held.
  kPolicy = 10,
  kMembership = 20,
  kRouting = 30,
  kAdmission = 40,
  kRetry = 50,
  kLedger = 60,
  kConsensus = 70,
  kNotes = 75,
  kStorage = 80,
  kTransport = 90,
  kTracing = 100,
  kMetrics = 110,
  kLog = 120,
};

/** Mutex that verifies the global lock order on every lock. Works with std::scoped_lock. */
class RankedMutex {
 public:
  /** @param rank Place of this mutex in the lock order. */
  explicit RankedMutex(LockRank rank) : rank_(rank) {}

  RankedMutex(const RankedMutex&) = delete;
  RankedMutex& operator=(const RankedMutex&) = delete;

  // The lower-case names are those of the standard's BasicLockable requirements.
  void lock();    // NOLINT(readability-identifier-naming)
  void unlock();  // NOLINT(readability-identifier-naming)

 private:
  LockRank rank_;
  std::mutex mutex_;
};

}  // namespace borageloft::base

#endif  // BORAGELOFT_BASE_RANKED_MUTEX_H_
