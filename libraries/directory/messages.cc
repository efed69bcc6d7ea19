#include "libraries/directory/messages.h"

#include <fmt/format.h>

#include <exception>
#include <limits>
#include <msgpack.hpp>

namespace borageloft::directory {

namespace {

// A declaration of several hundred routes and a registry of 6,400 nodes stay well below these
// limits.
constexpr std::size_t kMaxMessageBytes = std::size_t{16} << 20U;
constexpr std::size_t kMaxElements = 100'000;
constexpr std::size_t kMaxDepth = 6;
constexpr std::uint32_t kUnknownAge = std::numeric_limits<std::uint32_t>::max();

using Packer = msgpack::packer<msgpack::sbuffer>;

void Pack(Packer& packer, const InstanceRecord& record) {
  packer.pack_array(13);
  packer.pack(record.node);
  packer.pack(record.zone);
  packer.pack(record.epoch);
  packer.pack(record.revision);
  packer.pack(record.service);
  packer.pack(record.instance);
  packer.pack(record.slots);
  packer.pack(static_cast<std::uint8_t>(record.state));
  packer.pack(record.warm_up_left_ms);
  packer.pack(record.remote_calls);
  packer.pack(static_cast<std::uint8_t>(record.calls));
  packer.pack(record.slowdown_steps);
  packer.pack(record.born);
}

/** Reads the elements of an array in order. */
class Reader {
 public:
  explicit Reader(const msgpack::object& object) {
    if (object.type != msgpack::type::ARRAY) {
      throw DirectoryError("expected an array");
    }
    array_ = object.via.array;
  }

  const msgpack::object& Take() {
    if (next_ >= array_.size) {
      throw DirectoryError("array has too few elements");
    }
    return array_.ptr[next_++];
  }

  template <typename Value>
  void Take(Value& value) {
    Take().convert(value);
  }

  bool IsAtEnd() const { return next_ == array_.size; }

