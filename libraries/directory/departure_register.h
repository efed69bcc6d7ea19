#ifndef BORAGELOFT_DIRECTORY_DEPARTURE_REGISTER_H_
#define BORAGELOFT_DIRECTORY_DEPARTURE_REGISTER_H_

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/directory/messages.h"

namespace borageloft::directory {

/** The instance process at a node has announced that it leaves. */
struct Departure {
  std::string node;
  Incarnation incarnation;

  friend bool operator==(const Departure&, const Departure&) = default;
};

/** @return @p departure as an entry of the replicated log. */
std::string EncodeDeparture(const Departure& departure);

/** @throws DirectoryError If @p bytes are not a valid departure. */
Departure DecodeDeparture(std::string_view bytes);

/**
 * Replicated state machine that remembers which instance processes have left. Nodes have no disk,
 * so a node that restarts learns from it which process must not serve again. The memory is bounded:
 * the newest departures of a node, and of all nodes, are kept. Deterministic; not thread-safe.
 */
class DepartureRegister {
 public:
  /** Adds a departure; one that is known already changes nothing. */
  void Add(const Departure& departure);

  /** @return Whether @p departure is known. */
  bool Contains(const Departure& departure) const;

  /** @return Processes that have left at @p node, the oldest first. */
  std::vector<Incarnation> DeparturesAt(const std::string& node) const;

  /** @return The serialized state. */
  std::string Snapshot() const;

  /**
   * Replaces the state by a snapshot. Empty @p data stands for no departures.
   * @throws DirectoryError If @p data is not a valid snapshot.
   */
  void Restore(std::string_view data);

  std::size_t size() const { return departures_.size(); }

  /** Maximum departures kept of a node. Its heartbeats are delayed by less than two releases. */
  static constexpr std::size_t kMaxPerNode = 4;
  /** Maximum departures kept in total: more than two for each of 6,400 nodes. */
  static constexpr std::size_t kMaxDepartures = 16'384;

 private:
  std::deque<Departure> departures_;  // The oldest comes first.
};

}  // namespace borageloft::directory

#endif  // BORAGELOFT_DIRECTORY_DEPARTURE_REGISTER_H_
