#ifndef BORAGELOFT_MEMBERSHIP_LOCAL_UPSTREAM_H_
#define BORAGELOFT_MEMBERSHIP_LOCAL_UPSTREAM_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "libraries/base/base.h"
#include "libraries/membership/messages.h"

namespace borageloft::membership {

/** Body of an announcement or a renewal. */
struct Announcement {
  std::string service;
  std::string address;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  base::Duration lease{};
};

/** Why an announcement is refused. */
enum class AnnounceRefusal : std::uint8_t {
  kNone,
  kServiceInvalid,      ///< Empty, too long or with characters outside [a-z0-9-].
  kAddressInvalid,      ///< Empty or too long.
  kSlotsInvalid,        ///< Zero or above kMaximumSlots.
  kConnectionsInvalid,  ///< Zero or above kMaximumSlots.
  kLeaseInvalid,        ///< Outside [minimum, maximum] lease.
  kOtherService,        ///< Contradicts the current announcement, which has to leave first.
  kOtherAddress,        ///< Contradicts the current announcement, which has to leave first.
  kStillLeaving,        ///< Work of the previous announcement is still in flight.
  kLeavingByNote,       ///< The release note in force says that the upstream leaves.
  kNodeStopping,        ///< The node itself shuts down.
};

/** @return Stable name of a refusal, in lower-case words joined by hyphens. */
const char* NameOf(AnnounceRefusal refusal);

/** What the release note in force says of the upstream. */
enum class NoteInstruction : std::uint8_t { kUnnamed, kJoining, kServing, kLeaving };

/** Bounds of the announced lease. */
struct LocalUpstreamSettings {
  base::Duration minimum_lease = std::chrono::milliseconds(500);
  base::Duration maximum_lease = std::chrono::minutes(10);
};

/**
 * Life cycle of the upstream beside a node: absent, joining, serving, leaving, gone. It counts the
 * work in flight itself and reports gone only when that work has ended. A new announcement after
 * gone, or after a release note withdrew its leaving, has a higher announcement number.
 * Not thread-safe.
 */
class LocalUpstream {
 public:
  /** Called after each change of state or content; nothing when no upstream is to be known. */
  using ChangeHook = std::function<void(const std::optional<UpstreamData>&, base::TimePoint)>;

  LocalUpstream(LocalUpstreamSettings settings, ChangeHook on_change);

  /**
   * Announces the upstream or renews its lease. Slots and connections may differ in a renewal.
   * @return kNone when accepted; otherwise nothing has changed.
   */
  AnnounceRefusal Announce(const Announcement& announcement, base::TimePoint now);

  /** The node has reached the upstream: joining becomes serving unless the note holds it back. */
  void ConfirmReachable(base::TimePoint now);

  /** Explicit leave by the upstream itself. @return Whether there was an upstream to leave. */
  bool Leave(base::TimePoint now);

  /** The node shuts down: the upstream leaves and no further announcement is accepted. */
  void BeginNodeStop(base::TimePoint now);

  /** Applies what the release note in force says of this upstream. */
  void ApplyNote(NoteInstruction instruction, base::TimePoint now);

  /** Ends the lease when it is due. */
  void Tick(base::TimePoint now);

  /** Counts a request that was handed to the upstream. Only allowed while serving. */
  void BeginWork();

  /** Counts the end of a request; the last one of a leaving upstream makes it gone. */
  void EndWork(base::TimePoint now);

  UpstreamState state() const { return data_.state; }
  std::uint64_t in_flight() const { return in_flight_; }
  /** @return Whether the gate may hand new work to the upstream. */
  bool is_accepting() const { return data_.state == UpstreamState::kServing; }
  /** @return What was announced; nothing while absent or gone. */
  std::optional<UpstreamData> data() const;

 private:
  AnnounceRefusal CheckBounds(const Announcement& announcement) const;
  AnnounceRefusal CheckState(const Announcement& announcement) const;
  void MoveTo(UpstreamState state, base::TimePoint now);
  void FinishLeaving(base::TimePoint now);
  bool is_present() const;

  LocalUpstreamSettings settings_;
  ChangeHook on_change_;
  UpstreamData data_;
  base::TimePoint lease_end_;
  std::uint64_t in_flight_ = 0;
  NoteInstruction note_ = NoteInstruction::kUnnamed;
  bool is_reachable_ = false;
  bool is_stopping_ = false;
};

}  // namespace borageloft::membership

#endif  // BORAGELOFT_MEMBERSHIP_LOCAL_UPSTREAM_H_