 private:
  msgpack::object_array array_{};
  std::uint32_t next_ = 0;
};

InstanceRecord UnpackRecord(const msgpack::object& object) {
  Reader reader(object);
  InstanceRecord record;
  reader.Take(record.node);
  reader.Take(record.zone);
  reader.Take(record.epoch);
  reader.Take(record.revision);
  reader.Take(record.service);
  reader.Take(record.instance);
  reader.Take(record.slots);
  std::uint8_t state = 0;
  reader.Take(state);
  if (state > static_cast<std::uint8_t>(InstanceState::kLeaving)) {
    throw DirectoryError(fmt::format("unknown instance state {}", state));
  }
  record.state = static_cast<InstanceState>(state);
  reader.Take(record.warm_up_left_ms);
  reader.Take(record.remote_calls);
  std::uint8_t calls = 0;
  reader.Take(calls);
  if (calls > static_cast<std::uint8_t>(CallUse::kSome)) {
    throw DirectoryError(fmt::format("unknown call use {}", calls));
  }
  record.calls = static_cast<CallUse>(calls);
  reader.Take(record.slowdown_steps);
  reader.Take(record.born);
  return record;
}

void PackBody(Packer& packer, const SyncRequest& request) {
  packer.pack_array(request.sent_at > 0 ? 6 : 5);
  Pack(packer, request.record);
  packer.pack(request.known_version);
  packer.pack(request.registry_epoch);
  packer.pack(request.registry_revision);
  packer.pack(static_cast<std::uint8_t>(request.kind));
  if (request.sent_at > 0) {
    packer.pack(request.sent_at);
  }
}

void PackBody(Packer& packer, const SyncAnswer& answer) {
  packer.pack_array(answer.request_sent_at > 0 ? 13 : 11);
  packer.pack(answer.is_current);
  packer.pack(answer.version);
  packer.pack(answer.declaration);
  packer.pack(answer.control_hosts);
  packer.pack(answer.is_complete);
  packer.pack(answer.registry_epoch);
  packer.pack(answer.base_revision);
  packer.pack(answer.registry_revision);
  packer.pack_array(static_cast<std::uint32_t>(answer.records.size()));
  for (const InstanceRecord& record : answer.records) {
    Pack(packer, record);
  }
  packer.pack(answer.removed);
  packer.pack(answer.zone);
  if (answer.request_sent_at > 0) {
    packer.pack(answer.request_sent_at);
    packer.pack(answer.age_ms.value_or(kUnknownAge));
  }
}

void PackBody(Packer& packer, const FreshnessRequest& request) {
  packer.pack_array(1);
  packer.pack(request.sent_at);
}

void PackBody(Packer& packer, const FreshnessAnswer& answer) {
  packer.pack_array(2);
  packer.pack(answer.request_sent_at);
  packer.pack(answer.version);
}

void Pack(Packer& packer, const Incarnation& incarnation) {
  packer.pack_array(2);
  packer.pack(incarnation.instance);
  packer.pack(incarnation.born);
}

Incarnation UnpackIncarnation(const msgpack::object& object) {
  Reader reader(object);
  Incarnation incarnation;
  reader.Take(incarnation.instance);
  reader.Take(incarnation.born);
  return incarnation;
}

void PackBody(Packer& packer, const DepartureRequest& request) {
  packer.pack_array(4);
  packer.pack(request.node);
  packer.pack(request.epoch);
  Pack(packer, request.departed);
  packer.pack(request.is_forwarded);
}

void PackBody(Packer& packer, const DepartureAnswer& answer) {
  packer.pack_array(2);
  packer.pack(answer.epoch);
  packer.pack_array(static_cast<std::uint32_t>(answer.departed.size()));
  for (const Incarnation& incarnation : answer.departed) {
    Pack(packer, incarnation);
  }
}

DepartureRequest UnpackDepartureRequest(const msgpack::object& object) {
  Reader reader(object);
  DepartureRequest request;
  reader.Take(request.node);
  reader.Take(request.epoch);
  request.departed = UnpackIncarnation(reader.Take());
  reader.Take(request.is_forwarded);
  return request;
}

DepartureAnswer UnpackDepartureAnswer(const msgpack::object& object) {
  Reader reader(object);
  DepartureAnswer answer;
  reader.Take(answer.epoch);
  Reader departed(reader.Take());
  while (!departed.IsAtEnd()) {
    answer.departed.push_back(UnpackIncarnation(departed.Take()));
  }
  return answer;
}

SyncRequest UnpackRequest(const msgpack::object& object) {
  Reader reader(object);
  SyncRequest request;
  request.record = UnpackRecord(reader.Take());
  reader.Take(request.known_version);
  reader.Take(request.registry_epoch);
  reader.Take(request.registry_revision);
  if (!reader.IsAtEnd()) {  // Nodes of the earlier release state no kind.
    std::uint8_t kind = 0;
    reader.Take(kind);
    if (kind > static_cast<std::uint8_t>(SyncKind::kExchange)) {
      throw DirectoryError(fmt::format("unknown kind of sync request {}", kind));
    }
    request.kind = static_cast<SyncKind>(kind);
  }
  if (!reader.IsAtEnd()) {
    reader.Take(request.sent_at);
  }
  return request;
}

SyncAnswer UnpackAnswer(const msgpack::object& object) {
  Reader reader(object);
  SyncAnswer answer;
  reader.Take(answer.is_current);
  reader.Take(answer.version);
  reader.Take(answer.declaration);
  reader.Take(answer.control_hosts);
  reader.Take(answer.is_complete);
  reader.Take(answer.registry_epoch);
  reader.Take(answer.base_revision);
  reader.Take(answer.registry_revision);
  const msgpack::object& records = reader.Take();
  if (records.type != msgpack::type::ARRAY) {
    throw DirectoryError("expected an array of records");
  }
  for (std::uint32_t i = 0; i < records.via.array.size; ++i) {
    answer.records.push_back(UnpackRecord(records.via.array.ptr[i]));
  }
  reader.Take(answer.removed);
  if (!reader.IsAtEnd()) {  // Control hosts of the earlier release state no zone.
    reader.Take(answer.zone);
  }
  if (!reader.IsAtEnd()) {
    reader.Take(answer.request_sent_at);
    std::uint32_t age_ms = 0;
    reader.Take(age_ms);
    answer.age_ms = age_ms == kUnknownAge ? std::nullopt : std::optional(age_ms);
  }
  return answer;
}

void PackBody(Packer& packer, const QuotaRequest& request) {
  packer.pack_array(6);
  packer.pack(request.node);
  packer.pack(request.epoch);
  packer.pack(request.sequence);
  packer.pack(request.is_forwarded);
  packer.pack(request.nodes);
  packer.pack_array(static_cast<std::uint32_t>(request.uses.size()));
  for (const QuotaUse& use : request.uses) {
    packer.pack_array(5);
    packer.pack(use.account);
    packer.pack(use.arrivals);
    packer.pack(use.wanted);
    packer.pack(use.ahead);
    packer.pack(use.returned);
  }
}

void PackBody(Packer& packer, const QuotaAnswer& answer) {
  packer.pack_array(3);
  packer.pack(answer.epoch);
  packer.pack(answer.sequence);
  packer.pack_array(static_cast<std::uint32_t>(answer.grants.size()));
  for (const QuotaGrant& grant : answer.grants) {
    packer.pack_array(4);
    packer.pack(grant.account);
    packer.pack(grant.granted);
    packer.pack(grant.demand_milli);
    packer.pack(grant.wait_ms);
  }
}

QuotaRequest UnpackQuotaRequest(const msgpack::object& object) {
  Reader reader(object);
  QuotaRequest request;
  reader.Take(request.node);
  reader.Take(request.epoch);
  reader.Take(request.sequence);
  reader.Take(request.is_forwarded);
  reader.Take(request.nodes);
  Reader uses(reader.Take());
  while (!uses.IsAtEnd()) {
    Reader fields(uses.Take());
    QuotaUse& use = request.uses.emplace_back();
    fields.Take(use.account);
    fields.Take(use.arrivals);
    fields.Take(use.wanted);
    fields.Take(use.ahead);
    fields.Take(use.returned);
  }
  return request;
}

QuotaAnswer UnpackQuotaAnswer(const msgpack::object& object) {
  Reader reader(object);
  QuotaAnswer answer;
  reader.Take(answer.epoch);
  reader.Take(answer.sequence);
  Reader grants(reader.Take());
  while (!grants.IsAtEnd()) {
    Reader fields(grants.Take());
    QuotaGrant& grant = answer.grants.emplace_back();
    fields.Take(grant.account);
    fields.Take(grant.granted);
    fields.Take(grant.demand_milli);
    fields.Take(grant.wait_ms);
  }
  return answer;
}

FreshnessRequest UnpackFreshnessRequest(const msgpack::object& object) {
  Reader reader(object);
  FreshnessRequest request;
  reader.Take(request.sent_at);
  return request;
}

FreshnessAnswer UnpackFreshnessAnswer(const msgpack::object& object) {
  Reader reader(object);
  FreshnessAnswer answer;
  reader.Take(answer.request_sent_at);
  reader.Take(answer.version);
  return answer;
}

}  // namespace

std::string Encode(const Message& message) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(2);
  packer.pack(static_cast<std::uint8_t>(message.index()));
  std::visit([&](const auto& body) { PackBody(packer, body); }, message);
  return {buffer.data(), buffer.size()};
}

