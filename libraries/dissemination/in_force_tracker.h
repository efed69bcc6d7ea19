#ifndef BORAGELOFT_DISSEMINATION_IN_FORCE_TRACKER_H_
#define BORAGELOFT_DISSEMINATION_IN_FORCE_TRACKER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libraries/base/base.h"
#include "libraries/dissemination/messages.h"

namespace borageloft::dissemination {

/** What is known of the numbers in force in one zone. */
struct ZoneStatus {
  std::string zone;
  /// Highest number that was seen in force on each expected node; it never falls.
  std::uint64_t in_force = 0;
  std::uint64_t lowest = 0;              ///< Lowest number reported now.
  std::uint64_t expected = 0;            ///< Nodes that the registry holds as reachable.
  std::uint64_t reported = 0;            ///< Nodes in the current reports.
  std::vector<std::string> unreachable;  ///< Nodes that are not waited for, by name.
  std::uint64_t unreachable_count = 0;   ///< Above the number of names when these were cut short.
  base::Duration age{};                  ///< Time since the last report about the zone.
};

/**
 * Decides on a control host in which zones a release note is in force. Reports and expected nodes
 * are compared as sets, so a node that is counted twice while it changes its parent cannot stand
 * in for one that is missing. Unreachable nodes are named and not waited for. Not thread-safe.
 */
class InForceTracker {
 public:
  /** @param report_lifetime A control host's report that is older does not count. */
  explicit InForceTracker(base::Duration report_lifetime = std::chrono::seconds(5))
      : report_lifetime_(report_lifetime) {}

  /** Sets the nodes of a zone, as the registry knows them. */
  void SetExpected(const std::string& zone, const std::vector<std::string>& reachable,
                   std::vector<std::string> unreachable);

  /** Sets the nodes of a zone of another region, as its registry told them. */
  void SetExpected(const ExpectedNodes& expected);

  /** Takes the report of a control host about a zone; older ones are ignored. */
  void Report(const StatusUp& report, base::TimePoint now);

  /** @return Whether release note @p number is or was in force on all expected nodes of a zone. */
  bool IsInForce(const std::string& zone, std::uint64_t number, base::TimePoint now);

  /** @return Whether @p number is in force in each zone that has reachable nodes. */
  bool IsInForceEverywhere(std::uint64_t number, base::TimePoint now);

  /** @return What is known of each zone. */
  std::vector<ZoneStatus> Status(base::TimePoint now);

 private:
  struct HostReport {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    ZoneReport report;
    base::TimePoint when;
  };
  struct Zone {
    NodeSet reachable;
    NodeSet all;
    std::vector<std::string> unreachable;
    std::map<std::string, HostReport> reports;  // By control host.
    std::uint64_t in_force = 0;
  };

  ZoneReport Sum(const Zone& zone, base::TimePoint now) const;
  void Update(Zone& zone, base::TimePoint now) const;

  base::Duration report_lifetime_;
  std::map<std::string, Zone> zones_;
};

}  // namespace borageloft::dissemination

#endif  // BORAGELOFT_DISSEMINATION_IN_FORCE_TRACKER_H_
