#ifndef BORAGELOFT_MESH_FRESHNESS_KEEPER_H_
#define BORAGELOFT_MESH_FRESHNESS_KEEPER_H_

#include <functional>
#include <optional>
#include <string>

#include "libraries/declaration/declaration.h"
#include "libraries/directory/directory.h"

namespace borageloft::mesh {

/** Hooks of a FreshnessKeeper. */
struct FreshnessHooks {
  /** Clock that also counts the time for which the machine was suspended. */
  base::Clock clock;
  /** Sends a message to the leader of the control group; it may be lost. */
  std::function<void(const directory::Message& message)> send_to_leader;
  /** Sends a message to a control host; it may be lost. */
  std::function<void(const std::string& host, const directory::Message& message)> send;
  /**
   * Reads the version in force, once a majority has confirmed that this host leads.
   * @param done Called with the version, or with nothing if this host does not lead.
   */
  std::function<void(std::function<void(std::optional<declaration::Version>)> done)> read_newest;
  /** Whether this host leads, as far as it knows. */
  std::function<bool()> is_leader;
  /** Version that this host has applied. */
  std::function<declaration::Version()> applied_version;
};

/**
 * Bounds the age of what a control host knows of the declarations in force. Having a leader is no
 * bound: a host that was frozen, or whose connections held back old messages, learns late that the
 * leader has gone. The age therefore counts from when this host sent the last question that the
 * leader answered after a majority had confirmed it. Questions are sent only while nodes ask for
 * the age. Not thread-safe.
 */
class FreshnessKeeper {
 public:
  explicit FreshnessKeeper(FreshnessHooks hooks) : hooks_(std::move(hooks)) {}

  /** Records that a node asks for the age. Sends a question at once if nobody had asked lately. */
  void RecordInterest();

  /** Sends the next question; must be called every kPollInterval. */
  void Poll();

  /** Handles a question of the control host at an address; only the leader answers. */
  void HandleRequest(const std::string& from, const directory::FreshnessRequest& request);

  void HandleAnswer(const directory::FreshnessAnswer& answer);

  /** @return Upper bound of the age, or nothing while there is none. */
  std::optional<base::Duration> Age();

  /** Nodes poll every 300 ms; a shorter interval here would not make their knowledge newer. */
  static constexpr std::chrono::milliseconds kPollInterval{200};

 private:
  // Nodes ask every 300 ms as long as they need the age.
  static constexpr std::chrono::seconds kInterestTime{2};

  bool HasInterest(base::TimePoint now) const {
    return asked_at_ && now - *asked_at_ <= kInterestTime;
  }
  void Confirm(base::TimePoint sent_at, declaration::Version version);

  FreshnessHooks hooks_;
  std::optional<base::TimePoint> asked_at_;
  std::optional<base::TimePoint> confirmed_at_;
  // An answer that names a version which this host has not applied yet.
  base::TimePoint pending_sent_at_{};
  declaration::Version pending_version_ = 0;
};

}  // namespace borageloft::mesh

#endif  // BORAGELOFT_MESH_FRESHNESS_KEEPER_H_
