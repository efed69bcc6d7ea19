#ifndef BORAGELOFT_ADMISSION_LOAD_LEVEL_MAP_H_
#define BORAGELOFT_ADMISSION_LOAD_LEVEL_MAP_H_

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>

#include "libraries/admission/admission_level.h"
#include "libraries/base/base.h"

namespace borageloft::admission {

/** Result of LoadLevelMap::Admit. */
struct PathVerdict {
  bool is_admitted = true;
  std::string service;           ///< First service that sheds the request; empty if admitted.
  AdmissionLevel level;          ///< Worst level along the path.
  base::Duration retry_after{};  ///< When the caller may try again; zero if admitted.
};

/**
 * Admission levels of the services that a node calls, learned from answers. An answer carries the
 * lowest level along its call path, so an entry refuses what a service further down would refuse.
 * The level of a service is the median over the upstreams that reported, so that one upstream with
 * a wrong report cannot close the service. A level that no answer renews opens again within a
 * bounded time, so a stale report cannot keep the service closed either. Not thread-safe.
 */
class LoadLevelMap {
 public:
  /**
   * @param hold How long a report counts unchanged; not negative.
   * @param decay Time after the hold in which a report opens until it no longer counts; positive.
   * @throws AdmissionError if either is out of range.
   */
  LoadLevelMap(base::Duration hold, base::Duration decay);

  /**
   * Records the level that an answer carried.
   * @param service Service that was called.
   * @param upstream Hash of the upstream's identity.
   * @param level Worst level of its gate and of the gates below it on this path.
   * @param now Current time.
   */
  void Report(std::string_view service, std::uint64_t upstream, AdmissionLevel level,
              base::TimePoint now);

  /**
   * Decides whether a root request may be sent along a path. Only the entry uses it: for a call
   * further down, work has already been done, and the gate of the called upstream decides.
   * @param path Services that the request is known to call, in any order.
   * @param rank Class of the request.
   * @param key Shed key of its root.
   * @param now Current time.
   */
  PathVerdict Admit(std::span<const std::string> path, ClassRank rank, ShedKey key,
                    base::TimePoint now) const;

  /** @return The level of @p service at @p now; open if nothing is known. */
  AdmissionLevel LevelOf(std::string_view service, base::TimePoint now) const;

  /** @return The worst level of the services of @p path, to be reported to the caller. */
  AdmissionLevel WorstAlong(std::span<const std::string> path, base::TimePoint now) const;

  /** Removes reports that have decayed, and with them services that are no longer called. */
  void Expire(base::TimePoint now);

  /** @return Number of services with a report. */
  std::size_t size() const { return services_.size(); }

 private:
  struct LevelReport {
    AdmissionLevel level;
    base::TimePoint at;
  };
  struct Service {
    std::map<std::uint64_t, LevelReport> reports;  // By upstream.
    mutable AdmissionLevel median;                 // As of computed_at; used for many reports only.
    mutable base::TimePoint computed_at{};
  };

  AdmissionLevel Median(const Service& service, base::TimePoint now) const;
  AdmissionLevel Decayed(const LevelReport& report, base::TimePoint now) const;

  base::Duration hold_;
  base::Duration decay_;
  std::map<std::string, Service, std::less<>> services_;
};

}  // namespace borageloft::admission

#endif  // BORAGELOFT_ADMISSION_LOAD_LEVEL_MAP_H_
