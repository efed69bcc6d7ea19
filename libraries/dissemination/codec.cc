#include "libraries/dissemination/codec.h"

#ifndef MSGPACK_NO_BOOST
#define MSGPACK_NO_BOOST
#endif
#include <limits>
#include <msgpack.hpp>
#include <utility>

#include "libraries/dissemination/error.h"

namespace borageloft::dissemination {

namespace {

using Packer = msgpack::packer<msgpack::sbuffer>;

void PackText(Packer& packer, const std::string& text) {
  if (text.size() > kMaximumText) {
    throw Error("dissemination message: text longer than 128 bytes");
  }
  packer.pack(text);
}

void PackNote(Packer& packer, const ReleaseNote& note) {
  if (note.payload.size() > kMaximumPayload) {
    throw Error("dissemination message: payload longer than 1 MiB");
  }
  packer.pack(note.number);
  PackText(packer, note.digest);
  packer.pack_bin(static_cast<std::uint32_t>(note.payload.size()));
  packer.pack_bin_body(note.payload.data(), static_cast<std::uint32_t>(note.payload.size()));
}

void PackReport(Packer& packer, const ZoneReport& report) {
  if (report.buckets().size() > kMaximumBuckets) {
    throw Error("dissemination message: too many buckets");
  }
  packer.pack_array(static_cast<std::uint32_t>(report.buckets().size()));
  for (const Bucket& bucket : report.buckets()) {
    packer.pack_array(3);
    packer.pack(bucket.number);
    packer.pack(bucket.nodes.count);
    packer.pack(bucket.nodes.hash_sum);
  }
}

void PackNodes(Packer& packer, const NodeSet& nodes) {
  packer.pack_array(2);
  packer.pack(nodes.count);
  packer.pack(nodes.hash_sum);
}

void PackNames(Packer& packer, const std::vector<std::string>& names, std::size_t maximum) {
  if (names.size() > maximum) {
    throw Error("dissemination message: too many names");
  }
  packer.pack_array(static_cast<std::uint32_t>(names.size()));
  for (const std::string& name : names) {
    PackText(packer, name);
  }
}

/** Packs the fields of each message type behind its type number. */
struct MessagePacker {
  Packer& packer;

  void operator()(const NoteMessage& message) const { PackNote(packer, message.note); }
  void operator()(const SnapshotMessage& message) const { PackNote(packer, message.snapshot); }
  void operator()(const StatusUp& message) const {
    PackText(packer, message.node);
    PackText(packer, message.zone);
    packer.pack(message.incarnation);
    packer.pack(message.sequence);
    packer.pack(message.number);
    packer.pack(message.wants_snapshot);
    PackReport(packer, message.report);
    PackText(packer, message.address);
  }
  void operator()(const StatusDown& message) const {
    PackText(packer, message.node);
    packer.pack(message.answered);
    packer.pack(message.number);
    packer.pack(message.oldest);
    packer.pack(message.root_age_ms);
    packer.pack(message.is_accepted);
    packer.pack(message.is_cut_off);
  }
  void operator()(const Detach& message) const {
    PackText(packer, message.node);
    packer.pack(message.incarnation);
    packer.pack(message.sequence);
  }
  void operator()(const PositionRequest& message) const {
    PackText(packer, message.node);
    PackText(packer, message.zone);
    packer.pack(message.incarnation);
    packer.pack(message.version);
    packer.pack(message.age_s);
  }
  void operator()(const Position& message) const {
    packer.pack(message.version);
    PackNames(packer, message.candidates, kMaximumCandidates);
    if (message.addresses.size() > kMaximumCandidates) {
      throw Error("dissemination message: too many addresses");
    }
    packer.pack_array(static_cast<std::uint32_t>(message.addresses.size()));
    for (const NodeAddress& entry : message.addresses) {
      packer.pack_array(2);
      PackText(packer, entry.node);
      PackText(packer, entry.address);
    }
  }
  void operator()(const ExpectedNodes& message) const {
    PackText(packer, message.zone);
    PackNodes(packer, message.reachable);
    PackNodes(packer, message.all);
    PackNames(packer, message.unreachable, kMaximumUnreachable);
  }
};

/** Number of fields of each message type, in the order of the variant. */
constexpr std::uint32_t kFieldCounts[] = {3, 3, 8, 7, 3, 5, 3, 4};
static_assert(std::size(kFieldCounts) == std::variant_size_v<Message>);

/** Reads the elements of one msgpack array in order and checks each type and bound. */
class Reader {
 public:
  Reader(const msgpack::object& object, std::size_t maximum) {
    if (object.type != msgpack::type::ARRAY || object.via.array.size > maximum) {
      throw Error("dissemination message: array of bounded length expected");
    }
    position_ = object.via.array.ptr;
    end_ = position_ + object.via.array.size;
  }

  bool has_more() const { return position_ != end_; }

  const msgpack::object& Next() {
    if (position_ == end_) {
      throw Error("dissemination message: too few fields");
    }
    return *position_++;
  }

  std::uint64_t Number(std::uint64_t maximum = std::numeric_limits<std::uint64_t>::max()) {
    const msgpack::object& object = Next();
    if (object.type != msgpack::type::POSITIVE_INTEGER || object.via.u64 > maximum) {
      throw Error("dissemination message: number of wrong type or range");
    }
    return object.via.u64;
  }

