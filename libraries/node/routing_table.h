#ifndef BORAGELOFT_NODE_ROUTING_TABLE_H_
#define BORAGELOFT_NODE_ROUTING_TABLE_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libraries/admission/admission.h"
#include "libraries/membership/membership.h"
#include "libraries/node/node_services.h"
#include "libraries/routing/routing.h"
#include "libraries/transport/transport.h"

namespace borageloft::node {

/** Where an attempt is sent. */
struct RouteTarget {
  transport::PeerAddress peer;
  std::string zone;
  routing::UpstreamId upstream;
  routing::AttemptId attempt{};
};

/** What a choice has to respect. */
struct RouteQuery {
  std::string service;
  std::vector<RouteTarget> tried;          // Never chosen again.
  std::vector<std::string> avoided_zones;  // Zones that failed for this request.
  bool is_repeatable = true;               // Whether the request can be sent again if it fails.
};

/** Routers of the services that this node calls, and what answers told of their load. */
class RoutingTable {
 public:
  explicit RoutingTable(const NodeServices& services);

  /** Replaces what is known of a service's upstreams. */
  void UpdateMembers(const std::string& service,
                     const std::vector<membership::RecordEntry>& entries);

  /** @return Whether UpdateMembers() was called for @p service. */
  bool IsKnown(const std::string& service) const;

  /**
   * Chooses an upstream and counts the attempt as started. Each target must be given to one of the
   * Record functions once.
   * @return The target, or nothing when no upstream is left.
   */
  std::optional<RouteTarget> Start(const RouteQuery& query);

  /** Records the answer to an attempt. */
  void RecordAnswer(const std::string& service, const RouteTarget& target,
                    const wire::Response& response, base::Duration latency);

  /** Records an attempt whose connection failed. */
  void RecordLost(const std::string& service, const RouteTarget& target, base::Duration latency);

  /** Records an attempt that was given up because an answer came from elsewhere. */
  void RecordCancelled(const std::string& service, const RouteTarget& target,
                       base::Duration latency);

  /** Records an attempt that got no answer in time. */
  void RecordTimeout(const std::string& service, const RouteTarget& target, base::Duration waited);

  /** Decides whether a request may be sent along a path of services. */
  admission::PathVerdict Admit(const std::vector<std::string>& path, admission::ClassRank rank,
                               const std::string& root) const;

  /** @return The worst admission level known along a path. */
  admission::AdmissionLevel WorstAlong(const std::vector<std::string>& path) const;

  /** @return Whether a service's own level is below fully open. */
  bool IsShedding(const std::string& service) const;

  /** @return How long an attempt to @p service is expected to take; zero when unknown. */
  base::Duration ExpectedLatency(const std::string& service) const;

  /** Forgets load reports that are out of date. */
  void Expire();

  /** @return Attempts sent to other zones since the start. */
  std::uint64_t cross_zone_attempts() const;

 private:
  struct Service {
    std::unique_ptr<routing::Router> router;
    base::Duration latency{};
  };

  Service& FindOrAdd(const std::string& service);
  void Finish(const std::string& service, const RouteTarget& target,
              const routing::AttemptResult& result);

  const NodeServices& services_;
  mutable base::RankedMutex mutex_{base::LockRank::kRouting};
  std::map<std::string, Service> routers_;
  admission::LoadLevelMap levels_;
};

}  // namespace borageloft::node

#endif  // BORAGELOFT_NODE_ROUTING_TABLE_H_
