#include "libraries/consensus/codec.h"

#include <fmt/format.h>

#include <limits>
#include <msgpack.hpp>
#include <utility>

#include "libraries/consensus/error.h"
#include "libraries/consensus/limits.h"

namespace borageloft::consensus {

namespace {

using Packer = msgpack::packer<msgpack::sbuffer>;

// The deepest nesting is message, body, membership, member list, member.
constexpr std::size_t kMaxDepth = 6;
constexpr std::size_t kMaxRecordBytes = kMaxSnapshotBytes + kMaxCommandBytes;

void PackBytes(Packer& packer, std::string_view bytes) {
  packer.pack_bin(static_cast<std::uint32_t>(bytes.size()));
  packer.pack_bin_body(bytes.data(), static_cast<std::uint32_t>(bytes.size()));
}

/** Reads the fields of one msgpack array in order. */
class ArrayReader {
 public:
  ArrayReader(const msgpack::object& object, std::size_t size) : ArrayReader(object) {
    if (array_.size != size) {
      throw ConsensusError(fmt::format("array has {} fields, expected {}", array_.size, size));
    }
  }

  explicit ArrayReader(const msgpack::object& object) {
    if (object.type != msgpack::type::ARRAY) {
      throw ConsensusError("field is not an array");
    }
    array_ = object.via.array;
  }

  std::size_t size() const { return array_.size; }

  const msgpack::object& Next() {
    if (position_ >= array_.size) {
      throw ConsensusError("array has too few fields");
    }
    return array_.ptr[position_++];
  }

  std::uint64_t Number(std::uint64_t max = std::numeric_limits<std::uint64_t>::max()) {
    const msgpack::object& object = Next();
    if (object.type != msgpack::type::POSITIVE_INTEGER || object.via.u64 > max) {
      throw ConsensusError(fmt::format("field is not an unsigned integer of at most {}", max));
    }
    return object.via.u64;
  }

  bool Boolean() {
    const msgpack::object& object = Next();
    if (object.type != msgpack::type::BOOLEAN) {
      throw ConsensusError("field is not a boolean");
    }
    return object.via.boolean;
  }

  std::string Bytes(std::size_t max) {
    const msgpack::object& object = Next();
    if (object.type != msgpack::type::BIN || object.via.bin.size > max) {
      throw ConsensusError(fmt::format("field is not a byte string of at most {} bytes", max));
    }
    return {object.via.bin.ptr, object.via.bin.size};
  }

 private:
  msgpack::object_array array_{};
  std::size_t position_ = 0;
};

void PackMembership(Packer& packer, const Membership& membership) {
  packer.pack_array(2).pack(membership.next_id());
  packer.pack_array(static_cast<std::uint32_t>(membership.members().size()));
  for (const auto& [id, member] : membership.members()) {
    packer.pack_array(3).pack(id).pack(member.is_voter);
    PackBytes(packer, member.host);
  }
}

Membership ReadMembership(const msgpack::object& object) {
  ArrayReader reader(object, 2);
  const ReplicaId next_id = reader.Number();
  ArrayReader list(reader.Next());
  std::map<ReplicaId, Member> members;
  for (std::size_t i = 0; i < list.size(); ++i) {
    ArrayReader item(list.Next(), 3);
    const ReplicaId id = item.Number();
    const bool is_voter = item.Boolean();
    if (!members.emplace(id, Member{item.Bytes(kMaxHostBytes), is_voter}).second) {
      throw ConsensusError("membership has a duplicate replica id");
    }
  }
  return Membership::FromParts(std::move(members), next_id);
}

/** Parses @p bytes and passes the top-level object to @p read. */
template <typename Read>
auto Parse(std::string_view bytes, std::size_t max_bytes, Read read) {
  if (bytes.size() > max_bytes) {
    throw ConsensusError(fmt::format("encoded value of {} bytes exceeds the limit of {} bytes",
                                     bytes.size(), max_bytes));
  }
  try {
    std::size_t offset = 0;
    const msgpack::unpack_limit limit(kMaxEntriesPerMessage, 0, 0, max_bytes, 0, kMaxDepth);
    // Byte strings reference the input and are not copied here; the readers copy what they keep.
    const msgpack::object_handle handle = msgpack::unpack(
        bytes.data(), bytes.size(), offset,
        [](msgpack::type::object_type, std::size_t, void*) { return true; }, nullptr, limit);
    if (offset != bytes.size()) {
      throw ConsensusError("trailing bytes after the encoded value");
    }
    return read(handle.get());
  } catch (const msgpack::unpack_error& error) {
    throw ConsensusError(fmt::format("not valid msgpack: {}", error.what()));
  }
}

std::string ToString(const msgpack::sbuffer& buffer) { return {buffer.data(), buffer.size()}; }

void CheckMembershipEntry(const Entry& entry) {
  if (entry.kind == EntryKind::kMembership) {
    DecodeMembership(entry.data);
  }
}

/** Packs the body of a message as one array. */
struct BodyPacker {
  Packer& packer;

