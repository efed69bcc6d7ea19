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

/** Whether a request may test an upstream that was set aside. */
enum class ProbeUse {
  kAllowed,
  kForbidden,  ///< For requests that cannot be retried.
};

/** What a choice has to respect. */
struct RouteRequest {
  std::vector<UpstreamId> tried;         ///< Never chosen again.
  std::vector<std::string> tried_zones;  ///< Chosen only if no other zone has an upstream left.
  ProbeUse probe_use = ProbeUse::kAllowed;
};

/** Upstream that a request should be sent to. */
struct Choice {
  UpstreamId upstream;
  std::string node;
  std::string node_address;
  std::string zone;
  std::uint64_t incarnation = 0;
  bool is_cross_zone = false;
  bool is_probe = false;             ///< Tests an upstream that was set aside.
  base::Duration estimated_time{0};  ///< With the link.
};

/** Why no upstream could be chosen. */
enum class RouteFailure {
  kNoMembers,   ///< The service has no upstream.
  kAllLeaving,  ///< Every upstream is leaving.
  kAllTried,    ///< Every upstream of the subset that takes work was tried already.
};

/** A choice, or the reason why there is none. */
using RouteResult = std::variant<Choice, RouteFailure>;

/** How an attempt ended, as far as the upstream is concerned. */
enum class AttemptOutcome {
  kServed,     ///< A whole answer that is no server error.
  kError,      ///< A server error, or a truncated answer.
  kRefused,    ///< Refused under overload; not run.
  kLost,       ///< The connection ended.
  kCancelled,  ///< The caller gave up; says nothing about the upstream.
};

/** Names one attempt of this node. */
enum class AttemptId : std::uint64_t {};

/** End of an attempt. */
struct AttemptResult {
  AttemptOutcome outcome = AttemptOutcome::kServed;
  base::Duration latency{0};  ///< As this node measured it, with the link.
  std::optional<LoadReport> report;
};

/** State of one upstream of the subset, for status output and metrics. */
struct UpstreamStatus {
  UpstreamView view;
  Condition condition = Condition::kNormal;
  bool is_leaving = false;  ///< By its own report.
  std::uint32_t in_flight = 0;
  base::Duration estimated_time{0};
};

/**
 * Chooses upstreams of one service for one node: a stable subset, sampled choices by estimated
 * time, the own availability zone first, and outliers set aside. Does no I/O. Not thread-safe.
 */
class Router {
 public:
  /**
   * @param node Id of this node; decides the subset.
   * @param zone This node's availability zone.
   * @throws Error If an option is out of range.
   */
  Router(std::string_view node, const std::string& zone, const RoutingOptions& options);

  // The parts point into the options.
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  /**
   * Replaces the list of members. State of upstreams that stay in the subset is kept; a higher
   * incarnation starts afresh, and a lower one than known is ignored.
   * @param members All upstreams of the service, with distinct ids.
   */
  void UpdateMembers(const std::vector<UpstreamView>& members, base::TimePoint now);

  /** @return The upstream for a request, or why there is none. Counts nothing as sent. */
  RouteResult Choose(const RouteRequest& request, base::TimePoint now, const base::Random& random);

  /** Records that a request was sent to the chosen upstream. @return The attempt. */
  AttemptId RecordStart(const Choice& choice);

  /**
   * Records the end of an attempt. Without effect after RecordTimeout() of the same attempt, so a
   * late answer may be reported.
   */
  void RecordFinish(AttemptId attempt, const AttemptResult& result, base::TimePoint now);

  /** Records that the node gave up on an attempt. @param waited Time from its start. */
  void RecordTimeout(AttemptId attempt, base::Duration waited, base::TimePoint now);

  /** Records a measured round trip to a zone, for example of a heartbeat. */
  void RecordRoundTrip(std::string_view zone, base::Duration round_trip);

  /** @return State of each upstream of the subset. */
  std::vector<UpstreamStatus> Status(base::TimePoint now) const;

  /** @return Requests sent, by zone, the own zone first. */
  std::vector<ZoneCount> zone_counts() const { return zones_.counts(); }

  /** @return Requests sent to other zones. */
  std::uint64_t cross_zone_requests() const { return zones_.cross_zone_requests(); }

  /** @return Upstreams set aside or probing. */
  std::size_t set_aside() const { return outliers_.set_aside(); }

  /** @return Attempts started and not ended. */
  std::size_t attempts_in_flight() const { return attempts_.size(); }

 private:
  struct Member {
    UpstreamView view;
    std::uint64_t generation = 0;  // Separates attempts of different lives of one upstream.
    ZoneSpill::ZoneIndex zone{};
    LoadEstimate load;
    OutlierRecord outlier;
    std::optional<base::TimePoint> leaving_since;  // By its own report.
  };

  struct Attempt {
    UpstreamId upstream;
    std::uint64_t generation = 0;
    bool is_probe = false;
  };

  /** Upstreams that a request may go to. */
  struct Candidates {
    std::vector<Member*> own;
    std::vector<Member*> other;
    std::vector<Member*> probes;
    std::vector<Member*> set_aside;
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
  base::Duration WithoutLink(const Member& member, base::Duration latency) const;

  RoutingOptions options_;
  StableSubset subset_;
  OutlierDetector outliers_;
  ZoneSpill zones_;
  std::vector<std::unique_ptr<Member>> members_;  // The subset.
  std::unordered_map<std::string, Member*> by_id_;
  std::unordered_map<std::uint64_t, Attempt> attempts_;
  std::uint64_t next_attempt_ = 1;
  std::uint64_t next_generation_ = 1;
  std::size_t known_members_ = 0;  // Of the service, also outside of the subset.
  base::Duration typical_latency_;
  Candidates candidates_;  // Kept between choices to spare allocations.
};

}  // namespace borageloft::routing

#endif  // BORAGELOFT_ROUTING_ROUTER_H_
