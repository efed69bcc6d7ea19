#ifndef BORAGELOFT_DIRECTORY_LOCAL_INSTANCE_H_
#define BORAGELOFT_DIRECTORY_LOCAL_INSTANCE_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "libraries/directory/messages.h"

namespace borageloft::directory {

/** Heartbeat that an instance sends about itself. */
struct Heartbeat {
  std::string instance;
  std::string service;
  std::uint64_t born = 0;      ///< Start of the process, in Unix milliseconds of its own clock.
  std::uint64_t sequence = 0;  ///< Increases with each message of the same process.
  InstanceState state = InstanceState::kServing;
  std::uint32_t slots = 0;
  base::Duration warm_up_left{0};  ///< Time for which the instance remains slow after its start.
};

/** Result of handling a heartbeat. */
enum class HeartbeatOutcome {
  kTaken,         // The heartbeat renewed or changed the known state.
  kLate,          // The heartbeat is older than the known state and was ignored.
  kOtherService,  // The heartbeat is of a service other than the one of this host and was ignored.
};

/**
 * State of the instance on this host, as known from its heartbeats. Processes are ordered by their
 * start time, and the messages of a process by their sequence number, so that a delayed message of
 * an ended process has no effect. As clocks can be set back between two starts, a process with an
 * earlier start replaces one that has fallen silent if its heartbeats keep arriving. A process that
 * has announced its leaving is remembered and never serves again, however late a heartbeat of it
 * arrives. Not thread-safe.
 */
class LocalInstance {
 public:
  /**
   * @param service Service of this host; heartbeats of other services are ignored.
   * @param silence_limit Time without a heartbeat after which the instance is considered gone.
   */
  LocalInstance(std::string service, base::Duration silence_limit);

  /** Updates the state from a heartbeat, unless it is late or of another service. */
  HeartbeatOutcome HandleHeartbeat(const Heartbeat& heartbeat, base::TimePoint now);

  /**
   * Adopts an instance that was discovered at the upstream's address, before any heartbeat was
   * received. The first heartbeat replaces it.
   * @return Whether it was adopted; false if an instance was heard or adopted before, if a process
   *     under this id has left, or if @p instance is empty.
   */
  bool Adopt(const std::string& instance, std::uint32_t slots, base::TimePoint now);

  /** Handles the announcement that @p incarnation leaves. @return Whether it is the known one. */
  bool HandleLeave(const Incarnation& incarnation, base::TimePoint now);

  /** @return The newest process known under @p instance, which may have left; with a start of 0 if
   * none is known. */
  Incarnation Identify(const std::string& instance) const;

  /** Removes the instance if it has been silent for too long. @return Whether it was removed. */
  bool ExpireIfSilent(base::TimePoint now);

  /**
   * Treats every instance as unknown until RecallDepartures(). A node calls this at its start, when
   * it does not know what an earlier process of it has acknowledged.
   */
  void AwaitDepartures() { awaits_departures_ = true; }

  /** Takes over the processes that are recorded as having left this host. */
  void RecallDepartures(const std::vector<Incarnation>& departed);

  /**
   * Marks the instance as gone until its next heartbeat, because it was unreachable or another
   * instance answered in its place.
   */
  void Suspect() { is_suspect_ = true; }

  /** @return Id of the instance, or empty if there is none. */
  std::string instance() const { return is_silent_ ? "" : heartbeat_.instance; }
  Incarnation incarnation() const { return {instance(), heartbeat_.born}; }
  const std::string& service() const { return service_; }
  std::uint32_t slots() const { return heartbeat_.slots; }
  /** @return Whether an instance was heard or adopted since this process started. */
  bool has_been_heard() const { return heard_at_ != base::TimePoint{}; }
  bool is_known() const { return !awaits_departures_ && !instance().empty(); }
  bool is_suspect() const { return is_suspect_; }
  /**
   * @return Time at which the instance was first known to leave, or nothing if it is not leaving.
   *     The clock's epoch if it was already leaving when this process first heard from it.
   */
  std::optional<base::TimePoint> leaving_since() const { return leaving_since_; }
  /** @return Time for which the instance remains slow after its start. */
  base::Duration WarmUpLeft(base::TimePoint now) const;

 private:
  struct Departed {
    Incarnation incarnation;
    base::TimePoint since;
  };

  // A process that seems to be older than the current one but whose heartbeats keep arriving.
  struct Challenger {
    Incarnation incarnation;
    std::uint64_t sequence = 0;
    base::TimePoint first_heard_at;
    base::TimePoint heard_at;
  };

  bool SeemsOlder(const Heartbeat& heartbeat) const;
  // Records a heartbeat of a process that seems older. Returns whether that process has outlived
  // the current one.
  bool HasOutlivedCurrent(const Heartbeat& heartbeat, base::TimePoint now);
  // A process of unknown start may be any that has left under its id.
  const Departed* FindDeparted(const Incarnation& incarnation) const;
  // Completes the leave of a process whose start was not known by its first heartbeat since then.
  void IdentifyDeparted(const Incarnation& incarnation, base::TimePoint now);
  void RememberDeparted(const Incarnation& incarnation, base::TimePoint since);

  // Number of processes remembered as having left. Releases follow each other more slowly than
  // heartbeats can be delayed.
  static constexpr std::size_t kMaxDeparted = 8;
  // Time for which a heartbeat is taken to be of the process that left under its id without a
  // start. It covers two heartbeat intervals; a successor is heard later, since an instance serves
  // for some seconds after its leave.
  static constexpr std::chrono::milliseconds kIdentificationTime{3000};

  std::string service_;
  base::Duration silence_limit_;
  Heartbeat heartbeat_;
  std::uint64_t newest_start_ = 0;
  std::optional<Challenger> challenger_;
  // Process that was replaced by one with an earlier start. Its delayed heartbeats must not undo
  // that, although its start is later.
  std::optional<Incarnation> outlived_;
  base::TimePoint heard_at_{};
  bool is_suspect_ = false;
  // Set once the instance was silent for too long. `heartbeat_` is kept, so that delayed messages
  // of the process are still recognized as late.
  bool is_silent_ = false;
  bool awaits_departures_ = false;
  std::optional<base::TimePoint> leaving_since_;
  std::deque<Departed> departed_;  // The oldest comes first.
};

}  // namespace borageloft::directory

#endif  // BORAGELOFT_DIRECTORY_LOCAL_INSTANCE_H_
