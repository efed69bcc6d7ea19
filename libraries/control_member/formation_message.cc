#include "libraries/control_member/formation_message.h"

#include <fmt/format.h>

#include <exception>
#include <msgpack.hpp>
#include <tuple>

namespace borageloft::control_member {

namespace {

using Packer = msgpack::packer<msgpack::sbuffer>;

constexpr std::size_t kMaximumBytes = std::size_t{8} << 20U;
constexpr std::size_t kMaximumElements = 16;
constexpr std::size_t kMaximumDepth = 4;
constexpr std::uint32_t kElementCount = 3;

void PackBody(Packer& packer, const ReplicationMessage& message) {
  packer.pack(message.sender);
  packer.pack_bin(static_cast<std::uint32_t>(message.bytes.size()));
  packer.pack_bin_body(message.bytes.data(), static_cast<std::uint32_t>(message.bytes.size()));
}

void PackBody(Packer& packer, const JoinRequest& message) {
  packer.pack(message.storage);
  packer.pack(message.is_forwarded);
}

void PackBody(Packer& packer, const JoinAnswer& message) {
  packer.pack(message.storage);
  packer.pack(message.replica);
}

void PackBody(Packer& packer, const RemovalNotice& message) {
  packer.pack(message.replica);
  packer.pack(message.term);
}

void PackBody(Packer& packer, const MembershipInquiry& message) {
  packer.pack(message.address);
  packer.pack_array(2);
  packer.pack(message.replica);
  packer.pack(message.is_forwarded);
}

void PackBody(Packer& packer, const StopNotice& message) {
  packer.pack(message.replica);
  packer.pack(message.address);
}

FormationMessage Unpack(std::uint64_t type, const msgpack::object& first,
                        const msgpack::object& second) {
  switch (type) {
    case 0:
      if (second.type != msgpack::type::BIN) {
        throw ControlMemberError("a replication message has no binary payload");
      }
      return ReplicationMessage{first.as<consensus::ReplicaId>(),
                                std::string(second.via.bin.ptr, second.via.bin.size)};
    case 1:
      return JoinRequest{first.as<std::string>(), second.as<bool>()};
    case 2:
      return JoinAnswer{first.as<std::string>(), second.as<consensus::ReplicaId>()};
    case 3:
      return RemovalNotice{first.as<consensus::ReplicaId>(), second.as<consensus::Term>()};
    case 4: {
      const auto [replica, is_forwarded] = second.as<std::tuple<consensus::ReplicaId, bool>>();
      return MembershipInquiry{first.as<std::string>(), replica, is_forwarded};
    }
    case 5:
      return StopNotice{first.as<consensus::ReplicaId>(), second.as<std::string>()};
    default:
      throw ControlMemberError(fmt::format("unknown control group message type {}", type));
  }
}

}  // namespace

std::string EncodeFormationMessage(const FormationMessage& message) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(kElementCount);
  packer.pack(static_cast<std::uint64_t>(message.index()));
  std::visit([&](const auto& body) { PackBody(packer, body); }, message);
  return {buffer.data(), buffer.size()};
}

FormationMessage DecodeFormationMessage(std::string_view bytes) {
  try {
    const msgpack::unpack_limit limit(kMaximumElements, 0, kMaximumBytes, kMaximumBytes, 0,
                                      kMaximumDepth);
    const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit);
    const msgpack::object& object = handle.get();
    if (object.type != msgpack::type::ARRAY || object.via.array.size != kElementCount) {
      throw ControlMemberError("a control group message is not an array of three elements");
    }
    return Unpack(object.via.array.ptr[0].as<std::uint64_t>(), object.via.array.ptr[1],
                  object.via.array.ptr[2]);
  } catch (const ControlMemberError&) {
    throw;
  } catch (const std::exception& error) {
    throw ControlMemberError(std::string("cannot decode a control group message: ") + error.what());
  }
}

}  // namespace borageloft::control_member
