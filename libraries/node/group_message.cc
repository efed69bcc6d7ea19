#include "libraries/node/group_message.h"

#include <msgpack.hpp>

namespace borageloft::node {

namespace {

using Packer = msgpack::packer<msgpack::sbuffer>;

// Every message is the array [group, type, number, number, text, text]; a body uses what it needs.
struct Fields {
  std::string group;
  std::uint64_t type = 0;
  std::uint64_t first = 0;
  std::uint64_t second = 0;
  std::string text;
  std::string bytes;
};

constexpr std::uint32_t kFieldCount = 6;

void PackBytes(Packer& packer, const std::string& bytes) {
  packer.pack_bin(static_cast<std::uint32_t>(bytes.size()));
  packer.pack_bin_body(bytes.data(), static_cast<std::uint32_t>(bytes.size()));
}

std::string TakeBytes(const msgpack::object& field) {
  if (field.type != msgpack::type::BIN) {
    throw GroupMessageError("expected bytes");
  }
  return {field.via.bin.ptr, field.via.bin.size};
}

Fields ToFields(const GroupMessage& message) {
  Fields fields;
  fields.group = message.group;
  fields.type = message.body.index();
  if (const auto* raft = std::get_if<RaftMessage>(&message.body)) {
    fields.first = raft->sender;
    fields.bytes = raft->bytes;
  } else if (const auto* probe = std::get_if<StateProbeAnswer>(&message.body)) {
    fields.first = probe->is_empty ? 1 : 0;
    fields.second = probe->term;
  } else if (const auto* join = std::get_if<JoinAnswer>(&message.body)) {
    fields.first = join->replica;
  } else if (const auto* command = std::get_if<ForwardedCommand>(&message.body)) {
    fields.first = command->request;
    fields.bytes = command->command;
  } else if (const auto* answer = std::get_if<ForwardAnswer>(&message.body)) {
    fields.first = answer->request;
    fields.second = static_cast<std::uint64_t>(answer->result);
    fields.text = answer->leader;
    fields.bytes = answer->value;
  }
  return fields;
}

GroupMessageBody FromFields(Fields fields) {
  // The numbers are the indices of the alternatives.
  switch (fields.type) {
    case 0:
      return RaftMessage{fields.first, std::move(fields.bytes)};
    case 1:
      return StateProbe{};
    case 2:
      return StateProbeAnswer{fields.first != 0, fields.second};
    case 3:
      return JoinRequest{};
    case 4:
      return JoinAnswer{fields.first};
    case 5:
      return ForwardedCommand{fields.first, std::move(fields.bytes)};
    case 6:
      if (fields.second > static_cast<std::uint64_t>(ForwardResult::kUnknown)) {
        throw GroupMessageError("result is out of range");
      }
      return ForwardAnswer{fields.first, static_cast<ForwardResult>(fields.second),
                           std::move(fields.text), std::move(fields.bytes)};
    default:
      throw GroupMessageError("message type is unknown");
  }
}

}  // namespace

std::string EncodeGroupMessage(const GroupMessage& message) {
  const Fields fields = ToFields(message);
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(kFieldCount);
  PackBytes(packer, fields.group);
  packer.pack(fields.type);
  packer.pack(fields.first);
  packer.pack(fields.second);
  PackBytes(packer, fields.text);
  PackBytes(packer, fields.bytes);
  return {buffer.data(), buffer.size()};
}

GroupMessage DecodeGroupMessage(std::string_view bytes) {
  try {
    const msgpack::unpack_limit limit(kFieldCount, 0, 0, bytes.size(), 0, 2);
    std::size_t offset = 0;
    const auto by_reference = [](msgpack::type::object_type, std::size_t, void*) { return true; };
    const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), offset, by_reference, nullptr, limit);
    const msgpack::object& object = handle.get();
    if (object.type != msgpack::type::ARRAY || object.via.array.size != kFieldCount ||
        offset != bytes.size()) {
      throw GroupMessageError("message is not one array of six");
    }
    const msgpack::object* values = object.via.array.ptr;
    Fields fields;
    fields.group = TakeBytes(values[0]);
    values[1].convert(fields.type);
    values[2].convert(fields.first);
    values[3].convert(fields.second);
    fields.text = TakeBytes(values[4]);
    fields.bytes = TakeBytes(values[5]);
    GroupMessage message;
    message.group = fields.group;
    message.body = FromFields(std::move(fields));
    return message;
  } catch (const msgpack::unpack_error&) {
    throw GroupMessageError("message is malformed");
  } catch (const msgpack::type_error&) {
    throw GroupMessageError("message has a field of the wrong type");
  }
}

}  // namespace borageloft::node