  void operator()(const VoteRequest& body) const {
    packer.pack_array(4).pack(body.is_pre_vote).pack(body.is_transfer);
    packer.pack(body.last_index).pack(body.last_term);
  }
  void operator()(const VoteResponse& body) const {
    packer.pack_array(2).pack(body.is_pre_vote).pack(body.is_granted);
  }
  void operator()(const AppendRequest& body) const {
    packer.pack_array(5).pack(body.previous_index).pack(body.previous_term);
    packer.pack(body.commit).pack(body.commit_term);
    packer.pack_array(static_cast<std::uint32_t>(body.entries.size()));
    for (const Entry& entry : body.entries) {
      packer.pack_array(3).pack(entry.term).pack(static_cast<std::uint8_t>(entry.kind));
      PackBytes(packer, entry.data);
    }
  }
  void operator()(const AppendResponse& body) const {
    packer.pack_array(5).pack(body.is_rejected).pack(body.match).pack(body.rejected_index);
    packer.pack(body.hint_index).pack(body.hint_term);
  }
  void operator()(const Heartbeat& body) const {
    packer.pack_array(3).pack(body.commit).pack(body.commit_term).pack(body.round);
  }
  void operator()(const HeartbeatResponse& body) const { packer.pack_array(1).pack(body.round); }
  void operator()(const SnapshotChunk& body) const {
    packer.pack_array(7).pack(body.index).pack(body.term);
    PackMembership(packer, body.membership);
    packer.pack(body.total_bytes).pack(body.checksum).pack(body.offset);
    PackBytes(packer, body.data);
  }
  void operator()(const SnapshotChunkResponse& body) const {
    packer.pack_array(3).pack(body.index).pack(body.offset).pack(body.next_offset);
  }
  void operator()(const TransferRequest&) const { packer.pack_array(0); }
};

AppendRequest ReadAppendRequest(const msgpack::object& object) {
  ArrayReader reader(object, 5);
  AppendRequest body;
  // The limit keeps the indexes of the entries from overflowing.
  body.previous_index = reader.Number(std::numeric_limits<std::uint64_t>::max() / 2);
  body.previous_term = reader.Number();
  body.commit = reader.Number();
  body.commit_term = reader.Number();
  ArrayReader list(reader.Next());
  body.entries.reserve(list.size());
  Term min_term = body.previous_term;
  for (std::size_t i = 0; i < list.size(); ++i) {
    ArrayReader item(list.Next(), 3);
    Entry entry;
    entry.term = item.Number();
    entry.index = body.previous_index + i + 1;
    entry.kind = static_cast<EntryKind>(item.Number(2));
    entry.data = item.Bytes(kMaxCommandBytes);
    if (entry.term < min_term) {
      throw ConsensusError("append request has entries with decreasing terms");
    }
    min_term = entry.term;
    CheckMembershipEntry(entry);
    body.entries.push_back(std::move(entry));
  }
  return body;
}

SnapshotChunk ReadSnapshotChunk(const msgpack::object& object) {
  ArrayReader reader(object, 7);
  SnapshotChunk body;
  body.index = reader.Number();
  body.term = reader.Number();
  body.membership = ReadMembership(reader.Next());
  body.total_bytes = reader.Number(kMaxSnapshotBytes);
  body.checksum = reader.Number();
  body.offset = reader.Number(body.total_bytes);
  body.data = reader.Bytes(kMaxChunkBytes);
  if (body.data.size() > body.total_bytes - body.offset) {
    throw ConsensusError("snapshot chunk extends past the end of the snapshot");
  }
  return body;
}

MessageBody ReadBody(std::uint64_t type, const msgpack::object& object) {
  switch (type) {
    case 0: {
      ArrayReader reader(object, 4);
      VoteRequest body;
      body.is_pre_vote = reader.Boolean();
      body.is_transfer = reader.Boolean();
      body.last_index = reader.Number();
      body.last_term = reader.Number();
      return body;
    }
    case 1: {
      ArrayReader reader(object, 2);
      VoteResponse body;
      body.is_pre_vote = reader.Boolean();
      body.is_granted = reader.Boolean();
      return body;
    }
    case 2:
      return ReadAppendRequest(object);
    case 3: {
      ArrayReader reader(object, 5);
      AppendResponse body;
      body.is_rejected = reader.Boolean();
      body.match = reader.Number();
      body.rejected_index = reader.Number();
      body.hint_index = reader.Number();
      body.hint_term = reader.Number();
      return body;
    }
    case 4: {
      ArrayReader reader(object, 3);
      Heartbeat body;
      body.commit = reader.Number();
      body.commit_term = reader.Number();
      body.round = reader.Number();
      return body;
    }
    case 5:
      return HeartbeatResponse{ArrayReader(object, 1).Number()};
    case 6:
      return ReadSnapshotChunk(object);
    case 7: {
      ArrayReader reader(object, 3);
      SnapshotChunkResponse body;
      body.index = reader.Number();
      body.offset = reader.Number();
      body.next_offset = reader.Number();
      return body;
    }
    case 8:
      ArrayReader(object, 0);
      return TransferRequest{};
    default:
      throw ConsensusError(fmt::format("unknown message type {}", type));
  }
}

}  // namespace

std::string EncodeMessage(const Message& message) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(5).pack(message.from).pack(message.to).pack(message.term);
  packer.pack(static_cast<std::uint8_t>(message.body.index()));
  std::visit(BodyPacker{packer}, message.body);
  VERIFY(buffer.size() <= kMaxMessageBytes);
  return ToString(buffer);
}

