#include "libraries/node/ledger_table.h"

#include <algorithm>

#include "libraries/node/ledger_layout.h"
#include "libraries/node/once_answers.h"

namespace borageloft::node {

namespace {

using ledger::IdempotencyKey;
using ledger::OfferDecision;

// A batch that got no answer for this long is given up; its commands are sent again as long as the
// gate needs them, grouped anew.
constexpr base::Duration kBatchTimeout = std::chrono::seconds(1);
constexpr base::Duration kResendInterval = std::chrono::milliseconds(250);
constexpr base::Duration kPruneInterval = std::chrono::seconds(5);
constexpr base::Duration kNoQuorumPause = std::chrono::seconds(1);

const IdempotencyKey* KeyOf(const ledger::Command& command) {
  return std::visit(
      [](const auto& alternative) -> const IdempotencyKey* {
        if constexpr (requires { alternative.permit; }) {
          return &alternative.permit.key;
        } else {
          return nullptr;
        }
      },
      command);
}

}  // namespace

LedgerTable::LedgerTable(const NodeServices& services, GroupHub& hub, std::uint64_t incarnation,
                         LedgerTableOptions options)
    : services_(services),
      options_(options),
      gate_(ledger::NodeId{base::Hash(services.settings.node)}, incarnation, options.gate) {
  std::vector<ledger::LedgerGroup> names;
  for (const LedgerGroupHosts& layout : LayOutLedgerGroups(services.settings)) {
    Group& group = groups_[layout.name];
    group.client = std::make_unique<GroupClient>(services, hub, layout.name, layout.hosts);
    group.batcher = ledger::GrantBatcher(options.batcher);
    names.push_back({layout.name, layout.region});
  }
  const base::WallTime now = services.wall_clock();
  ledger_groups_.SetGroups(std::move(names), now, now);
}

OnceHooks LedgerTable::Hooks() {
  return {[this](const wire::Request& request, base::TimePoint deadline) {
            return Acquire(request, deadline);
          },
          [this](const wire::Request& request, wire::Response response, base::TimePoint deadline) {
            return Finish(request, std::move(response), deadline);
          }};
}

void LedgerTable::ApplyPolicy(const notes::Policy& policy) {
  const base::WallTime now = services_.wall_clock();
  const std::scoped_lock lock(mutex_);
  for (const auto& [name, service] : policy.services()) {
    const std::string& home =
        service.home.empty() ? services_.settings.control_peers.front().region : service.home;
    std::string& known = homes_[name];
    if (known == home) {
      continue;
    }
    known = home;
    // A note cannot change a home; another one appears only when a service was withdrawn and added.
    try {
      ledger_groups_.SetHome(name, home, now + ledger::kGroupChangeLead, now);
    } catch (const ledger::LedgerError& error) {
      base::Log(base::LogLevel::kError, "service_home_refused",
                {{"service", name}, {"home", home}, {"error", error.what()}});
    }
  }
}

std::optional<wire::Response> LedgerTable::Acquire(const wire::Request& request,
                                                   base::TimePoint deadline) {
  IdempotencyKey key;
  try {
    key = IdempotencyKey::Parse(request.idempotency_key);
  } catch (const ledger::LedgerError&) {
    return AnswerNotRun("key_malformed");
  }
  const ledger::RequestDigest digest = OnceDigestOf(request);
  const base::TimePoint now = services_.clock();
  const base::WallTime wall = services_.wall_clock();
  if (key.AgeAt(wall) != ledger::KeyAge::kWithinWindow) {
    return AnswerUnknown("key_expired");
  }
  const base::WallTime wall_deadline = wall + (deadline - now);
  const auto waiter = std::make_shared<Waiter>();
  OutgoingBatches outgoing;
  {
    const std::scoped_lock lock(mutex_);
    if (is_stopped_) {
      return AnswerNotRun("leaving");
    }
    Group* group = FindGroupLocked(key, request.service);
    if (group == nullptr) {
      return AnswerNotRun("no_ledger_group");
    }
    if (!gate_.StateOf(key) && IsSilentLocked(*group, now)) {
      return AnswerNotRun("no_quorum", kNoQuorumPause);
    }
    const ledger::Offer offer = gate_.OfferRequest(key, digest, wall_deadline, wall);
    if (offer.decision != OfferDecision::kAskGrant && offer.decision != OfferDecision::kJoin) {
      return AnswerTo(offer);
    }
    Record& record = records_[key];
    record.group = group;
    record.waiters.push_back(waiter);
    if (offer.decision == OfferDecision::kAskGrant) {
      waiter->is_owner = true;
      record.grant_number = offer.grant->permit.number;
      record.grants_in_flight = 0;
      record.may_be_granted = false;
      EnqueueLocked(*group, *offer.grant, now);
      TakeBatchesLocked(*group, now, outgoing);
    }
  }
  Send(std::move(outgoing));
  Verdict verdict = Await(key, waiter, deadline, wall_deadline);
  if (auto* answer = std::get_if<wire::Response>(&verdict)) {
    return std::move(*answer);
  }
  const std::scoped_lock lock(mutex_);
  const ledger::PermitRefusal refusal =
      gate_.Begin(std::get<ledger::Permit>(verdict), digest, services_.wall_clock());
  if (refusal == ledger::PermitRefusal::kNone) {
    return std::nullopt;
  }
  return AnswerUnknown("permit_refused");
}

wire::Response LedgerTable::Finish(const wire::Request& request, wire::Response response,
                                   base::TimePoint deadline) {
  const auto key = IdempotencyKey::Parse(request.idempotency_key);
  const base::TimePoint now = services_.clock();
  const base::WallTime wall = services_.wall_clock();
  const bool has_run = response.outcome == wire::Outcome::kRan;
  const ledger::RunEnd end = has_run ? ledger::RunEnd::kAnswered
                             : response.outcome == wire::Outcome::kNotRun
                                 ? ledger::RunEnd::kNotReached
                                 : ledger::RunEnd::kUncertain;
  std::string answer = has_run ? EncodeFirstAnswer(response) : "";
  const auto waiter = std::make_shared<Waiter>();
  OutgoingBatches outgoing;
  {
    const std::scoped_lock lock(mutex_);
    Record& record = records_.at(key);
    const auto command = gate_.Finish(key, end, std::move(answer), wall);
    if (end == ledger::RunEnd::kUncertain) {
      WakeAllLocked(record, AnswerUnknown("key_uncertain"));
    } else if (end == ledger::RunEnd::kAnswered) {
      WakeAllLocked(record, response);
    } else if (is_stopped_) {
      return AnswerUnknown("leaving");
    } else {
      record.waiters.push_back(waiter);
    }
    if (command) {
      EnqueueLocked(*record.group, *command, now);
      TakeBatchesLocked(*record.group, now, outgoing);
    }
  }
  Send(std::move(outgoing));
  if (end != ledger::RunEnd::kNotReached) {
    return response;
  }
  // "Not run" may be told only once the ledger has closed the key.
  return std::get<wire::Response>(Await(key, waiter, deadline, wall + (deadline - now)));
}

void LedgerTable::Tick() {
  const base::TimePoint now = services_.clock();
  for (auto& [name, group] : groups_) {
    group.client->Tick();
  }
  OutgoingBatches outgoing;
  {
    const std::scoped_lock lock(mutex_);
    ExpireLocked(now, services_.wall_clock());
    if (now >= next_resend_) {
      next_resend_ = now + kResendInterval;
      ResendLocked(now);
    }
    if (now >= next_prune_) {
      next_prune_ = now + kPruneInterval;
      PruneLocked();
    }
    TakeAllBatchesLocked(now, outgoing);
  }
  Send(std::move(outgoing));
}

void LedgerTable::Stop() {
  const std::scoped_lock lock(mutex_);
  is_stopped_ = true;
  for (auto& [key, record] : records_) {
    WakeAllLocked(record, AnswerUnknown("leaving"));
  }
}

LedgerTable::Group* LedgerTable::FindGroupLocked(const Key& key, const std::string& service) {
  try {
    return &groups_.at(ledger_groups_.GroupOf(key, service).name);
  } catch (const ledger::LedgerError& error) {
    base::Log(base::LogLevel::kWarning, "no_ledger_group",
              {{"service", service}, {"error", error.what()}});
    return nullptr;
  }
}

bool LedgerTable::IsSilentLocked(const Group& group, base::TimePoint now) const {
  return group.unanswered_since && now - *group.unanswered_since > options_.quorum_silence;
}

// A grant that nobody waits for must not be asked for: its key would be held for nothing, and the
// answer "no grant was made" would be wrong.
bool LedgerTable::IsStaleGrantLocked(const ledger::Command& command) const {
  const auto* grant = std::get_if<ledger::GrantCommand>(&command);
  if (grant == nullptr) {
    return false;
  }
  const auto found = records_.find(grant->permit.key);
  return found == records_.end() || found->second.grant_number != grant->permit.number ||
         gate_.StateOf(grant->permit.key) != ledger::PermitState::kWaiting;
}

// A command that finds no room is sent again by ResendLocked().
void LedgerTable::EnqueueLocked(Group& group, ledger::Command command, base::TimePoint now) {
  const IdempotencyKey* key = KeyOf(command);
  Record* record = key == nullptr ? nullptr : &records_.at(*key);
  if (group.batcher.Add(std::move(command), now) == ledger::AddDecision::kQueued &&
      record != nullptr) {
    ++record->commands;
  }
}

void LedgerTable::TakeBatchesLocked(Group& group, base::TimePoint now, OutgoingBatches& outgoing) {
  while (!is_stopped_ && group.in_flight < options_.maximum_in_flight) {
    // Waiting for others pays only while an answer is under way.
    const base::TimePoint due = group.in_flight == 0 ? now + options_.batcher.linger : now;
    auto batch = group.batcher.TakeReady(due, services_.wall_clock());
    if (!batch) {
      break;
    }
    std::erase_if(batch->commands, [this](const ledger::Command& command) {
      const bool is_stale = IsStaleGrantLocked(command);
      if (is_stale) {
        const auto found = records_.find(*KeyOf(command));
        if (found != records_.end()) {
          --found->second.commands;
        }
      }
      return is_stale;
    });
    if (batch->commands.empty()) {
      continue;
    }
    for (const ledger::Command& command : batch->commands) {
      if (const auto* grant = std::get_if<ledger::GrantCommand>(&command)) {
        ++records_.at(grant->permit.key).grants_in_flight;
      }
    }
    ++group.in_flight;
    if (!group.unanswered_since) {
      group.unanswered_since = now;
    }
    outgoing.push_back({&group, std::move(*batch)});
  }
  const auto due = group.batcher.NextDue();
  if (due && group.in_flight < options_.maximum_in_flight && !group.has_timer && !is_stopped_) {
    group.has_timer = true;
    services_.timers.SubscribeOnce(std::max(*due - now, base::Duration::zero()),
                                   [this, &group](base::TimePoint) {
                                     OutgoingBatches ready;
                                     {
                                       const std::scoped_lock lock(mutex_);
                                       group.has_timer = false;
                                       TakeBatchesLocked(group, services_.clock(), ready);
                                     }
                                     Send(std::move(ready));
                                   });
  }
}

void LedgerTable::TakeAllBatchesLocked(base::TimePoint now, OutgoingBatches& outgoing) {
  for (auto& [name, group] : groups_) {
    TakeBatchesLocked(group, now, outgoing);
  }
}

void LedgerTable::ExpireLocked(base::TimePoint now, base::WallTime wall) {
  for (ledger::Command& release : gate_.Expire(wall)) {
    Group& group = *records_.at(*KeyOf(release)).group;
    EnqueueLocked(group, std::move(release), now);
  }
}

void LedgerTable::ResendLocked(base::TimePoint now) {
  for (ledger::Command& command : gate_.PendingCommands()) {
    Record& record = records_.at(*KeyOf(command));
    if (record.commands == 0) {
      EnqueueLocked(*record.group, std::move(command), now);
    }
  }
  for (auto& [name, group] : groups_) {
    // Shows when the quorum has returned, while no request may ask.
    if (IsSilentLocked(group, now) && group.in_flight == 0 && group.batcher.queued() == 0) {
      EnqueueLocked(group, ledger::ExpireCommand{}, now);
    }
  }
}

void LedgerTable::PruneLocked() {
  std::erase_if(records_, [this](const auto& entry) {
    const auto& [key, record] = entry;
    return record.waiters.empty() && record.commands == 0 && !gate_.StateOf(key);
  });
  ledger_groups_.ForgetOld(services_.wall_clock());
}

void LedgerTable::Send(OutgoingBatches outgoing) {
  for (Outgoing& entry : outgoing) {
    std::string bytes = ledger::EncodeBatch(entry.batch);
    entry.group->client->Send(
        std::move(bytes), services_.clock() + kBatchTimeout,
        [this, group = entry.group, commands = std::move(entry.batch.commands)](
            const CommandOutcome& outcome) { HandleOutcome(*group, commands, outcome); });
  }
}

void LedgerTable::HandleOutcome(Group& group, const std::vector<ledger::Command>& commands,
                                const CommandOutcome& outcome) {
  const bool is_committed = outcome.result == ForwardResult::kCommitted;
  std::vector<ledger::CommandResult> results;
  if (is_committed) {
    try {
      results = ledger::DecodeResults(outcome.value);
    } catch (const ledger::LedgerError& error) {
      base::Log(base::LogLevel::kError, "ledger_results_refused", {{"error", error.what()}});
    }
  }
  const base::TimePoint now = services_.clock();
  const base::WallTime wall = services_.wall_clock();
  OutgoingBatches outgoing;
  {
    const std::scoped_lock lock(mutex_);
    --group.in_flight;
    for (const ledger::Command& command : commands) {
      const IdempotencyKey* key = KeyOf(command);
      if (key == nullptr) {
        continue;
      }
      Record& record = records_.at(*key);
      --record.commands;
      const auto* grant = std::get_if<ledger::GrantCommand>(&command);
      if (grant != nullptr && grant->permit.number == record.grant_number) {
        --record.grants_in_flight;
        record.may_be_granted = record.may_be_granted || outcome.result != ForwardResult::kNoEffect;
      }
    }
    if (is_committed) {
      group.unanswered_since = group.in_flight > 0 ? std::optional(now) : std::nullopt;
    }
    for (const ledger::CommandResult& result : results) {
      HandleResultLocked(result, wall);
    }
    TakeBatchesLocked(group, now, outgoing);
  }
  Send(std::move(outgoing));
}

void LedgerTable::HandleResultLocked(const ledger::CommandResult& result, base::WallTime wall) {
  const auto found = records_.find(result.permit.key);
  if (found == records_.end()) {
    return;
  }
  Record& record = found->second;
  ledger::GateEvent event = gate_.HandleResult(result, wall);
  switch (event.decision) {
    case ledger::GateDecision::kPermitted:
      for (const WaiterPointer& waiter : record.waiters) {
        if (waiter->is_owner) {
          WakeLocked(*waiter, *event.permit);
        }
      }
      std::erase_if(record.waiters, [](const WaiterPointer& waiter) { return waiter->is_done; });
      break;
    case ledger::GateDecision::kAnswer:
      WakeAllLocked(record, DecodeFirstAnswer(event.answer));
      break;
    case ledger::GateDecision::kNotRun:
      WakeAllLocked(record, AnswerNotRun("key_not_run"));
      break;
    case ledger::GateDecision::kUnknown:
      WakeAllLocked(record, AnswerUnknown("key_uncertain"));
      break;
    case ledger::GateDecision::kOtherDigest:
      WakeAllLocked(record, AnswerNotRun("digest_differs"));
      break;
    case ledger::GateDecision::kIgnored:
    case ledger::GateDecision::kConfirmed:
      break;
  }
}

void LedgerTable::WakeLocked(Waiter& waiter, Verdict verdict) {
  VERIFY(!waiter.is_done);
  waiter.is_done = true;
  waiter.promise.set_value(std::move(verdict));
}

void LedgerTable::WakeAllLocked(Record& record, const wire::Response& response) {
  for (const WaiterPointer& waiter : std::exchange(record.waiters, {})) {
    WakeLocked(*waiter, response);
  }
}

LedgerTable::Verdict LedgerTable::Await(const Key& key, const WaiterPointer& waiter,
                                        base::TimePoint deadline, base::WallTime wall_deadline) {
  auto future = waiter->promise.get_future();
  if (future.wait_until(deadline) == std::future_status::ready) {
    return future.get();
  }
  OutgoingBatches outgoing;
  std::optional<wire::Response> answer;
  {
    const std::scoped_lock lock(mutex_);
    if (!waiter->is_done) {
      answer = GiveUpLocked(key, waiter, wall_deadline, outgoing);
    }
  }
  Send(std::move(outgoing));
  return answer ? Verdict(std::move(*answer)) : future.get();
}

wire::Response LedgerTable::GiveUpLocked(const Key& key, const WaiterPointer& waiter,
                                         base::WallTime wall_deadline, OutgoingBatches& outgoing) {
  Record& record = records_.at(key);
  std::erase(record.waiters, waiter);
  if (!waiter->is_owner) {
    return AnswerUnknown("key_running");
  }
  const base::TimePoint now = services_.clock();
  // The wall clock may not have reached the deadline that the steady clock has.
  ExpireLocked(now, std::max(services_.wall_clock(), wall_deadline));
  TakeAllBatchesLocked(now, outgoing);
  const bool was_asked = record.grants_in_flight > 0 || record.may_be_granted;
  if (gate_.StateOf(key) == ledger::PermitState::kReleasing && !was_asked) {
    return AnswerNotRun("no_quorum", kNoQuorumPause);
  }
  return AnswerUnknown("grant_unknown");
}

wire::Response LedgerTable::AnswerTo(const ledger::Offer& offer) {
  switch (offer.decision) {
    case OfferDecision::kAnswer:
      return DecodeFirstAnswer(offer.answer);
    case OfferDecision::kNotRun:
      return AnswerNotRun("key_not_run");
    case OfferDecision::kOtherDigest:
      return AnswerNotRun("digest_differs");
    case OfferDecision::kFull:
      return AnswerNotRun("ledger_full", kNoQuorumPause);
    default:
      return AnswerUnknown("key_uncertain");
  }
}

}  // namespace borageloft::node
