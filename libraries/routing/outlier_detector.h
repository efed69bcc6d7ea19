#ifndef BORAGELOFT_ROUTING_OUTLIER_DETECTOR_H_
#define BORAGELOFT_ROUTING_OUTLIER_DETECTOR_H_

#include <cstddef>
#include <optional>
#include <span>

#include "libraries/base/base.h"
#include "libraries/routing/routing_options.h"

namespace borageloft::routing {

/** State of an upstream in outlier detection. */
enum class EjectionState {
  kNormal,
  kEjected,  ///< Receives no requests until the ejection ends, unless no other upstream is left.
  kProbing,  ///< Receives one probe at a time, until enough of them have succeeded.
};

/** Failure history of an upstream. The caller owns it and passes it to the detector. */
struct OutlierRecord {
  EjectionState ejection_state = EjectionState::kNormal;
  unsigned consecutive_failures = 0;
  unsigned requests = 0;  ///< Since the last reinstatement, capped at OutlierOptions::min_requests.
  double failure_rate = 0;     ///< Moving average.
  double refusal_rate = 0;     ///< Moving average.
  base::TimePoint updated_at;  ///< Time of the last update of the moving averages.
  unsigned ejection_count = 0;
  base::TimePoint ejection_end;
  base::TimePoint reinstated_at;
  unsigned probes_succeeded = 0;
  bool is_probe_in_flight = false;
};

/**
 * Ejects failing upstreams from load balancing. The ejection time doubles with each repetition. At
 * most a fixed fraction of the subset is ejected at once, and an upstream only if it fails
 * markedly more often than the whole service. After its ejection time an upstream is probed, and
 * it is reinstated after enough successful probes; until then it counts as ejected. Not
 * thread-safe.
 */
class OutlierDetector {
 public:
  /** @param options Must outlive this object. */
  explicit OutlierDetector(const OutlierOptions& options) : options_(&options) {}

  /** Records a served request. @param is_probe Whether it was sent as a probe. */
  void RecordSuccess(OutlierRecord& record, bool is_probe, base::TimePoint now);

  /** Records an error, a timeout or a lost connection, and ejects the upstream if it is due. */
  void RecordFailure(OutlierRecord& record, bool is_probe, base::TimePoint now);

  /** Records a refusal under overload. It is not a failure and never ejects the upstream. */
  void RecordRefusal(OutlierRecord& record, bool is_probe, base::TimePoint now);

  /** Records the end of a request that says nothing about the health of the upstream. */
  static void RecordNeutral(OutlierRecord& record, bool is_probe);

  /** Records the start of a probe. */
  static void StartProbe(OutlierRecord& record);

  /** Starts probing an upstream if its ejection time has passed. */
  static void Advance(OutlierRecord& record, base::TimePoint now);

  /**
   * Clears the failure history of an upstream whose process restarted. If it was ejected, probing
   * starts at once.
   */
  static void Restart(OutlierRecord& record);

  /** Ends the ejection of an upstream, for example because it left the subset. */
  void Forget(OutlierRecord& record);

  /**
   * Updates the maximum number of ejected upstreams after a change of the subset. If more are
   * ejected, the ejections with the earliest end are lifted.
   * @param records All upstreams of the subset.
   */
  void Resize(std::span<OutlierRecord* const> records);

  /** @return Factor on the estimated time for failures and refusals, at least 1. */
  double Penalty(const OutlierRecord& record, base::TimePoint now) const;

  /** @return Number of upstreams ejected or probing. */
  std::size_t ejected_count() const { return ejected_count_; }

  /** @return Maximum number of upstreams that may be ejected or probing. */
  std::size_t max_ejected_count() const { return max_ejected_count_; }

 private:
  void UpdateAverages(OutlierRecord& record, bool is_failure, bool is_refusal, base::TimePoint now);
  double DecayFactor(const OutlierRecord& record, base::TimePoint now) const;
  bool ShouldEject(const OutlierRecord& record) const;
  bool IsWorseThanService(double failure_rate) const;
  void Eject(OutlierRecord& record, base::TimePoint now) const;
  void Reinstate(OutlierRecord& record, base::TimePoint now);

  const OutlierOptions* options_;
  double service_failure_rate_ = 0;  // Moving average over all upstreams.
  std::size_t ejected_count_ = 0;
  std::size_t max_ejected_count_ = 0;
};

}  // namespace borageloft::routing

#endif  // BORAGELOFT_ROUTING_OUTLIER_DETECTOR_H_
