#include "libraries/membership/codec.h"

#ifndef MSGPACK_NO_BOOST
#define MSGPACK_NO_BOOST
#endif
#include <msgpack.hpp>
#include <utility>

#include "libraries/membership/error.h"

namespace borageloft::membership {

namespace {

using Packer = msgpack::packer<msgpack::sbuffer>;

void PackText(Packer& packer, const std::string& text) {
  if (text.size() > kMaximumText) {
    throw Error("membership message: text longer than 128 bytes");
  }
  packer.pack(text);
}

/** Packs a bounded container, each element with the PackItem overload of its type. */
template <typename Items>
void PackList(Packer& packer, const Items& items, std::size_t maximum);

void PackItem(Packer& packer, const std::string& text) { PackText(packer, text); }

void PackItem(Packer& packer, const NodeRecord& record) {
  packer.pack_array(13);
  PackText(packer, record.node);
  packer.pack(record.stamp.incarnation);
  packer.pack(record.stamp.revision);
  PackText(packer, record.region);
  PackText(packer, record.zone);
  PackText(packer, record.address);
  packer.pack(static_cast<unsigned>(record.node_state));
  UpstreamData absent;
  absent.state = UpstreamState::kAbsent;
  const UpstreamData& upstream = record.upstream.has_value() ? *record.upstream : absent;
  packer.pack(static_cast<unsigned>(upstream.state));
  PackText(packer, upstream.service);
  PackText(packer, upstream.address);
  packer.pack(upstream.slots);
  packer.pack(upstream.connections);
  packer.pack(upstream.announcement);
}

void PackItem(Packer& packer, const RecordEntry& entry) {
  packer.pack_array(2);
  packer.pack(static_cast<unsigned>(entry.state));
  PackItem(packer, entry.record);
}

void PackItem(Packer& packer, const ServiceVersion& item) {
  packer.pack_array(2);
  PackText(packer, item.service);
  packer.pack(item.version);
}

void PackItem(Packer& packer, const NodeIncarnation& item) {
  packer.pack_array(2);
  PackText(packer, item.node);
  packer.pack(item.incarnation);
}

void PackItem(Packer& packer, const Fence& item) {
  packer.pack_array(3);
  PackText(packer, item.node);
  packer.pack(item.shown);
  packer.pack(item.above);
}

void PackItem(Packer& packer, const HeardLease& item) {
  packer.pack_array(3);
  PackItem(packer, item.lease.record);
  packer.pack(item.lease.sequence);
  packer.pack(item.age_ms);
}

template <typename Items>
void PackList(Packer& packer, const Items& items, std::size_t maximum) {
  if (items.size() > maximum) {
    throw Error("membership message: list too long");
  }
  packer.pack_array(static_cast<std::uint32_t>(items.size()));
  for (const auto& item : items) {
    PackItem(packer, item);
  }
}

void PackChunk(Packer& packer, const ViewChunk& chunk) {
  packer.pack_array(6);
  packer.pack(chunk.life);
  packer.pack(chunk.from);
  packer.pack(chunk.to);
  packer.pack(chunk.target);
  packer.pack(chunk.is_full);
  PackList(packer, chunk.entries, kMaximumRecords);
}

/** Packs the fields of each message type behind its type number. */
struct MessagePacker {
  Packer& packer;

