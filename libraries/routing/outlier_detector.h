#ifndef BORAGELOFT_ROUTING_OUTLIER_DETECTOR_H_
#define BORAGELOFT_ROUTING_OUTLIER_DETECTOR_H_

#include <cstddef>
#include <optional>
#include <span>

#include "libraries/base/base.h"
#include "libraries/routing/routing_options.h"

namespace borageloft::routing {

/** Place of an upstream in outlier detection. */
enum class Condition {
  kNormal,
  kSetAside,  ///< Gets no requests until its pause ends.
  kProbing,   ///< Gets one request at a time, until enough of them succeeded.
};

/** History of one upstream; the owner keeps it and passes it to the detector. */
struct OutlierRecord {
  Condition condition = Condition::kNormal;
  unsigned failures_in_a_row = 0;
  unsigned requests = 0;  ///< Since the last return; counts up to OutlierOptions::fewest_requests.
  double failure_share = 0;  ///< Moving average.
  double refusal_share = 0;  ///< Moving average.
  base::TimePoint updated;   ///< Time of the moving averages.
  unsigned times_set_aside = 0;
  base::TimePoint pause_end;
  base::TimePoint returned;
  unsigned probes_succeeded = 0;
  bool is_probe_in_flight = false;
};

/**
 * Sets upstreams aside that fail, for a time that grows with each repetition, but never more than
 * a stated part of the subset, and not when the whole service fails. After the pause an upstream
 * returns by probes. Upstreams that set aside or probing both count as set aside. Not thread-safe.
 */
class OutlierDetector {
 public:
  /** @param options Must outlive this object. */
  explicit OutlierDetector(const OutlierOptions& options) : options_(&options) {}

  /** Counts a served request. @param is_probe Whether it was sent as a probe. */
  void RecordSuccess(OutlierRecord& record, bool is_probe, base::TimePoint now);

  /** Counts an error, a timeout or a broken connection, and sets aside if it is due. */
  void RecordFailure(OutlierRecord& record, bool is_probe, base::TimePoint now);

  /** Counts a refusal under overload. It is no fault, and never sets aside. */
  void RecordRefusal(OutlierRecord& record, bool is_probe, base::TimePoint now);

  /** Ends a request that says nothing about the upstream. */
  static void RecordNeutral(OutlierRecord& record, bool is_probe);

  /** Marks the start of a probe. */
  static void StartProbe(OutlierRecord& record);

  /** Moves an upstream whose pause has ended to probing. */
  static void Advance(OutlierRecord& record, base::TimePoint now);

  /** Ends the pause of an upstream whose process restarted; it still has to pass its probes. */
  static void Restart(OutlierRecord& record);

  /** Forgets an upstream that left the subset. */
  void Forget(OutlierRecord& record);

  /**
   * Sets the size of the subset. If it shrinks below what is set aside, upstreams return to normal,
   * the one with the earliest end of its pause first.
   */
  void Resize(std::span<OutlierRecord* const> records);

  /** @return Factor of at least 1 on the estimated time, from failures and refusals. */
  double Penalty(const OutlierRecord& record, base::TimePoint now) const;

  /** @return Upstreams set aside or probing. */
  std::size_t set_aside() const { return set_aside_; }

  /** @return The most that may be set aside or probing. */
  std::size_t highest() const { return highest_; }

 private:
  void Average(OutlierRecord& record, bool is_failure, bool is_refusal, base::TimePoint now);
  double AgeWeight(const OutlierRecord& record, base::TimePoint now) const;
  bool ShouldSetAside(const OutlierRecord& record) const;
  bool IsWorseThanService(double failure_share) const;
  void SetAside(OutlierRecord& record, base::TimePoint now) const;
  void Return(OutlierRecord& record, base::TimePoint now);

  const OutlierOptions* options_;
  double service_failure_share_ = 0;  // Moving average over all upstreams.
  std::size_t set_aside_ = 0;
  std::size_t highest_ = 0;
};

}  // namespace borageloft::routing

#endif  // BORAGELOFT_ROUTING_OUTLIER_DETECTOR_H_
