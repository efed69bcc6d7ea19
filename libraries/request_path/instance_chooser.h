#ifndef BORAGELOFT_REQUEST_PATH_INSTANCE_CHOOSER_H_
#define BORAGELOFT_REQUEST_PATH_INSTANCE_CHOOSER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "libraries/directory/directory.h"
#include "libraries/wire/wire.h"

namespace borageloft::request_path {

/** How an attempt at an instance ended, as far as the choice of the next one is concerned. */
enum class AttemptEnd {
  kServed,   // A whole answer that is no server error.
  kFailed,   // A server error, or no whole answer.
  kRefused,  // The instance rejected it under load, or its gate had no room.
  kGone,     // The gate has no such instance, or it is leaving.
  kNoWord,   // The attempt was given up; only the time it took is known.
};

/** What the nodes that were tried already mean for the next choice. */
enum class TriedUse {
  kLeaveOut,
  kOnly,
};

/**
 * Chooses the instance of a service for each attempt: the one in the own availability
 * zone, or over which a call and the calls below it cross zones least often, as long as it has room
 * and works, then by latency, load and failures as this node has seen them and as gates have
 * reported. Callers' requests stay in the zone because their answers are long. Not thread-safe.
 */
class InstanceChooser {
 public:
  /** @param zone This node's availability zone. */
  explicit InstanceChooser(std::string zone) : zone_(std::move(zone)) {}

  /** Sets the hook that tells whether a node has not answered for longer than it should. */
  void set_is_silent(std::function<bool(const std::string& node)> hook) {
    is_silent_ = std::move(hook);
  }

  /** Replaces the records; what was learnt of an instance that stays is kept. */
  void Update(const std::map<std::string, directory::InstanceRecord>& records);

  /**
   * @param origin Whether it is a caller's request or a call of an upstream.
   * @param tried Nodes that were tried already.
   * @param use Whether they are left out, or alone come into question.
   * @return The record of the chosen instance, or null. Counts nothing as sent.
   */
  const directory::InstanceRecord* Choose(const std::string& service, wire::RequestOrigin origin,
                                          const std::vector<std::string>& tried, TriedUse use,
                                          base::TimePoint now, const base::Random& random);

  /** Records that an attempt was sent to the instance at @p node. */
  void RecordStart(const std::string& service, const std::string& node);

  /**
   * Records the end of an attempt.
   * @param took Time from the start of the attempt.
   * @param load What the gate reported; null if it reported nothing.
   */
  void RecordEnd(const std::string& service, const std::string& node, const std::string& instance,
                 AttemptEnd end, base::Duration took, const wire::LoadReport* load,
                 base::TimePoint now);

  /** @return Mean latency over the instances that have answered, in milliseconds; 0 if none has. */
  double TypicalLatencyMs(const std::string& service) const;

  /** @return Whether the service is known to make no calls. */
  bool IsLeaf(const std::string& service) const;

  /** @return Whether the service has an instance that takes work. */
  bool HasInstance(const std::string& service) const;

  /** @return Whether the service has an instance that takes work in this node's zone. */
  bool HasInstanceInZone(const std::string& service) const;

  /** @return Share of the slots in use over all instances of a service, as far as known. */
  double Utilization(const std::string& service, base::TimePoint now) const;

 private:
  struct Member {
    directory::InstanceRecord record;
    std::uint32_t in_flight = 0;
    double latency_ms = 0;  // Zero until the first answer.
    double failures = 0;    // Moving share of attempts that failed or were refused.
    double reported = 0;    // Share of the slots in use, as last reported.
    base::TimePoint reported_at{};
    base::TimePoint sampled_at{};
    base::TimePoint judged_at{};    // When `failures` last changed.
    base::TimePoint avoid_until{};  // Set when the instance was gone or unreachable.
  };

  using Members = std::vector<Member>;

  Member* FindMember(const std::string& service, const std::string& node);
  double UtilizationOf(const Member& member, base::TimePoint now) const;
  std::uint32_t CrossingsOf(const directory::InstanceRecord& record,
                            wire::RequestOrigin origin) const;
  static double FailuresOf(const Member& member, base::TimePoint now);
  double ScoreOf(const Member& member, double prior_ms, base::TimePoint now) const;

  std::string zone_;
  std::function<bool(const std::string& node)> is_silent_;
  std::unordered_map<std::string, Members> services_;
};

}  // namespace borageloft::request_path

#endif  // BORAGELOFT_REQUEST_PATH_INSTANCE_CHOOSER_H_