  std::uint32_t ShortNumber() {
    return static_cast<std::uint32_t>(Number(std::numeric_limits<std::uint32_t>::max()));
  }

  std::string Text() {
    const msgpack::object& object = Next();
    if (object.type != msgpack::type::STR || object.via.str.size > kMaximumText) {
      throw Error("dissemination message: text of wrong type or length");
    }
    return {object.via.str.ptr, object.via.str.size};
  }

  std::string Name() {
    std::string text = Text();
    if (text.empty()) {
      throw Error("dissemination message: empty name");
    }
    return text;
  }

  std::string Payload() {
    const msgpack::object& object = Next();
    if (object.type != msgpack::type::BIN || object.via.bin.size > kMaximumPayload) {
      throw Error("dissemination message: payload of wrong type or length");
    }
    return {object.via.bin.ptr, object.via.bin.size};
  }

  bool Flag() {
    const msgpack::object& object = Next();
    if (object.type != msgpack::type::BOOLEAN) {
      throw Error("dissemination message: boolean expected");
    }
    return object.via.boolean;
  }

 private:
  const msgpack::object* position_ = nullptr;
  const msgpack::object* end_ = nullptr;
};

ReleaseNote ReadNote(Reader& reader) {
  ReleaseNote note;
  note.number = reader.Number();
  note.digest = reader.Text();
  note.payload = reader.Payload();
  return note;
}

ZoneReport ReadReport(Reader& outer) {
  Reader reader(outer.Next(), kMaximumBuckets);
  std::vector<Bucket> buckets;
  while (reader.has_more()) {
    Reader fields(reader.Next(), 3);
    Bucket bucket;
    bucket.number = fields.Number();
    bucket.nodes.count = fields.Number();
    bucket.nodes.hash_sum = fields.Number();
    if (!buckets.empty() && buckets.back().number >= bucket.number) {
      throw Error("dissemination message: buckets out of order");
    }
    buckets.push_back(bucket);
  }
  return ZoneReport(std::move(buckets));
}

std::vector<std::string> ReadNames(Reader& outer, std::size_t maximum) {
  Reader reader(outer.Next(), maximum);
  std::vector<std::string> names;
  while (reader.has_more()) {
    names.push_back(reader.Name());
  }
  return names;
}

std::vector<NodeAddress> ReadAddresses(Reader& outer) {
  Reader reader(outer.Next(), kMaximumCandidates);
  std::vector<NodeAddress> addresses;
  while (reader.has_more()) {
    Reader fields(reader.Next(), 2);
    addresses.push_back(NodeAddress{fields.Name(), fields.Name()});
  }
  return addresses;
}

NodeSet ReadNodes(Reader& outer) {
  Reader reader(outer.Next(), 2);
  return NodeSet{reader.Number(), reader.Number()};
}

/** Reads the fields of the message type with the given number. */
Message ReadMessage(Reader& reader, std::uint64_t type) {
  // Fields are read in declared order, which the evaluation order of braces guarantees.
  switch (type) {
    case 0:
      return NoteMessage{ReadNote(reader)};
    case 1:
      return SnapshotMessage{ReadNote(reader)};
    case 2:
      return StatusUp{reader.Name(),   reader.Text(), reader.Number(),    reader.Number(),
                      reader.Number(), reader.Flag(), ReadReport(reader), reader.Text()};
    case 3:
      return StatusDown{reader.Name(),        reader.Number(), reader.Number(), reader.Number(),
                        reader.ShortNumber(), reader.Flag(),   reader.Flag()};
    case 4:
      return Detach{reader.Name(), reader.Number(), reader.Number()};
    case 5:
      return PositionRequest{reader.Name(), reader.Text(), reader.Number(), reader.Number(),
                             reader.ShortNumber()};
    case 6:
      return Position{reader.Number(), ReadNames(reader, kMaximumCandidates),
                      ReadAddresses(reader)};
    default:
      return ExpectedNodes{reader.Text(), ReadNodes(reader), ReadNodes(reader),
                           ReadNames(reader, kMaximumUnreachable)};
  }
}

}  // namespace

std::string Encode(const Message& message) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(1 + kFieldCounts[message.index()]);
  packer.pack(static_cast<std::uint64_t>(message.index()));
  std::visit(MessagePacker{packer}, message);
  return {buffer.data(), buffer.size()};
}

Message Decode(std::string_view bytes) {
  if (bytes.size() > kMaximumMessageBytes) {
    throw Error("dissemination message: too long");
  }
  try {
    // No map or extension value occurs. The deepest list nests three arrays.
    const msgpack::unpack_limit limit(kMaximumCandidates, 0, kMaximumText, kMaximumPayload, 0, 4);
    std::size_t used = 0;
    const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), used, nullptr, nullptr, limit);
    if (used != bytes.size()) {
      throw Error("dissemination message: bytes behind the message");
    }
    Reader reader(handle.get(), kMaximumCandidates);
    const std::uint64_t type = reader.Number(std::variant_size_v<Message> - 1);
    Message message = ReadMessage(reader, type);
    if (reader.has_more()) {
      throw Error("dissemination message: too many fields");
    }
    return message;
  } catch (const msgpack::unpack_error& error) {
    throw Error(std::string("dissemination message: ") + error.what());
  }
}

}  // namespace borageloft::dissemination
