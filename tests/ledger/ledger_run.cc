#include "tests/ledger/ledger_run.h"

#include <algorithm>

namespace borageloft::ledger {

namespace {

constexpr std::size_t kGates = 4;
// Few keys at a time, so that gates compete for the same ones.
constexpr std::size_t kRecentKeys = 8;
constexpr LedgerLimits kLimits{.maximum_keys = 3'000, .maximum_answer_bytes = 2'000};

}  // namespace

LedgerRun::LedgerRun(std::uint64_t seed)
    : random_(base::SeededRandom(seed)),
      gates_(kGates),
      batcher_({.maximum_commands = 8,
                .maximum_bytes = 2 * kMaximumAnswerBytes,
                .maximum_queued = 32,
                .linger = std::chrono::milliseconds(3)}),
      ledger_(kLimits),
      replica_(kLimits) {
  for (std::size_t i = 0; i < kGates; ++i) {
    Restart(i);
  }
}

void LedgerRun::Step() {
  const std::size_t index = Draw(kGates);
  Gate& gate = gates_[index];
  now_ += std::chrono::milliseconds(Draw(10));
  steady_ += std::chrono::milliseconds(1);
  const std::uint64_t draw = Draw(1000);
  if (draw < 200) {
    OfferRequest(index);
  } else if (draw < 650) {
    Deliver();
  } else if (draw < 750) {
    ApplyBatch();
  } else if (draw < 830) {
    TryPermit(gate);
  } else if (draw < 920) {
    FinishRun(index);
  } else if (draw < 960) {
    for (const Command& command : gate.gate->Expire(NowAt(gate))) {
      Send(index, command);
    }
  } else if (draw < 990) {
    for (const Command& command : gate.gate->PendingCommands()) {
      Send(index, command);
    }
  } else if (draw < 992) {
    Restart(index);
  } else if (draw < 996) {
    RestoreFromSnapshot();
  } else if (Draw(40) == 0) {
    now_ += std::chrono::hours(Draw(26));
  }
}

void LedgerRun::OfferRequest(std::size_t index) {
  Gate& gate = gates_[index];
  if (callers_.empty() || Draw(6) == 0) {
    const base::Duration caller_error = std::chrono::seconds(Draw(60)) - std::chrono::seconds(30);
    callers_.push_back(
        {IdempotencyKey::Generate(now_ + caller_error, random_), RequestDigest{random_()}});
  }
  const bool is_old = callers_.size() > kRecentKeys && Draw(10) == 0;
  const std::size_t place =
      is_old ? Draw(callers_.size())
             : callers_.size() - 1 - Draw(std::min(kRecentKeys, callers_.size()));
  const Caller& caller = callers_[place];
  const bool has_other_digest = Draw(50) == 0;
  const RequestDigest digest = has_other_digest
                                   ? RequestDigest{static_cast<std::uint64_t>(caller.digest) + 1}
                                   : caller.digest;
  const base::WallTime deadline = NowAt(gate) + std::chrono::milliseconds(Draw(10'000));
  const Offer offer = gate.gate->OfferRequest(caller.key, digest, deadline, NowAt(gate));
  switch (offer.decision) {
    case OfferDecision::kAskGrant:
      // The command is sometimes sent although it is withdrawn: its grant must have no effect.
      Send(index, Command(*offer.grant));
      if (Draw(20) == 0 &&
          gate.gate->Withdraw(offer.grant->permit) == WithdrawDecision::kWithdrawn) {
        withdrawn_[caller.key].push_back(offer.grant->permit);
      }
      break;
    case OfferDecision::kNotRun:
      ObserveNotRun(caller.key);
      break;
    case OfferDecision::kAnswer:
      Require(runs_[caller.key] == 1, "an answer exists only for a key that ran", caller.key);
      Require(!offer.answer || *offer.answer == caller.key.ToString(),
              "the answer belongs to the key", caller.key);
      ++counts_.answered_again;
      break;
    case OfferDecision::kUnknown:
      ++counts_.unknown;
      break;
    default:
      break;
  }
}

void LedgerRun::TryPermit(Gate& gate) {
  if (gate.permits.empty()) {
    return;
  }
  const bool is_old = Draw(3) == 0;
  const Permit permit = is_old ? gate.permits[Draw(gate.permits.size())] : gate.permits.back();
  if (gate.gate->Begin(permit, permit.digest, NowAt(gate)) != PermitRefusal::kNone) {
    ++counts_.refused_permits;
    return;
  }
  const std::vector<PermitId>& withdrawn = withdrawn_[permit.id.key];
  Require(std::find(withdrawn.begin(), withdrawn.end(), permit.id) == withdrawn.end(),
          "a withdrawn attempt never runs", permit.id.key);
  gate.running.insert(permit.id.key);
}

void LedgerRun::FinishRun(std::size_t index) {
  Gate& gate = gates_[index];
  if (gate.running.empty()) {
    return;
  }
  auto found = gate.running.begin();
  std::advance(found, Draw(gate.running.size()));
  const IdempotencyKey key = *found;
  gate.running.erase(found);
  const std::uint64_t draw = Draw(10);
  const RunEnd end = draw < 7   ? RunEnd::kAnswered
                     : draw < 9 ? RunEnd::kNotReached
                                : RunEnd::kUncertain;
  const bool has_reached = end == RunEnd::kAnswered || (end == RunEnd::kUncertain && Draw(2) == 0);
  if (has_reached) {
    ++counts_.ran;
    Require(++runs_[key] == 1, "no key runs twice", key);
    Require(!told_not_run_.contains(key), "a key told as not run never runs", key);
  }
  if (const auto command = gate.gate->Finish(key, end, key.ToString(), NowAt(gate))) {
    Send(index, *command);
  }
}

void LedgerRun::Restart(std::size_t index) {
  Gate& gate = gates_[index];
  for (const IdempotencyKey& key : gate.running) {
    // The upstream may have handled what ran when the gate stopped.
    if (Draw(2) == 0) {
      Require(++runs_[key] == 1, "no key runs twice", key);
      Require(!told_not_run_.contains(key), "a key told as not run never runs", key);
    }
  }
  gate.running.clear();
  ++counts_.restarts;
  gate.clock_error = std::chrono::seconds(Draw(60)) - std::chrono::seconds(30);
  // Permits of the earlier life stay in the list, to be refused.
  gate.gate = std::make_unique<PermitGate>(
      NodeId{index + 1}, ++gate.incarnation,
      PermitGateOptions{.maximum_keys = 200, .retention = std::chrono::seconds(5)});
}

void LedgerRun::Send(std::size_t index, std::variant<Command, CommandResult> content) {
  if (messages_.size() < 500) {
    messages_.push_back({index, std::move(content)});
  }
}

void LedgerRun::Deliver() {
  if (messages_.empty()) {
    return;
  }
  std::swap(messages_[Draw(messages_.size())], messages_.back());
  const Message message = messages_.back();
  const std::uint64_t fate = Draw(10);
  if (fate != 0) {  // Otherwise the message stays in the queue and is delivered again.
    messages_.pop_back();
  }
  if (fate == 1) {
    return;
  }
  if (const auto* command = std::get_if<Command>(&message.content)) {
    batcher_.Add(*command, steady_);
  } else {
    HandleResult(message.gate, std::get<CommandResult>(message.content));
  }
}

void LedgerRun::ApplyBatch() {
  const base::Duration leader_error = std::chrono::seconds(Draw(60)) - std::chrono::seconds(30);
  auto batch = batcher_.TakeReady(steady_, now_ + leader_error);
  if (!batch) {
    batch = CommandBatch{.proposed_at = now_ + leader_error, .commands = {ExpireCommand{}}};
  }
  const std::string entry = EncodeBatch(*batch);
  const std::size_t keys = ledger_.key_count();
  const std::string results = ledger_.Apply(entry);
  counts_.expired += ledger_.key_count() < keys ? 1 : 0;
  if (replica_.Apply(entry) != results) {
    throw RunFailure("replicas give different results");
  }
  for (const CommandResult& result : DecodeResults(results)) {
    if (result.kind == CommandKind::kExpire) {
      continue;
    }
    if (result.code == ResultCode::kGranted) {
      const auto [grant, is_new] = grants_.emplace(result.permit.key, result.permit);
      Require(grant->second == result.permit, "one grant per key", result.permit.key);
      counts_.granted += is_new ? 1 : 0;
    }
    Send(static_cast<std::size_t>(result.permit.node) - 1, result);
  }
}

void LedgerRun::RestoreFromSnapshot() {
  const std::string snapshot = ledger_.Snapshot();
  if (replica_.Snapshot() != snapshot) {
    throw RunFailure("replicas differ");
  }
  LedgerState restored(kLimits);
  restored.Restore(snapshot);
  replica_ = std::move(restored);
}

void LedgerRun::CheckReplica() { RestoreFromSnapshot(); }

void LedgerRun::HandleResult(std::size_t index, const CommandResult& result) {
  Gate& gate = gates_[index];
  const GateEvent event = gate.gate->HandleResult(result, NowAt(gate));
  const IdempotencyKey& key = result.permit.key;
  switch (event.decision) {
    case GateDecision::kPermitted:
      if (gate.permits.size() > 50) {
        gate.permits.erase(gate.permits.begin());
      }
      gate.permits.push_back(*event.permit);
      break;
    case GateDecision::kNotRun:
      ObserveNotRun(key);
      break;
    case GateDecision::kAnswer:
      Require(runs_[key] == 1, "an answer exists only for a key that ran", key);
      break;
    case GateDecision::kUnknown:
      ++counts_.unknown;
      break;
    default:
      break;
  }
}

void LedgerRun::ObserveNotRun(const IdempotencyKey& key) {
  ++counts_.not_run;
  told_not_run_.insert(key);
  Require(runs_[key] == 0, "a key that ran is never told as not run", key);
}

void LedgerRun::Require(bool holds, const std::string& rule, const IdempotencyKey& key) const {
  if (!holds) {
    throw RunFailure(rule + ": key " + key.ToString());
  }
}

}  // namespace borageloft::ledger
