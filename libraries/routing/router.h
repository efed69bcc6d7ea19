#ifndef BORAGELOFT_ROUTING_ROUTER_H_
#define BORAGELOFT_ROUTING_ROUTER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "libraries/base/base.h"
#include "libraries/routing/load_estimate.h"
#include "libraries/routing/load_report.h"
#include "libraries/routing/outlier_detector.h"
#include "libraries/routing/routing_options.h"
#include "libraries/routing/stable_subset.h"
#include "libraries/routing/upstream_view.h"
#include "libraries/routing/zone_spill.h"

namespace borageloft::routing {

/** Whether a request may be used to probe an ejected upstream. */
enum class ProbeUse {
  kAllowed,
  kForbidden,  ///< For requests that cannot be retried.
};

/** Constraints on the choice of an upstream. */
struct RouteRequest {
  std::vector<UpstreamId> tried;         ///< Excluded from the choice.
  std::vector<std::string> tried_zones;  ///< Used only if no other zone has an upstream left.
  ProbeUse probe_use = ProbeUse::kAllowed;
};

/** The upstream chosen for a request. */
struct Choice {
  UpstreamId upstream;
  std::string node;
  std::string node_address;
  std::string zone;
  std::uint64_t incarnation = 0;
  bool is_cross_zone = false;
  bool is_probe = false;             ///< The request probes an ejected upstream.
  base::Duration estimated_time{0};  ///< Including the network round trip.
};

/** Why no upstream was chosen. */
enum class RouteFailure {
  kNoMembers,   ///< The service has no upstream.
  kAllLeaving,  ///< Every upstream is leaving.
  kAllTried,    ///< Every upstream of the subset was tried or reported that it is leaving.
};

/** A choice, or the reason why there is none. */
using RouteResult = std::variant<Choice, RouteFailure>;

/** How an attempt at an upstream ended. */
enum class AttemptOutcome {
  kServed,     ///< A complete response that is not a server error.
  kError,      ///< A server error, or a truncated response.
  kRefused,    ///< Refused under overload; not run.
  kLost,       ///< The connection was lost.
  kCancelled,  ///< Cancelled by the caller; says nothing about the upstream.
};

/** Identifies an attempt of this node. */
enum class AttemptId : std::uint64_t {};

/** Result of an attempt. */
struct AttemptResult {
  AttemptOutcome outcome = AttemptOutcome::kServed;
  base::Duration latency{0};  ///< Measured by this node, including the network round trip.
  std::optional<LoadReport> report;
};

/** State of an upstream of the subset, for status output and metrics. */
struct UpstreamStatus {
  UpstreamView view;
  EjectionState ejection_state = EjectionState::kNormal;
  bool is_leaving = false;  ///< According to its load report.
  std::uint32_t in_flight = 0;
  base::Duration estimated_time{0};
};

/**
 * Load balancer of one service on one node. Uses a stable subset of the upstreams, compares random
 * samples of it by estimated time, prefers the node's own availability zone and ejects outliers.
 * Does no I/O. Not thread-safe.
 */
class Router {
 public:
  /**
   * @param node Id of this node; determines the subset.
   * @param zone This node's availability zone.
   * @throws Error If an option is out of range.
   */
  Router(std::string_view node, const std::string& zone, const RoutingOptions& options);

  // Members hold pointers to `options_`.
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  /**
   * Replaces the list of members. The state of upstreams that remain in the subset is kept. A
   * higher incarnation resets it; a lower one than the known incarnation is ignored.
   * @param members All upstreams of the service, with distinct ids.
   */
  void UpdateMembers(const std::vector<UpstreamView>& members, base::TimePoint now);

  /** @return The upstream for @p request, or why there is none. Counts no request as sent. */
  RouteResult Choose(const RouteRequest& request, base::TimePoint now, const base::Random& random);

  /** Records that a request was sent to the chosen upstream. @return Id of the attempt. */
  AttemptId RecordStart(const Choice& choice);

  /**
   * Records the end of an attempt. Has no effect after RecordTimeout() of the same attempt, so a
   * late response may be reported.
   */
  void RecordFinish(AttemptId attempt, const AttemptResult& result, base::TimePoint now);

  /** Records the timeout of an attempt. @param waited Time since its start. */
  void RecordTimeout(AttemptId attempt, base::Duration waited, base::TimePoint now);

  /** Records a measured round-trip time to a zone, for example of a heartbeat. */
  void RecordRoundTrip(std::string_view zone, base::Duration round_trip);

  /** @return State of each upstream of the subset. */
  std::vector<UpstreamStatus> Status(base::TimePoint now) const;

  /** @return Number of requests sent by zone, this node's own zone first. */
  std::vector<ZoneCount> zone_counts() const { return zones_.counts(); }

  /** @return Number of requests sent to other zones. */
  std::uint64_t cross_zone_requests() const { return zones_.cross_zone_requests(); }

  /** @return Number of upstreams ejected or probing. */
  std::size_t ejected_count() const { return outliers_.ejected_count(); }

  /** @return Number of attempts that have not ended. */
  std::size_t attempts_in_flight() const { return attempts_.size(); }

 private:
  struct Member {
    UpstreamView view;
    std::uint64_t generation = 0;  // Distinguishes attempts before and after a restart.
    ZoneSpill::ZoneIndex zone{};
    LoadEstimate load;
    OutlierRecord outlier;
    std::optional<base::TimePoint> leaving_since;  // According to its load report.
  };

  struct Attempt {
    UpstreamId upstream;
    std::uint64_t generation = 0;
    bool is_probe = false;
  };

  /** Upstreams eligible for a request, in groups of different preference. */
  struct Candidates {
    std::vector<Member*> own;
    std::vector<Member*> other;
    std::vector<Member*> probes;
    std::vector<Member*> ejected;
    std::vector<Member*> tried_zones;

    void Clear();
  };

  struct Pick {
    Member* member = nullptr;
    base::Duration time{0};
  };

  void RefreshMember(Member& member, const UpstreamView& view);
  std::unique_ptr<Member> MakeMember(const UpstreamView& view);
  void CollectCandidates(const RouteRequest& request, base::TimePoint now);
  Pick PickBest(std::vector<Member*>& members, base::TimePoint now, const base::Random& random);
  Pick PickAmongCandidates(base::TimePoint now, const base::Random& random);
  RouteFailure FailureReason() const;
  base::Duration EstimatedTime(const Member& member, base::TimePoint now) const;
  static bool IsLeaving(const Member& member, base::TimePoint now);
  Choice MakeChoice(const Member& member, base::Duration time, bool is_probe) const;
  std::optional<Attempt> TakeAttempt(AttemptId id);
  Member* FindMember(const Attempt& attempt);
  void RecordServed(Member& member, base::Duration latency, base::TimePoint now);
  base::Duration SubtractRoundTrip(const Member& member, base::Duration latency) const;

  RoutingOptions options_;
  StableSubset subset_;
  OutlierDetector outliers_;
  ZoneSpill zones_;
  std::vector<std::unique_ptr<Member>> members_;  // The subset.
  std::unordered_map<std::string, Member*> by_id_;
  std::unordered_map<std::uint64_t, Attempt> attempts_;
  std::uint64_t next_attempt_ = 1;
  std::uint64_t next_generation_ = 1;
  std::size_t known_members_ = 0;  // Members of the service, including those outside the subset.
  base::Duration service_latency_;
  Candidates candidates_;  // Reused between choices to avoid allocations.
};

}  // namespace borageloft::routing

#endif  // BORAGELOFT_ROUTING_ROUTER_H_