  void operator()(const Lease& message) const {
    PackItem(packer, message.record);
    packer.pack(message.sequence);
  }
  void operator()(const LeaseAnswer& message) const {
    PackText(packer, message.registry);
    packer.pack(message.life);
    packer.pack(message.is_settled);
    packer.pack(message.incarnation);
    packer.pack(message.fenced);
  }
  void operator()(const Subscribe& message) const {
    PackText(packer, message.node);
    packer.pack(message.life);
    PackList(packer, message.services, kMaximumServices);
    PackList(packer, message.ended, kMaximumServices);
  }
  void operator()(const ServiceVersions& message) const {
    PackText(packer, message.registry);
    packer.pack(message.life);
    packer.pack(message.is_settled);
    PackList(packer, message.services, kMaximumServices);
  }
  void operator()(const ServiceDelta& message) const {
    PackText(packer, message.registry);
    PackText(packer, message.service);
    PackChunk(packer, message.chunk);
  }
  void operator()(const ConfirmRequest& message) const {
    PackText(packer, message.registry);
    PackList(packer, message.nodes, kMaximumRecords);
  }
  void operator()(const ConfirmAnswer& message) const {
    PackText(packer, message.registry);
    PackList(packer, message.confirmed, kMaximumRecords);
    PackList(packer, message.unconfirmed, kMaximumRecords);
  }
  void operator()(const StateRequest& message) const {
    PackText(packer, message.registry);
    packer.pack(message.life);
    packer.pack(message.after);
  }
  void operator()(const StateDelta& message) const {
    PackText(packer, message.registry);
    PackText(packer, message.region);
    PackChunk(packer, message.chunk);
  }
  void operator()(const FenceNotice& message) const {
    PackText(packer, message.sender);
    PackList(packer, message.fences, kMaximumRecords);
  }
};

/** Number of fields of each message type, in the order of the variant. */
constexpr std::uint32_t kFieldCounts[] = {2, 5, 4, 4, 3, 2, 3, 3, 3, 2};
static_assert(std::size(kFieldCounts) == std::variant_size_v<Message>);

/** Reads the elements of one msgpack array in order and checks each type and bound. */
class Reader {
 public:
  Reader(const msgpack::object& object, std::size_t minimum, std::size_t maximum) {
    if (object.type != msgpack::type::ARRAY || object.via.array.size < minimum ||
        object.via.array.size > maximum) {
      throw Error("membership message: array of wrong length expected");
    }
    position_ = object.via.array.ptr;
    end_ = position_ + object.via.array.size;
  }

  bool has_more() const { return position_ != end_; }

  const msgpack::object& Next() {
    if (position_ == end_) {
      throw Error("membership message: too few fields");
    }
    return *position_++;
  }

  std::uint64_t Number(std::uint64_t maximum = std::numeric_limits<std::uint64_t>::max()) {
    const msgpack::object& object = Next();
    if (object.type != msgpack::type::POSITIVE_INTEGER || object.via.u64 > maximum) {
      throw Error("membership message: number of wrong type or range");
    }
    return object.via.u64;
  }

  std::string Text() {
    const msgpack::object& object = Next();
    if (object.type != msgpack::type::STR || object.via.str.size > kMaximumText) {
      throw Error("membership message: text of wrong type or length");
    }
    return {object.via.str.ptr, object.via.str.size};
  }

  bool Flag() {
    const msgpack::object& object = Next();
    if (object.type != msgpack::type::BOOLEAN) {
      throw Error("membership message: boolean expected");
    }
    return object.via.boolean;
  }

  template <typename Enum>
  Enum Enumerated(Enum last) {
    return static_cast<Enum>(Number(static_cast<std::uint64_t>(last)));
  }

  Reader Array(std::size_t count) { return {Next(), count, count}; }

  template <typename Item, typename ReadItem>
  std::vector<Item> List(std::size_t maximum, ReadItem read_item) {
    Reader reader(Next(), 0, maximum);
    std::vector<Item> items;
    while (reader.has_more()) {
      items.push_back(read_item(reader));
    }
    return items;
  }