Message Decode(std::string_view bytes) {
  if (bytes.size() > kMaxMessageBytes) {
    throw DirectoryError("message is too long");
  }
  try {
    const msgpack::unpack_limit limit(kMaxElements, 0, kMaxMessageBytes, 0, 0, kMaxDepth);
    const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit);
    Reader reader(handle.get());
    std::uint8_t type = 0;
    reader.Take(type);
    if (type == 0) {
      return UnpackRequest(reader.Take());
    }
    if (type == 1) {
      return UnpackAnswer(reader.Take());
    }
    if (type == 2) {
      return UnpackDepartureRequest(reader.Take());
    }
    if (type == 3) {
      return UnpackDepartureAnswer(reader.Take());
    }
    if (type == 4) {
      return UnpackFreshnessRequest(reader.Take());
    }
    if (type == 5) {
      return UnpackFreshnessAnswer(reader.Take());
    }
    if (type == 6) {
      return UnpackQuotaRequest(reader.Take());
    }
    if (type == 7) {
      return UnpackQuotaAnswer(reader.Take());
    }
    throw DirectoryError(fmt::format("unknown message type {}", type));
  } catch (const DirectoryError&) {
    throw;
  } catch (const std::exception& error) {
    throw DirectoryError(std::string("malformed message: ") + error.what());
  }
}

}  // namespace borageloft::directory
