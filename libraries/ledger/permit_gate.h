#ifndef BORAGELOFT_LEDGER_PERMIT_GATE_H_
#define BORAGELOFT_LEDGER_PERMIT_GATE_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "libraries/ledger/ledger_command.h"

namespace borageloft::ledger {

/** State of a key at its gate. */
enum class PermitState {
  kWaiting,    ///< The grant was asked for.
  kPermitted,  ///< Granted, not started.
  kRunning,    ///< A byte may have reached the upstream.
  kFinished,   ///< Ran; the first answer is known, or was too large to keep.
  kReleasing,  ///< Will never run here; the ledger has not confirmed it.
  kNotRun,     ///< Did not run; the ledger has confirmed it.
  kUncertain,  ///< Whether it ran is not known.
};

/** Permission to run one request once on one node. */
struct Permit {
  PermitId id;
  RequestDigest digest{};
  base::WallTime deadline;
};

/** What to do with an offered request. */
enum class OfferDecision {
  kAskGrant,     ///< Send the grant command; the caller waits.
  kJoin,         ///< The same request is in progress; the caller waits for its outcome.
  kAnswer,       ///< Give the caller the first answer.
  kNotRun,       ///< Tell the caller that the request did not run.
  kUnknown,      ///< Tell the caller that the outcome is unknown.
  kOtherDigest,  ///< Refuse: the key was used for another request.
  kFull,         ///< Refuse: this attempt asked for no grant, since the gate has no room.
};

/** Answer to PermitGate::Offer. */
struct Offer {
  OfferDecision decision = OfferDecision::kUnknown;
  std::optional<GrantCommand> grant;  ///< With kAskGrant.
  std::optional<std::string> answer;  ///< With kAnswer; nothing if it was too large to keep.
};

/** What a ledger result means for the callers that wait for a key. */
enum class GateDecision {
  kIgnored,      ///< Late, repeated or for an earlier incarnation.
  kPermitted,    ///< Queue the request; call Begin() when its turn comes.
  kAnswer,       ///< Give them the first answer.
  kNotRun,       ///< Tell them that the request did not run.
  kUnknown,      ///< Tell them that the outcome is unknown.
  kOtherDigest,  ///< Refuse: the key was used for another request.
  kConfirmed,    ///< The ledger has stored the outcome; they have their answer already.
};

/** Answer to PermitGate::HandleResult. */
struct GateEvent {
  GateDecision decision = GateDecision::kIgnored;
  std::optional<Permit> permit;       ///< With kPermitted.
  std::optional<std::string> answer;  ///< With kAnswer.
};

/** Why a permit is refused. */
enum class PermitRefusal {
  kNone,              ///< Not refused: the request runs now.
  kOtherNode,         ///< For another node.
  kOtherIncarnation,  ///< For an earlier life of this node.
  kUnknownKey,        ///< The gate does not hold this attempt.
  kOtherDigest,       ///< For another request.
  kUsed,              ///< Already used, or given up.
  kLate,              ///< The deadline has passed.
};

/** How a run ended. */
enum class RunEnd {
  kAnswered,
  kNotReached,  ///< No byte of the request can ever reach the upstream's handler.
  kUncertain,   ///< The connection broke or the time ended after a byte may have been sent.
};

/** Whether a request could be withdrawn. */
enum class WithdrawDecision {
  kWithdrawn,  ///< This attempt will never run; the gate has forgotten it.
  kTooLate,    ///< The grant may have been asked for; only a release can end it as not run.
};

/** Settings of a gate. */
struct PermitGateOptions {
  /** Most keys held; further requests are refused with kFull. */
  std::size_t maximum_keys = 20'000;
  /** How long an outcome that the ledger has confirmed is kept to answer resends. */
  base::Duration retention = std::chrono::minutes(2);
};

/**
 * Runs each key at most once on one node: it asks the ledger for grants, fences permits, and
 * answers resends. A request reaches kRunning only from kPermitted, and a key given up is never
 * run, so a release sent to the ledger is always true. Not thread-safe.
 */
class PermitGate {
 public:
  /**
   * @param node This node.
   * @param incarnation Must be higher than in every earlier life of this node.
   * @param options Settings.
   */
  PermitGate(NodeId node, std::uint64_t incarnation, PermitGateOptions options = {})
      : node_(node), incarnation_(incarnation), options_(options) {}

