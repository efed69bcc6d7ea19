#ifndef BORAGELOFT_REQUEST_PATH_INSTANCE_CHOOSER_H_
#define BORAGELOFT_REQUEST_PATH_INSTANCE_CHOOSER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "libraries/admission/admission.h"
#include "libraries/directory/directory.h"
#include "libraries/request_path/root_position.h"
#include "libraries/wire/wire.h"

namespace borageloft::request_path {

/** Outcome of an attempt at an instance, as far as it affects later choices. */
enum class AttemptOutcome {
  kServed,       // A complete answer that is not a server error.
  kFailed,       // A server error, or no complete answer.
  kRefused,      // The instance rejected it under load, or the gate refused it.
  kUnavailable,  // The instance or its node is gone, leaving or unreachable.
  kCancelled,    // The attempt was cancelled; only the time that it took is known.
};

/** Which nodes are candidates for the next attempt. */
enum class CandidateFilter {
  kExcludeTried,  // Those that were not tried.
  kOnlyTried,     // Those that were tried.
};

/**
 * Chooses the instance of a service for each attempt. Among the instances with free capacity that
 * work, a request of a caller prefers those in this node's zone, because its answer is long. A call
 * of an upstream prefers those with the fewest zone crossings, by the call and by the calls below
 * it. Instances of equal rank are compared by latency, load and failure rate as seen by this node
 * and as reported by the gates. Not thread-safe.
 */
class InstanceChooser {
 public:
  /** @param zone This node's availability zone. */
  explicit InstanceChooser(std::string zone) : zone_(std::move(zone)) {}

  /** Sets the hook that returns whether a node has been silent for longer than expected. */
  void set_is_silent(std::function<bool(const std::string& node)> hook) {
    is_silent_ = std::move(hook);
  }

  /** Adds or replaces the record of a node. The statistics are kept if its instance is the same. */
  void Set(const directory::InstanceRecord& record);

  /** Removes the record of a node, if there is one. */
  void Remove(const std::string& node);

  /**
   * Chooses an instance without recording an attempt.
   * @param origin Whether this is a request of a caller or a call of an upstream.
   * @param tried Nodes that were tried before.
   * @param filter Whether the tried nodes are excluded or are the only candidates.
   * @param root The root request, for instances that limit their rate and take the first roots.
   * @return The record of the chosen instance; null if there is no candidate.
   */
  const directory::InstanceRecord* Choose(const std::string& service, wire::RequestOrigin origin,
                                          const std::vector<std::string>& tried,
                                          CandidateFilter filter, base::TimePoint now,
                                          const base::Random& random,
                                          const RootPosition& root = {});

  /** Records that an attempt was sent to the instance at @p node. */
  void RecordStart(const std::string& service, const std::string& node);

  /**
   * Records the end of an attempt. Ignored if the node has another instance by now.
   * @param took Time since the start of the attempt.
   * @param load Load that the gate reported; null if it reported none.
   */
  void RecordEnd(const std::string& service, const std::string& node, const std::string& instance,
                 AttemptOutcome outcome, base::Duration took, const wire::LoadReport* load,
                 base::TimePoint now);

  /** @return Rate that the instance at @p node named last, in thousandths of a request per second;
   * 0 if it named none. */
  std::uint32_t RateLimitMilli(const std::string& service, const std::string& node) const;

  /** @return Whether a serving instance of the service names no limit of its rate. */
  bool HasInstanceWithoutRateLimit(const std::string& service) const;

  /** @return Mean latency of the instances with a known latency, in milliseconds; 0 if none has. */
  double MeanLatencyMs(const std::string& service) const;

  /** @return Whether the service is known to make no calls to other services. */
  bool IsLeaf(const std::string& service) const;

  /** @return Whether an instance of the service is known, in whatever state. */
  bool HasInstance(const std::string& service) const;

  /** @return Whether the service has a serving instance in this node's zone. */
  bool HasInstanceInZone(const std::string& service) const;

  /** @return Known share of the slots of all instances of a service that is in use. */
  double Utilization(const std::string& service, base::TimePoint now) const;

 private:
  // What an instance has said in its answers.
  struct Told {
    std::uint32_t rate_limit_milli = 0;  // 0 if the last answer names no limit.
    std::optional<base::TimePoint> leaving_since;
  };

  struct Member {
    directory::InstanceRecord record;
    Told told;
    std::uint32_t in_flight = 0;
    double latency_ms = 0;    // Zero until the first answer.
    double failure_rate = 0;  // Moving average share of attempts that failed or were refused.
    double reported_utilization = 0;  // Share of the slots in use as last reported by the gate.
    base::TimePoint reported_at{};
    double work_time = 1;                       // Of the usual, as last reported by the gate.
    admission::AdmissionLevel level;            // As last reported by the gate.
    base::TimePoint latency_updated_at{};       // When `latency_ms` last changed.
    base::TimePoint failure_rate_updated_at{};  // When `failure_rate` last changed.
    base::TimePoint avoid_until{};              // Set after an attempt that ended as kUnavailable.
  };

  using Members = std::vector<Member>;

  // Number of instances without a record whose answers are remembered: the record of a node that
  // restarts returns after some seconds.
  static constexpr std::size_t kMaxAbsent = 256;

  static directory::Incarnation IncarnationOf(const directory::InstanceRecord& record) {
    return {record.instance, record.born};
  }
  Told TakeAbsent(const directory::Incarnation& incarnation);
  void RememberAbsent(const Member& member);

  Member* FindMember(const std::string& service, const std::string& node);
  const Member* FindMember(const std::string& service, const std::string& node) const;
  template <typename MemberType, typename Services>
  static MemberType* FindMemberIn(Services& services, const std::string& service,
                                  const std::string& node);
  double UtilizationOf(const Member& member, base::TimePoint now) const;
  static bool IsBeyondRateLimit(const Member& member, const RootPosition& root,
                                base::TimePoint now);
  std::uint32_t ZoneCrossingsOf(const directory::InstanceRecord& record,
                                wire::RequestOrigin origin) const;
  static bool IsSlow(const Member& member);
  static bool IsSlownessOfFew(const Members& members);
  static double FailureRateOf(const Member& member, base::TimePoint now);
  double ScoreOf(const Member& member, double baseline_ms, base::TimePoint now) const;

  std::string zone_;
  std::function<bool(const std::string& node)> is_silent_;
  std::unordered_map<std::string, Members> services_;
  std::unordered_map<std::string, std::string> service_by_node_;
  std::deque<std::pair<directory::Incarnation, Told>> absent_;  // The oldest comes first.
};

}  // namespace borageloft::request_path

#endif  // BORAGELOFT_REQUEST_PATH_INSTANCE_CHOOSER_H_