 private:
  const msgpack::object* position_ = nullptr;
  const msgpack::object* end_ = nullptr;
};

std::string ReadText(Reader& reader) { return reader.Text(); }

NodeRecord ReadRecord(Reader& outer) {
  Reader reader = outer.Array(13);
  NodeRecord record;
  record.node = reader.Text();
  record.stamp.incarnation = reader.Number();
  record.stamp.revision = reader.Number();
  record.region = reader.Text();
  record.zone = reader.Text();
  record.address = reader.Text();
  record.node_state = reader.Enumerated(NodeState::kStopped);
  UpstreamData upstream;
  upstream.state = reader.Enumerated(UpstreamState::kGone);
  upstream.service = reader.Text();
  upstream.address = reader.Text();
  upstream.slots = static_cast<std::uint32_t>(reader.Number(kMaximumSlots));
  upstream.connections = static_cast<std::uint32_t>(reader.Number(kMaximumSlots));
  upstream.announcement = reader.Number();
  if (record.node.empty()) {
    throw Error("membership message: record without node");
  }
  if (upstream.state != UpstreamState::kAbsent) {
    if (upstream.service.empty()) {
      throw Error("membership message: upstream without service");
    }
    record.upstream = std::move(upstream);
  }
  return record;
}

RecordEntry ReadEntry(Reader& outer) {
  Reader reader = outer.Array(2);
  RecordEntry entry;
  entry.state = reader.Enumerated(EntryState::kRemoved);
  entry.record = ReadRecord(reader);
  return entry;
}

ServiceVersion ReadServiceVersion(Reader& outer) {
  Reader reader = outer.Array(2);
  ServiceVersion item;
  item.service = reader.Text();
  item.version = reader.Number();
  return item;
}

NodeIncarnation ReadNodeIncarnation(Reader& outer) {
  Reader reader = outer.Array(2);
  NodeIncarnation item;
  item.node = reader.Text();
  item.incarnation = reader.Number();
  return item;
}

Fence ReadFence(Reader& outer) {
  Reader reader = outer.Array(3);
  Fence item;
  item.node = reader.Text();
  item.shown = reader.Number();
  item.above = reader.Number();
  if (item.shown > item.above) {
    throw Error("membership message: fence below the shown incarnation");
  }
  return item;
}

HeardLease ReadHeardLease(Reader& outer) {
  Reader reader = outer.Array(3);
  HeardLease item;
  item.lease.record = ReadRecord(reader);
  item.lease.sequence = reader.Number();
  item.age_ms = static_cast<std::uint32_t>(reader.Number(0xffffffff));
  return item;
}

ViewChunk ReadChunk(Reader& outer) {
  Reader reader = outer.Array(6);
  ViewChunk chunk;
  chunk.life = reader.Number();
  chunk.from = reader.Number();
  chunk.to = reader.Number();
  chunk.target = reader.Number();
  chunk.is_full = reader.Flag();
  chunk.entries = reader.List<RecordEntry>(kMaximumRecords, ReadEntry);
  if (chunk.from > chunk.to || chunk.to > chunk.target) {
    throw Error("membership message: versions out of order");
  }
  return chunk;
}

/** Reads the fields of the message type with the given number. */
Message ReadMessage(Reader& reader, std::uint64_t type) {
  // Fields are read in declared order, which the evaluation order of braces guarantees.
  switch (type) {
    case 0:
      return Lease{ReadRecord(reader), reader.Number()};
    case 1:
      return LeaseAnswer{reader.Text(), reader.Number(), reader.Flag(), reader.Number(),
                         reader.Number()};
    case 2:
      return Subscribe{reader.Text(), reader.Number(),
                       reader.List<ServiceVersion>(kMaximumServices, ReadServiceVersion),
                       reader.List<std::string>(kMaximumServices, ReadText)};
    case 3:
      return ServiceVersions{reader.Text(), reader.Number(), reader.Flag(),
                             reader.List<ServiceVersion>(kMaximumServices, ReadServiceVersion)};
    case 4:
      return ServiceDelta{reader.Text(), reader.Text(), ReadChunk(reader)};
    case 5:
      return ConfirmRequest{reader.Text(),
                            reader.List<NodeIncarnation>(kMaximumRecords, ReadNodeIncarnation)};
    case 6:
      return ConfirmAnswer{reader.Text(), reader.List<HeardLease>(kMaximumRecords, ReadHeardLease),
                           reader.List<std::string>(kMaximumRecords, ReadText)};
    case 7:
      return StateRequest{reader.Text(), reader.Number(), reader.Number()};
    case 8:
      return StateDelta{reader.Text(), reader.Text(), ReadChunk(reader)};
    default:
      return FenceNotice{reader.Text(), reader.List<Fence>(kMaximumRecords, ReadFence)};
  }
}

}  // namespace

std::string Encode(const Message& message) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(1 + kFieldCounts[message.index()]);
  packer.pack(static_cast<std::uint64_t>(message.index()));
  std::visit(MessagePacker{packer}, message);
  if (buffer.size() > kMaximumMessageBytes) {
    throw Error("membership message: longer than 256 KiB");
  }
  return {buffer.data(), buffer.size()};
}

Message Decode(std::string_view bytes) {
  if (bytes.size() > kMaximumMessageBytes) {
    throw Error("membership message: longer than 256 KiB");
  }
  try {
    // No map, binary or extension value occurs. The deepest list nests five arrays.
    const msgpack::unpack_limit limit(kMaximumServices, 0, kMaximumText, 0, 0, 8);
    std::size_t used = 0;
    const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), used, nullptr, nullptr, limit);
    if (used != bytes.size()) {
      throw Error("membership message: bytes behind the message");
    }
    Reader reader(handle.get(), 1, 1 + kMaximumText);
    const std::uint64_t type = reader.Number(std::variant_size_v<Message> - 1);
    Message message = ReadMessage(reader, type);
    if (reader.has_more()) {
      throw Error("membership message: too many fields");
    }
    return message;
  } catch (const msgpack::unpack_error& error) {
    throw Error(std::string("membership message: ") + error.what());
  }
}

}  // namespace borageloft::membership