  /**
   * Takes a request.
   * @param key Its key.
   * @param digest Its digest.
   * @param deadline When its caller stops waiting; it is not begun after this.
   * @param now Current time.
   */
  Offer OfferRequest(const IdempotencyKey& key, RequestDigest digest, base::WallTime deadline,
                     base::WallTime now);

  /** Takes a result from the ledger. */
  GateEvent HandleResult(const CommandResult& result, base::WallTime now);

  /**
   * Uses a permit; on kNone the caller must run the request and call Finish().
   * @param permit The permit.
   * @param digest Digest of the request that is about to run.
   * @param now Current time.
   */
  PermitRefusal Begin(const Permit& permit, RequestDigest digest, base::WallTime now);

  /**
   * Ends the run of a key.
   * @param key A running key.
   * @param end How it ended.
   * @param answer The answer with kAnswered; not kept if it exceeds kMaximumAnswerBytes.
   * @param now Current time.
   * @return Command to send to the ledger; nothing with kUncertain.
   */
  std::optional<Command> Finish(const IdempotencyKey& key, RunEnd end, std::string answer,
                                base::WallTime now);

  /**
   * Gives up keys whose deadline has passed before they ran, and forgets old outcomes.
   * @return Release commands to send. Their callers hear "not run" only when HandleResult() says
   * so, and "unknown" if they stop waiting earlier.
   */
  std::vector<Command> Expire(base::WallTime now);

  /**
   * Takes back a request whose grant command was not sent, because no quorum can be reached. The
   * caller may then hear "not run" for this attempt. An earlier attempt through another node may
   * still hold the grant; this gate cannot know that without the ledger.
   * @param id Permit id of the grant command that OfferRequest() returned.
   */
  WithdrawDecision Withdraw(const PermitId& id);

  /** @return All commands that the ledger has not answered, to be sent again from time to time. */
  std::vector<Command> PendingCommands();

  /** @return State of a key, or nothing if it is not held. */
  std::optional<PermitState> StateOf(const IdempotencyKey& key) const;
  /** @return Number of keys held. */
  std::size_t key_count() const { return entries_.size(); }
  /** @return Incarnation of this gate. */
  std::uint64_t incarnation() const { return incarnation_; }

 private:
  struct Entry {
    PermitState state = PermitState::kWaiting;
    RequestDigest digest{};
    std::uint64_t number = 0;
    base::WallTime deadline;
    std::optional<std::string> answer;
    bool is_pending = true;             // A command waits for the ledger's answer.
    bool is_resent = false;             // PendingCommands() has returned the grant command.
    std::optional<base::WallTime> due;  // When Expire() looks at the entry next.
  };
  using Entries = std::unordered_map<IdempotencyKey, Entry, IdempotencyKeyHash>;

  static bool IsAllowed(PermitState from, PermitState to);
  void Move(Entry& entry, PermitState to);
  void SetDue(const IdempotencyKey& key, Entry& entry, std::optional<base::WallTime> due);
  void Erase(Entries::iterator found);
  void Confirm(const IdempotencyKey& key, Entry& entry, PermitState state, base::WallTime now);
  void GiveUp(const IdempotencyKey& key, Entry& entry);
  GateEvent HandleGrant(Entries::iterator found, const CommandResult& result, base::WallTime now);
  GateEvent HandleRelease(Entries::iterator found, const CommandResult& result, base::WallTime now);
  GateEvent HandleOutcome(Entries::iterator found, const CommandResult& result, base::WallTime now);
  GateEvent HandleFinish(Entries::iterator found, const CommandResult& result, base::WallTime now);
  PermitId IdOf(const IdempotencyKey& key, const Entry& entry) const;
  Command CommandFor(const IdempotencyKey& key, const Entry& entry) const;

  NodeId node_;
  std::uint64_t incarnation_;
  PermitGateOptions options_;
  std::uint64_t next_number_ = 1;
  Entries entries_;
  std::set<std::pair<base::WallTime, IdempotencyKey>> schedule_;
  std::set<IdempotencyKey> pending_;
};

}  // namespace borageloft::ledger

#endif  // BORAGELOFT_LEDGER_PERMIT_GATE_H_