Message DecodeMessage(std::string_view bytes) {
  return Parse(bytes, kMaxMessageBytes, [](const msgpack::object& object) {
    ArrayReader reader(object, 5);
    Message message;
    message.from = reader.Number();
    message.to = reader.Number();
    message.term = reader.Number();
    const std::uint64_t type = reader.Number();
    message.body = ReadBody(type, reader.Next());
    return message;
  });
}

std::string EncodeMembership(const Membership& membership) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  PackMembership(packer, membership);
  return ToString(buffer);
}

Membership DecodeMembership(std::string_view bytes) {
  return Parse(bytes, kMaxCommandBytes, ReadMembership);
}

std::string EncodeEntry(const Entry& entry) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(4)
      .pack(entry.term)
      .pack(entry.index)
      .pack(static_cast<std::uint8_t>(entry.kind));
  PackBytes(packer, entry.data);
  return ToString(buffer);
}

Entry DecodeEntry(std::string_view bytes) {
  return Parse(bytes, kMaxMessageBytes, [](const msgpack::object& object) {
    ArrayReader reader(object, 4);
    Entry entry;
    entry.term = reader.Number();
    entry.index = reader.Number();
    entry.kind = static_cast<EntryKind>(reader.Number(2));
    entry.data = reader.Bytes(kMaxCommandBytes);
    CheckMembershipEntry(entry);
    return entry;
  });
}

std::string EncodeHardState(const HardState& state) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(3).pack(state.replica).pack(state.term).pack(state.vote);
  return ToString(buffer);
}

HardState DecodeHardState(std::string_view bytes) {
  return Parse(bytes, kMaxMessageBytes, [](const msgpack::object& object) {
    ArrayReader reader(object, 3);
    HardState state;
    state.replica = reader.Number();
    state.term = reader.Number();
    state.vote = reader.Number();
    return state;
  });
}

std::string EncodeSnapshot(const Snapshot& snapshot) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(4).pack(snapshot.index).pack(snapshot.term);
  PackMembership(packer, snapshot.membership);
  PackBytes(packer, snapshot.data);
  return ToString(buffer);
}

Snapshot DecodeSnapshot(std::string_view bytes) {
  return Parse(bytes, kMaxRecordBytes, [](const msgpack::object& object) {
    ArrayReader reader(object, 4);
    Snapshot snapshot;
    snapshot.index = reader.Number();
    snapshot.term = reader.Number();
    snapshot.membership = ReadMembership(reader.Next());
    snapshot.data = reader.Bytes(kMaxSnapshotBytes);
    return snapshot;
  });
}

}  // namespace borageloft::consensus
