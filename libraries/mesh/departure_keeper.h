#ifndef BORAGELOFT_MESH_DEPARTURE_KEEPER_H_
#define BORAGELOFT_MESH_DEPARTURE_KEEPER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "libraries/directory/directory.h"

namespace borageloft::mesh {

/** Hooks of a DepartureKeeper. */
struct DepartureKeeperHooks {
  base::Clock clock;
  /** Sends bytes to control hosts; they may be lost. */
  std::function<void(std::string bytes)> send;
};

/** Whether a departure is recorded at the control hosts. */
enum class RecordOutcome {
  kRecorded,  // Durably, so that a restarted node learns of it.
  kUnknown,   // The control hosts did not confirm it in time; it may be recorded.
};

/**
 * Records at the control hosts that an instance process has left, before the node acknowledges it,
 * and recalls after a start of the node which processes had left. Until then the node must not use
 * its instance. Not thread-safe.
 */
class DepartureKeeper {
 public:
  using RecordCallback = std::function<void(RecordOutcome outcome)>;

  /**
   * @param node Name of this node.
   * @param epoch Identifies this process of the node.
   * @param instance Receives the recorded departures; must outlive this object.
   */
  DepartureKeeper(std::string node, std::uint64_t epoch, directory::LocalInstance& instance,
                  DepartureKeeperHooks hooks);

  /** Asks which processes have left. */
  void Start();

  /** Records a departure. @param callback Called exactly once, at the latest after the timeout. */
  void Record(const directory::Incarnation& departed, RecordCallback callback);

  /** Repeats the requests that were not answered. Must be called every poll interval. */
  void Poll();

  /** Handles the answer of a control host. */
  void Receive(const directory::DepartureAnswer& answer);

  /** @return Whether the departures before the start of this process are known. */
  bool has_recalled() const { return has_recalled_; }

  /** Time between two polls. */
  static constexpr std::chrono::milliseconds kPollInterval{100};
  /** Time after which a departure that is not confirmed counts as unknown; the sender of a leave
   * waits for one second. */
  static constexpr std::chrono::milliseconds kTimeout{850};

 private:
  struct Pending {
    directory::Incarnation departed;
    base::TimePoint due;
    RecordCallback callback;
  };

  bool IsRecorded(const directory::Incarnation& departed) const;
  void Send(const directory::Incarnation& departed);

  std::string node_;
  std::uint64_t epoch_;
  directory::LocalInstance& instance_;
  DepartureKeeperHooks hooks_;
  bool has_recalled_ = false;
  std::vector<directory::Incarnation> recorded_;  // As of the last answer.
  std::vector<Pending> pending_;
};

}  // namespace borageloft::mesh

#endif  // BORAGELOFT_MESH_DEPARTURE_KEEPER_H_
