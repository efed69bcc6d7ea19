#include "libraries/ledger/permit_gate.h"

namespace borageloft::ledger {

namespace {

// After this time the ledger refuses the key, so the gate needs no memory of it either.
base::WallTime EndOfWindow(const IdempotencyKey& key) {
  return base::WallTime(key.timestamp()) + kKeyWindow + kClockSkew;
}

}  // namespace

bool PermitGate::IsAllowed(PermitState from, PermitState to) {
  switch (to) {
    case PermitState::kWaiting:
      return false;
    case PermitState::kPermitted:
      return from == PermitState::kWaiting;
    case PermitState::kRunning:
      return from == PermitState::kPermitted;
    case PermitState::kFinished:
      // From waiting and releasing if the key ran elsewhere.
      return from == PermitState::kRunning || from == PermitState::kWaiting ||
             from == PermitState::kReleasing;
    case PermitState::kReleasing:
      // From running only if no byte reached the upstream.
      return from == PermitState::kWaiting || from == PermitState::kPermitted ||
             from == PermitState::kRunning;
    case PermitState::kNotRun:
      return from == PermitState::kWaiting || from == PermitState::kReleasing;
    case PermitState::kUncertain:
      return from == PermitState::kWaiting || from == PermitState::kReleasing ||
             from == PermitState::kRunning;
  }
  return false;
}

Offer PermitGate::OfferRequest(const IdempotencyKey& key, RequestDigest digest,
                               base::WallTime deadline, base::WallTime now) {
  if (key.AgeAt(now) != KeyAge::kWithinWindow) {
    return {.decision = OfferDecision::kUnknown, .grant = {}, .answer = {}};
  }
  if (const auto found = entries_.find(key); found != entries_.end()) {
    const Entry& entry = found->second;
    if (entry.digest != digest) {
      return {.decision = OfferDecision::kOtherDigest, .grant = {}, .answer = {}};
    }
    switch (entry.state) {
      case PermitState::kFinished:
        return {.decision = OfferDecision::kAnswer, .grant = {}, .answer = entry.answer};
      case PermitState::kNotRun:
        return {.decision = OfferDecision::kNotRun, .grant = {}, .answer = {}};
      case PermitState::kUncertain:
        return {.decision = OfferDecision::kUnknown, .grant = {}, .answer = {}};
      default:
        return {.decision = OfferDecision::kJoin, .grant = {}, .answer = {}};
    }
  }
  if (deadline <= now) {
    // An earlier attempt may have run elsewhere, so this is not known to be "not run".
    return {.decision = OfferDecision::kUnknown, .grant = {}, .answer = {}};
  }
  if (entries_.size() >= options_.maximum_keys) {
    return {.decision = OfferDecision::kFull, .grant = {}, .answer = {}};
  }
  Entry& entry = entries_[key];
  entry.digest = digest;
  entry.number = next_number_++;
  entry.deadline = deadline;
  pending_.insert(key);
  SetDue(key, entry, deadline);
  return {.decision = OfferDecision::kAskGrant,
          .grant = GrantCommand{IdOf(key, entry), digest, deadline},
          .answer = {}};
}

GateEvent PermitGate::HandleResult(const CommandResult& result, base::WallTime now) {
  const auto found = entries_.find(result.permit.key);
  if (found == entries_.end() || result.permit != IdOf(found->first, found->second)) {
    return {};
  }
  const Entry& entry = found->second;
  if (result.kind == CommandKind::kGrant && entry.state == PermitState::kWaiting) {
    return HandleGrant(found, result, now);
  }
  if (result.kind == CommandKind::kRelease && entry.state == PermitState::kReleasing) {
    return HandleRelease(found, result, now);
  }
  if (result.kind == CommandKind::kFinish && entry.state == PermitState::kFinished &&
      entry.is_pending) {
    return HandleFinish(found, result, now);
  }
  return {};
}

GateEvent PermitGate::HandleGrant(Entries::iterator found, const CommandResult& result,
                                  base::WallTime now) {
  Entry& entry = found->second;
  if (result.code != ResultCode::kGranted) {
    return HandleOutcome(found, result, now);
  }
  // The ledger repeats a grant only to its holder, so another digest here is a fault of ours.
  VERIFY(result.digest == entry.digest);
  if (result.deadline <= now) {
    GiveUp(found->first, entry);
    return {};
  }
  Move(entry, PermitState::kPermitted);
  entry.is_pending = false;
  pending_.erase(found->first);
  return {.decision = GateDecision::kPermitted,
          .permit = Permit{result.permit, result.digest, result.deadline},
          .answer = {}};
}

GateEvent PermitGate::HandleRelease(Entries::iterator found, const CommandResult& result,
                                    base::WallTime now) {
  VERIFY(result.code != ResultCode::kGranted);
  return HandleOutcome(found, result, now);
}

GateEvent PermitGate::HandleOutcome(Entries::iterator found, const CommandResult& result,
                                    base::WallTime now) {
  Entry& entry = found->second;
  switch (result.code) {
    case ResultCode::kFinished:
      entry.answer = result.answer;
      Confirm(found->first, entry, PermitState::kFinished, now);
      return {.decision = GateDecision::kAnswer, .permit = {}, .answer = result.answer};
    case ResultCode::kNotRun:
      Confirm(found->first, entry, PermitState::kNotRun, now);
      return {.decision = GateDecision::kNotRun, .permit = {}, .answer = {}};
    case ResultCode::kOtherDigest:
      // Forgotten at once, so that the rightful request of this key can still be offered.
      Erase(found);
      return {.decision = GateDecision::kOtherDigest, .permit = {}, .answer = {}};
    default:
      Confirm(found->first, entry, PermitState::kUncertain, now);
      return {.decision = GateDecision::kUnknown, .permit = {}, .answer = {}};
  }
}

GateEvent PermitGate::HandleFinish(Entries::iterator found, const CommandResult& result,
                                   base::WallTime now) {
  Entry& entry = found->second;
  // The ledger settles a granted key as not run only on this gate's word, and it ran.
  VERIFY(result.code != ResultCode::kNotRun);
  VERIFY(result.code != ResultCode::kHeldByOther);
  entry.is_pending = false;
  pending_.erase(found->first);
  SetDue(found->first, entry, now + options_.retention);
  return {.decision = GateDecision::kConfirmed, .permit = {}, .answer = {}};
}

PermitRefusal PermitGate::Begin(const Permit& permit, RequestDigest digest, base::WallTime now) {
  if (permit.id.node != node_) {
    return PermitRefusal::kOtherNode;
  }
  if (permit.id.incarnation != incarnation_) {
    return PermitRefusal::kOtherIncarnation;
  }
  const auto found = entries_.find(permit.id.key);
  if (found == entries_.end() || found->second.number != permit.id.number) {
    return PermitRefusal::kUnknownKey;
  }
  Entry& entry = found->second;
  if (permit.digest != digest || entry.digest != digest) {
    return PermitRefusal::kOtherDigest;
  }
  if (entry.state != PermitState::kPermitted) {
    return PermitRefusal::kUsed;
  }
  if (permit.deadline <= now || entry.deadline <= now) {
    GiveUp(found->first, entry);
    return PermitRefusal::kLate;
  }
  Move(entry, PermitState::kRunning);
  SetDue(found->first, entry, std::nullopt);
  return PermitRefusal::kNone;
}

std::optional<Command> PermitGate::Finish(const IdempotencyKey& key, RunEnd end, std::string answer,
                                          base::WallTime now) {
  const auto found = entries_.find(key);
  VERIFY(found != entries_.end());
  Entry& entry = found->second;
  VERIFY(entry.state == PermitState::kRunning);
  if (end == RunEnd::kUncertain) {
    Confirm(key, entry, PermitState::kUncertain, now);
    return std::nullopt;
  }
  if (end == RunEnd::kNotReached) {
    GiveUp(key, entry);
    return CommandFor(key, entry);
  }
  Move(entry, PermitState::kFinished);
  if (answer.size() <= kMaximumAnswerBytes) {
    entry.answer = std::move(answer);
  }
  entry.is_pending = true;
  pending_.insert(key);
  SetDue(key, entry, EndOfWindow(key));
  return CommandFor(key, entry);
}

std::vector<Command> PermitGate::Expire(base::WallTime now) {
  std::vector<Command> releases;
  while (!schedule_.empty() && schedule_.begin()->first <= now) {
    const auto found = entries_.find(schedule_.begin()->second);
    VERIFY(found != entries_.end());
    Entry& entry = found->second;
    if (entry.state == PermitState::kWaiting || entry.state == PermitState::kPermitted) {
      GiveUp(found->first, entry);
      releases.push_back(CommandFor(found->first, entry));
    } else {
      Erase(found);
    }
  }
  return releases;
}

WithdrawDecision PermitGate::Withdraw(const PermitId& id) {
  const auto found = entries_.find(id.key);
  if (found == entries_.end() || id != IdOf(found->first, found->second) ||
      found->second.state != PermitState::kWaiting || found->second.is_resent) {
    return WithdrawDecision::kTooLate;
  }
  // Should the command have been sent after all, its grant names a number that is never used.
  Erase(found);
  return WithdrawDecision::kWithdrawn;
}

std::vector<Command> PermitGate::PendingCommands() {
  std::vector<Command> commands;
  commands.reserve(pending_.size());
  for (const IdempotencyKey& key : pending_) {
    Entry& entry = entries_.at(key);
    entry.is_resent = true;
    commands.push_back(CommandFor(key, entry));
  }
  return commands;
}

std::optional<PermitState> PermitGate::StateOf(const IdempotencyKey& key) const {
  const auto found = entries_.find(key);
  return found == entries_.end() ? std::nullopt : std::optional(found->second.state);
}

void PermitGate::Move(Entry& entry, PermitState to) {
  VERIFY(IsAllowed(entry.state, to));
  entry.state = to;
}

void PermitGate::SetDue(const IdempotencyKey& key, Entry& entry,
                        std::optional<base::WallTime> due) {
  if (entry.due) {
    schedule_.erase({*entry.due, key});
  }
  entry.due = due;
  if (due) {
    schedule_.emplace(*due, key);
  }
}

void PermitGate::Erase(Entries::iterator found) {
  // A running key must be remembered, or its permit could be asked for and used again.
  VERIFY(found->second.state != PermitState::kRunning);
  const IdempotencyKey key = found->first;
  SetDue(key, found->second, std::nullopt);
  pending_.erase(key);
  entries_.erase(found);
}

void PermitGate::Confirm(const IdempotencyKey& key, Entry& entry, PermitState state,
                         base::WallTime now) {
  Move(entry, state);
  entry.is_pending = false;
  pending_.erase(key);
  SetDue(key, entry, now + options_.retention);
}

void PermitGate::GiveUp(const IdempotencyKey& key, Entry& entry) {
  Move(entry, PermitState::kReleasing);
  entry.is_pending = true;
  pending_.insert(key);
  SetDue(key, entry, EndOfWindow(key));
}

PermitId PermitGate::IdOf(const IdempotencyKey& key, const Entry& entry) const {
  return {.key = key, .node = node_, .incarnation = incarnation_, .number = entry.number};
}

Command PermitGate::CommandFor(const IdempotencyKey& key, const Entry& entry) const {
  switch (entry.state) {
    case PermitState::kWaiting:
      return GrantCommand{IdOf(key, entry), entry.digest, entry.deadline};
    case PermitState::kFinished:
      return FinishCommand{IdOf(key, entry), entry.answer};
    default:
      VERIFY(entry.state == PermitState::kReleasing);
      return ReleaseCommand{IdOf(key, entry), entry.digest};
  }
}

}  // namespace borageloft::ledger
