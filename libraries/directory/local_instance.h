#ifndef BORAGELOFT_DIRECTORY_LOCAL_INSTANCE_H_
#define BORAGELOFT_DIRECTORY_LOCAL_INSTANCE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "libraries/directory/messages.h"

namespace borageloft::directory {

/** What an instance says of itself. */
struct Heartbeat {
  std::string instance;
  std::string service;
  std::uint64_t born = 0;      ///< Start of this life, in Unix milliseconds of its own clock.
  std::uint64_t sequence = 0;  ///< Rises with each message of one life.
  InstanceState state = InstanceState::kServing;
  std::uint32_t slots = 0;
  base::Duration warm_up_left{0};
};

/** How a heartbeat was taken. */
enum class HeartbeatOutcome {
  kTaken,         // It renewed or changed what is known.
  kLate,          // It is older than what is known; nothing changed.
  kOtherService,  // It is of a service that is not the one of this host.
};

/**
 * The instance on this host, by its own heartbeats. Lives are ordered by their birth and messages
 * within a life by their sequence, so that a late message of an ended life revives nothing.
 * Not thread-safe.
 */
class LocalInstance {
 public:
  /**
   * @param service Service of this host; heartbeats of another one are refused.
   * @param silence_limit Time without a heartbeat after which the instance counts as gone.
   */
  LocalInstance(std::string service, base::Duration silence_limit);

  HeartbeatOutcome HandleHeartbeat(const Heartbeat& heartbeat, base::TimePoint now);

  /**
   * Takes an instance that was found at the upstream's address and has said nothing itself since
   * this process started. Any heartbeat replaces what is taken here.
   * @return Whether it was taken; false once an instance was heard.
   */
  bool Adopt(const std::string& instance, std::uint32_t slots, base::TimePoint now);

  /** The instance @p instance said that it leaves. @return Whether it is the one known. */
  bool HandleLeave(const std::string& instance, base::TimePoint now);

  /** Forgets an instance that has been silent for too long. @return Whether it did. */
  bool ExpireIfSilent(base::TimePoint now);

  /** The instance was found to be another one or unreachable; it counts as gone until it is heard
   * again. */
  void Suspect() { is_suspect_ = true; }

  /** @return Id of the instance, or empty if there is none. */
  const std::string& instance() const { return heartbeat_.instance; }
  const std::string& service() const { return service_; }
  std::uint32_t slots() const { return heartbeat_.slots; }
  /** @return Whether an instance was heard or found since the start. */
  bool has_been_heard() const { return heard_at_ != base::TimePoint{}; }
  bool is_known() const { return !heartbeat_.instance.empty(); }
  bool is_suspect() const { return is_suspect_; }
  /**
   * @return When the instance was first known to leave, or nothing. The clock's origin if it left
   *     before this process knew it.
   */
  std::optional<base::TimePoint> leaving_since() const { return leaving_since_; }
  /** @return Time for which the instance remains slow. */
  base::Duration WarmUpLeft(base::TimePoint now) const;

 private:
  std::string service_;
  base::Duration silence_limit_;
  Heartbeat heartbeat_;
  std::uint64_t newest_birth_ = 0;
  base::TimePoint heard_at_{};
  bool is_suspect_ = false;
  std::optional<base::TimePoint> leaving_since_;
};

}  // namespace borageloft::directory

#endif  // BORAGELOFT_DIRECTORY_LOCAL_INSTANCE_H_
