#include "libraries/ledger/ledger_command.h"

#include <fmt/format.h>

#include "libraries/ledger/message_codec.h"

namespace borageloft::ledger {

namespace {

constexpr std::uint64_t kMessageVersion = 1;
constexpr std::size_t kBatchFields = 3;
constexpr std::size_t kResultFields = 8;
constexpr std::size_t kCommandFields = 7;
// Results may carry one answer for each command, so they are bounded by the batch's commands.
constexpr std::size_t kMaximumResultBytes = kMaximumBatchCommands * (kMaximumAnswerBytes + 128);

void PackPermit(Packer& packer, const PermitId& permit) {
  PackBytes(packer, permit.key.ToBytes());
  packer.pack_uint64(static_cast<std::uint64_t>(permit.node));
  packer.pack_uint64(permit.incarnation);
  packer.pack_uint64(permit.number);
}

PermitId ReadPermit(ArrayReader& reader) {
  PermitId permit;
  permit.key = reader.NextKey();
  permit.node = NodeId{reader.NextUnsigned()};
  permit.incarnation = reader.NextUnsigned();
  permit.number = reader.NextUnsigned();
  return permit;
}

// Every command is [kind, key, node, incarnation, number, digest or answer, deadline]; unused
// fields are nil.
void PackCommand(Packer& packer, const GrantCommand& command) {
  packer.pack_array(kCommandFields);
  packer.pack_uint8(static_cast<std::uint8_t>(CommandKind::kGrant));
  PackPermit(packer, command.permit);
  packer.pack_uint64(static_cast<std::uint64_t>(command.digest));
  PackTime(packer, command.deadline);
}

void PackCommand(Packer& packer, const FinishCommand& command) {
  if (command.answer && command.answer->size() > kMaximumAnswerBytes) {
    throw LedgerError(fmt::format("answer of {} bytes exceeds {} bytes", command.answer->size(),
                                  kMaximumAnswerBytes));
  }
  packer.pack_array(kCommandFields);
  packer.pack_uint8(static_cast<std::uint8_t>(CommandKind::kFinish));
  PackPermit(packer, command.permit);
  PackOptionalBytes(packer, command.answer);
  packer.pack_nil();
}

void PackCommand(Packer& packer, const ReleaseCommand& command) {
  packer.pack_array(kCommandFields);
  packer.pack_uint8(static_cast<std::uint8_t>(CommandKind::kRelease));
  PackPermit(packer, command.permit);
  packer.pack_uint64(static_cast<std::uint64_t>(command.digest));
  packer.pack_nil();
}

void PackCommand(Packer& packer, const ExpireCommand&) {
  packer.pack_array(kCommandFields);
  packer.pack_uint8(static_cast<std::uint8_t>(CommandKind::kExpire));
  for (std::size_t i = 1; i < kCommandFields; ++i) {
    packer.pack_nil();
  }
}

Command ReadCommand(const msgpack::object& object) {
  ArrayReader reader(object, kCommandFields);
  const auto kind = reader.NextEnum(CommandKind::kExpire);
  if (kind == CommandKind::kExpire) {
    return ExpireCommand{};
  }
  const PermitId permit = ReadPermit(reader);
  if (kind == CommandKind::kFinish) {
    return FinishCommand{permit, reader.NextOptionalBytes(kMaximumAnswerBytes)};
  }
  const RequestDigest digest{reader.NextUnsigned()};
  if (kind == CommandKind::kRelease) {
    return ReleaseCommand{permit, digest};
  }
  return GrantCommand{permit, digest, reader.NextTime()};
}

void PackResult(Packer& packer, const CommandResult& result) {
  packer.pack_array(kResultFields + 1);
  packer.pack_uint8(static_cast<std::uint8_t>(result.kind));
  packer.pack_uint8(static_cast<std::uint8_t>(result.code));
  if (result.kind == CommandKind::kExpire) {
    for (std::size_t i = 2; i <= kResultFields; ++i) {
      packer.pack_nil();
    }
    return;
  }
  PackPermit(packer, result.permit);
  packer.pack_uint64(static_cast<std::uint64_t>(result.digest));
  PackTime(packer, result.deadline);
  PackOptionalBytes(packer, result.answer);
}

CommandResult ReadResult(const msgpack::object& object) {
  ArrayReader reader(object, kResultFields + 1);
  CommandResult result;
  result.kind = reader.NextEnum(CommandKind::kExpire);
  result.code = reader.NextEnum(ResultCode::kAdvanced);
  if (result.kind != CommandKind::kExpire) {
    result.permit = ReadPermit(reader);
    result.digest = RequestDigest{reader.NextUnsigned()};
    result.deadline = reader.NextTime();
    result.answer = reader.NextOptionalBytes(kMaximumAnswerBytes);
  }
  return result;
}

// Reads the whole message, so that no bytes after it go unnoticed.
msgpack::object_handle UnpackWhole(std::string_view bytes, std::size_t maximum_bytes) {
  if (bytes.size() > maximum_bytes) {
    throw LedgerError(
        fmt::format("ledger message of {} bytes exceeds {} bytes", bytes.size(), maximum_bytes));
  }
  std::size_t offset = 0;
  msgpack::object_handle handle =
      UnpackBounded(bytes, offset, kMaximumBatchCommands, kMaximumAnswerBytes);
  if (offset != bytes.size()) {
    throw LedgerError("ledger message: bytes after its end");
  }
  return handle;
}

const msgpack::object_array& ReadArray(const msgpack::object& object) {
  if (object.type != msgpack::type::ARRAY) {
    throw LedgerError("ledger message: expected an array");
  }
  return object.via.array;
}

void RequireVersion(std::uint64_t version) {
  if (version != kMessageVersion) {
    throw LedgerError(fmt::format("ledger message: version {} is not supported, expected {}",
                                  version, kMessageVersion));
  }
}

}  // namespace

std::string EncodeBatch(const CommandBatch& batch) {
  if (batch.commands.size() > kMaximumBatchCommands) {
    throw LedgerError(fmt::format("batch of {} commands exceeds {}", batch.commands.size(),
                                  kMaximumBatchCommands));
  }
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(kBatchFields);
  packer.pack_uint64(kMessageVersion);
  PackTime(packer, batch.proposed_at);
  packer.pack_array(static_cast<std::uint32_t>(batch.commands.size()));
  for (const Command& command : batch.commands) {
    std::visit([&packer](const auto& typed) { PackCommand(packer, typed); }, command);
  }
  if (buffer.size() > kMaximumBatchBytes) {
    throw LedgerError(
        fmt::format("batch of {} bytes exceeds {} bytes", buffer.size(), kMaximumBatchBytes));
  }
  return {buffer.data(), buffer.size()};
}

CommandBatch DecodeBatch(std::string_view bytes) {
  const msgpack::object_handle handle = UnpackWhole(bytes, kMaximumBatchBytes);
  ArrayReader reader(handle.get(), kBatchFields);
  RequireVersion(reader.NextUnsigned());
  CommandBatch batch;
  batch.proposed_at = reader.NextTime();
  const msgpack::object_array& commands = ReadArray(reader.Next());
  batch.commands.reserve(commands.size);
  for (std::uint32_t i = 0; i < commands.size; ++i) {
    batch.commands.push_back(ReadCommand(commands.ptr[i]));
  }
  return batch;
}

std::string EncodeResults(const std::vector<CommandResult>& results) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(2);
  packer.pack_uint64(kMessageVersion);
  packer.pack_array(static_cast<std::uint32_t>(results.size()));
  for (const CommandResult& result : results) {
    PackResult(packer, result);
  }
  return {buffer.data(), buffer.size()};
}

std::vector<CommandResult> DecodeResults(std::string_view bytes) {
  const msgpack::object_handle handle = UnpackWhole(bytes, kMaximumResultBytes);
  ArrayReader reader(handle.get(), 2);
  RequireVersion(reader.NextUnsigned());
  const msgpack::object_array& objects = ReadArray(reader.Next());
  std::vector<CommandResult> results;
  results.reserve(objects.size);
  for (std::uint32_t i = 0; i < objects.size; ++i) {
    results.push_back(ReadResult(objects.ptr[i]));
  }
  return results;
}

std::size_t EncodedSizeBound(const Command& command) {
  // The fixed fields take at most 18 + 5 * 9 + 2 bytes, the header of an answer 5.
  constexpr std::size_t kFixedBytes = 72;
  const auto* finish = std::get_if<FinishCommand>(&command);
  return kFixedBytes + (finish != nullptr && finish->answer ? finish->answer->size() : 0);
}

}  // namespace borageloft::ledger
