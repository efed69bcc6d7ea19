#include "libraries/ledger/ledger_state.h"

#include <algorithm>
#include <utility>

#include "libraries/ledger/message_codec.h"

namespace borageloft::ledger {

namespace {

constexpr std::uint64_t kSnapshotVersion = 1;
constexpr std::size_t kSnapshotHeaderFields = 6;
constexpr std::size_t kSnapshotEntryFields = 7;

/** First field of a snapshot entry. */
enum class EntryKind : std::uint8_t { kOpen, kFinished, kNotRun };

bool IsHeldBy(const OpenGrant& grant, const PermitId& permit) {
  return grant.node == permit.node && grant.incarnation == permit.incarnation &&
         grant.number == permit.number;
}

CommandResult ResultFor(CommandKind kind, const PermitId& permit) {
  CommandResult result;
  result.kind = kind;
  result.permit = permit;
  return result;
}

}  // namespace

std::string LedgerState::Apply(std::string_view batch) {
  return EncodeResults(Apply(DecodeBatch(batch)));
}

std::vector<CommandResult> LedgerState::Apply(const CommandBatch& batch) {
  Advance(batch.proposed_at);
  std::vector<CommandResult> results;
  results.reserve(batch.commands.size());
  for (const Command& command : batch.commands) {
    results.push_back(
        std::visit([this](const auto& typed) { return ApplyCommand(typed); }, command));
  }
  return results;
}

CommandResult LedgerState::ApplyCommand(const GrantCommand& command) {
  CommandResult result = ResultFor(CommandKind::kGrant, command.permit);
  const IdempotencyKey& key = command.permit.key;
  if (key.AgeAt(time_) != KeyAge::kWithinWindow) {
    result.code = ResultCode::kExpired;
  } else if (const SettledKey* settled = table_.FindSettled(key)) {
    ReportSettled(*settled, command.digest, result);
  } else if (const OpenGrant* open = table_.FindOpen(key)) {
    if (open->digest != command.digest) {
      result.code = ResultCode::kOtherDigest;
    } else if (IsHeldBy(*open, command.permit)) {
      // The same request was sent again: this repeats the grant and makes no second one.
      result.code = ResultCode::kGranted;
      result.digest = open->digest;
      result.deadline = open->deadline;
    } else {
      result.code = ResultCode::kHeldByOther;
    }
  } else {
    Grant(command, result);
  }
  return result;
}

void LedgerState::Grant(const GrantCommand& command, CommandResult& result) {
  // A refusal closes the key before the gate says "not run": otherwise a resend through another
  // node could run the key while its caller is being told that it did not run.
  // The gate checks the deadline exactly. The skew is allowed here, since one proposer whose clock
  // was ahead would otherwise stop all grants until the others have caught up.
  if (command.deadline <= time_ - kClockSkew || table_.size() >= limits_.maximum_keys) {
    CloseAsNotRun(command.permit.key, command.digest, result);
    return;
  }
  table_.AddOpen(command.permit.key, OpenGrant{.node = command.permit.node,
                                               .incarnation = command.permit.incarnation,
                                               .number = command.permit.number,
                                               .digest = command.digest,
                                               .deadline = command.deadline});
  result.code = ResultCode::kGranted;
  result.digest = command.digest;
  result.deadline = command.deadline;
}

CommandResult LedgerState::ApplyCommand(const FinishCommand& command) {
  CommandResult result = ResultFor(CommandKind::kFinish, command.permit);
  const IdempotencyKey& key = command.permit.key;
  if (const SettledKey* settled = table_.FindSettled(key)) {
    result.code =
        settled->outcome == KeyOutcome::kFinished ? ResultCode::kFinished : ResultCode::kNotRun;
    return result;
  }
  const OpenGrant* open = table_.FindOpen(key);
  if (open == nullptr) {
    result.code = ResultCode::kExpired;
    return result;
  }
  if (!IsHeldBy(*open, command.permit)) {
    result.code = ResultCode::kHeldByOther;
    return result;
  }
  std::optional<std::string> answer;
  if (command.answer && command.answer->size() <= limits_.maximum_answer_bytes) {
    table_.MakeRoomForAnswer(command.answer->size(), limits_.maximum_answer_bytes);
    answer = command.answer;
  }
  table_.Settle(key, open->digest, KeyOutcome::kFinished, std::move(answer));
  result.code = ResultCode::kFinished;
  return result;
}

CommandResult LedgerState::ApplyCommand(const ReleaseCommand& command) {
  CommandResult result = ResultFor(CommandKind::kRelease, command.permit);
  const IdempotencyKey& key = command.permit.key;
  if (key.AgeAt(time_) != KeyAge::kWithinWindow) {
    result.code = ResultCode::kExpired;
  } else if (const SettledKey* settled = table_.FindSettled(key)) {
    ReportSettled(*settled, command.digest, result);
  } else if (const OpenGrant* open = table_.FindOpen(key)) {
    if (IsHeldBy(*open, command.permit)) {
      CloseAsNotRun(key, open->digest, result);
    } else {
      result.code = ResultCode::kHeldByOther;
    }
  } else {
    // The release has overtaken its grant request, which must not be granted when it arrives.
    CloseAsNotRun(key, command.digest, result);
  }
  return result;
}

CommandResult LedgerState::ApplyCommand(const ExpireCommand& /*command*/) { return {}; }

void LedgerState::CloseAsNotRun(const IdempotencyKey& key, RequestDigest digest,
                                CommandResult& result) {
  if (table_.FindOpen(key) == nullptr && !HasRoomForNotRun()) {
    result.code = ResultCode::kFull;
    return;
  }
  table_.Settle(key, digest, KeyOutcome::kNotRun, std::nullopt);
  result.code = ResultCode::kNotRun;
}

void LedgerState::ReportSettled(const SettledKey& settled, RequestDigest digest,
                                CommandResult& result) const {
  // The answer of one request must not reach the caller of another that reuses its key.
  if (settled.digest != digest) {
    result.code = ResultCode::kOtherDigest;
    return;
  }
  if (settled.outcome == KeyOutcome::kNotRun) {
    result.code = ResultCode::kNotRun;
    return;
  }
  result.code = ResultCode::kFinished;
  result.answer = table_.AnswerOf(settled);
}

bool LedgerState::HasRoomForNotRun() const {
  return table_.size() < limits_.maximum_keys + limits_.maximum_keys / 8;
}

void LedgerState::Advance(base::WallTime proposed_at) {
  // A new proposer's clock may be behind; time that went back would admit forgotten keys again.
  time_ = std::max(time_, proposed_at);
  table_.ForgetBefore(time_ - kKeyWindow);
}

std::string LedgerState::Snapshot() const {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(kSnapshotHeaderFields);
  packer.pack_uint64(kSnapshotVersion);
  packer.pack_uint64(limits_.maximum_keys);
  packer.pack_uint64(limits_.maximum_answer_bytes);
  PackTime(packer, time_);
  packer.pack_uint64(table_.size());
  packer.pack_uint64(table_.answer_bytes());
  table_.Visit(
      [&packer](const IdempotencyKey& key, const OpenGrant& grant) {
        packer.pack_array(kSnapshotEntryFields);
        packer.pack_uint8(static_cast<std::uint8_t>(EntryKind::kOpen));
        PackBytes(packer, key.ToBytes());
        packer.pack_uint64(static_cast<std::uint64_t>(grant.digest));
        packer.pack_uint64(static_cast<std::uint64_t>(grant.node));
        packer.pack_uint64(grant.incarnation);
        packer.pack_uint64(grant.number);
        PackTime(packer, grant.deadline);
      },
      [&packer, this](const SettledKey& settled) {
        const bool is_finished = settled.outcome == KeyOutcome::kFinished;
        packer.pack_array(kSnapshotEntryFields);
        packer.pack_uint8(
            static_cast<std::uint8_t>(is_finished ? EntryKind::kFinished : EntryKind::kNotRun));
        PackBytes(packer, settled.key.ToBytes());
        packer.pack_uint64(static_cast<std::uint64_t>(settled.digest));
        PackOptionalBytes(packer, table_.AnswerOf(settled));
        packer.pack_nil();
        packer.pack_nil();
        packer.pack_nil();
      });
  return {buffer.data(), buffer.size()};
}

void LedgerState::Restore(std::string_view snapshot) {
  std::size_t offset = 0;
  const msgpack::object_handle handle = UnpackBounded(snapshot, offset, kSnapshotHeaderFields, 0);
  ArrayReader header(handle.get(), kSnapshotHeaderFields);
  if (header.NextUnsigned() != kSnapshotVersion) {
    throw LedgerError("ledger snapshot: unsupported version");
  }
  LedgerLimits limits;
  limits.maximum_keys = header.NextUnsigned();
  limits.maximum_answer_bytes = header.NextUnsigned();
  if (limits != limits_) {
    throw LedgerError("ledger snapshot: made with other limits than this host has");
  }
  LedgerState restored(limits);
  restored.time_ = header.NextTime();
  const std::uint64_t count = header.NextUnsigned();
  const std::uint64_t answer_bytes = header.NextUnsigned();
  while (offset < snapshot.size()) {
    restored.RestoreEntry(snapshot, offset);
  }
  if (restored.key_count() != count || restored.answer_bytes() != answer_bytes) {
    throw LedgerError("ledger snapshot: incomplete");
  }
  *this = std::move(restored);
}

void LedgerState::RestoreEntry(std::string_view snapshot, std::size_t& offset) {
  const msgpack::object_handle handle =
      UnpackBounded(snapshot, offset, kSnapshotEntryFields, kMaximumAnswerBytes);
  ArrayReader entry(handle.get(), kSnapshotEntryFields);
  const auto kind = entry.NextEnum(EntryKind::kNotRun);
  const IdempotencyKey key = entry.NextKey();
  const RequestDigest digest{entry.NextUnsigned()};
  if (key.AgeAt(time_) == KeyAge::kTooNew || table_.FindOpen(key) != nullptr ||
      table_.FindSettled(key) != nullptr) {
    throw LedgerError("ledger snapshot: key " + key.ToString() + " is twice in it or too new");
  }
  if (kind == EntryKind::kOpen) {
    OpenGrant grant;
    grant.digest = digest;
    grant.node = NodeId{entry.NextUnsigned()};
    grant.incarnation = entry.NextUnsigned();
    grant.number = entry.NextUnsigned();
    grant.deadline = entry.NextTime();
    table_.AddOpen(key, grant);
    return;
  }
  std::optional<std::string> answer = entry.NextOptionalBytes(kMaximumAnswerBytes);
  if (kind == EntryKind::kNotRun && answer) {
    throw LedgerError("ledger snapshot: key " + key.ToString() + " has an answer but did not run");
  }
  table_.Settle(key, digest,
                kind == EntryKind::kFinished ? KeyOutcome::kFinished : KeyOutcome::kNotRun,
                std::move(answer));
}

}  // namespace borageloft::ledger
