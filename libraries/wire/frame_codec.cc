#include "libraries/wire/frame_codec.h"

#include <fmt/format.h>

#include <array>
#include <msgpack.hpp>
#include <type_traits>

namespace borageloft::wire {

namespace {

using Packer = msgpack::packer<msgpack::sbuffer>;

// Bounds of one payload beside its length: they keep a hostile frame from claiming memory.
constexpr std::size_t kMaximumArray = 4096;
constexpr std::size_t kMaximumDepth = 8;
// Memory that a reader keeps between frames; a longer frame is an exception.
constexpr std::size_t kKeptBytes = std::size_t{16} << 10U;

/** Writes the fields of a frame in order. */
class FieldWriter {
 public:
  explicit FieldWriter(Packer& packer) : packer_(packer) {}

  template <typename Value>
  void operator()(const Value& value) {
    if constexpr (std::is_enum_v<Value>) {
      packer_.pack(static_cast<std::uint64_t>(value));
    } else {
      packer_.pack(value);
    }
  }

  void operator()(const std::string& value) {
    packer_.pack_bin(static_cast<std::uint32_t>(value.size()));
    packer_.pack_bin_body(value.data(), static_cast<std::uint32_t>(value.size()));
  }

  void operator()(const base::Duration& value) { packer_.pack(value.count()); }

  void operator()(const base::WallTime& value) { packer_.pack(value.time_since_epoch().count()); }

  void operator()(const std::vector<Header>& headers) {
    packer_.pack_array(static_cast<std::uint32_t>(2 * headers.size()));
    for (const Header& header : headers) {
      (*this)(header.name);
      (*this)(header.value);
    }
  }

 private:
  Packer& packer_;
};

/** Reads the fields of a frame in order and checks each type. */
class FieldReader {
 public:
  explicit FieldReader(const msgpack::object_array& fields) : fields_(fields) {}

  template <typename Value>
  void operator()(Value& value) {
    if constexpr (std::is_enum_v<Value>) {
      std::uint64_t number = 0;
      Take().convert(number);
      value = CheckEnum(static_cast<Value>(number), number);
    } else {
      Take().convert(value);
    }
  }

  void operator()(std::string& value) { value = Text(Take()); }

  void operator()(base::Duration& value) {
    std::int64_t count = 0;
    Take().convert(count);
    value = base::Duration(count);
  }

  void operator()(base::WallTime& value) {
    std::int64_t count = 0;
    Take().convert(count);
    value = base::WallTime(base::Duration(count));
  }

  void operator()(std::vector<Header>& headers) {
    const msgpack::object& field = Take();
    if (field.type != msgpack::type::ARRAY || field.via.array.size % 2 != 0) {
      throw WireError("headers are not pairs");
    }
    headers.reserve(field.via.array.size / 2);
    for (std::uint32_t i = 0; i < field.via.array.size; i += 2) {
      headers.push_back({Text(field.via.array.ptr[i]), Text(field.via.array.ptr[i + 1])});
    }
  }

  bool IsAtEnd() const { return next_ == fields_.size; }

 private:
  static Outcome CheckEnum(Outcome outcome, std::uint64_t number) {
    return CheckRange(outcome, number, static_cast<std::uint64_t>(Outcome::kUnknown));
  }

  static RequestOrigin CheckEnum(RequestOrigin origin, std::uint64_t number) {
    return CheckRange(origin, number, static_cast<std::uint64_t>(RequestOrigin::kUpstream));
  }

  static Channel CheckEnum(Channel channel, std::uint64_t number) {
    return CheckRange(channel, number, static_cast<std::uint64_t>(Channel::kDissemination));
  }

  template <typename Value>
  static Value CheckRange(Value value, std::uint64_t number, std::uint64_t maximum) {
    if (number > maximum) {
      throw WireError(fmt::format("value {} is out of range", number));
    }
    return value;
  }

  static std::string Text(const msgpack::object& field) {
    if (field.type != msgpack::type::BIN) {
      throw WireError("expected bytes");
    }
    return {field.via.bin.ptr, field.via.bin.size};
  }

  const msgpack::object& Take() {
    if (IsAtEnd()) {
      throw WireError("frame has too few fields");
    }
    return fields_.ptr[next_++];
  }

  const msgpack::object_array& fields_;
  std::uint32_t next_ = 0;
};

// Visit lists the fields of each frame once, for the writer and the reader alike.

template <typename Visitor, typename FrameType>
void Visit(Visitor& visit, FrameType& frame) {
  using Type = std::remove_const_t<FrameType>;
  if constexpr (std::is_same_v<Type, Hello>) {
    visit(frame.protocol);
    visit(frame.node);
    visit(frame.incarnation);
    visit(frame.generation);
  } else if constexpr (std::is_same_v<Type, Request>) {
    visit(frame.generation);
    visit(frame.stream);
    visit(frame.service);
    visit(frame.method);
    visit(frame.path);
    visit(frame.headers);
    visit(frame.body);
    visit(frame.context.root);
    visit(frame.context.class_name);
    visit(frame.context.traceparent);
    visit(frame.context.begun);
    visit(frame.context.allowance);
    visit(frame.context.depth);
    visit(frame.remaining);
    visit(frame.idempotency_key);
    visit(frame.placement.instance);
    visit(frame.placement.priority);
    visit(frame.placement.shed_key);
    visit(frame.placement.origin);
    visit(frame.placement.attempt);
    visit(frame.placement.wait_limit);
    visit(frame.placement.is_idempotent);
    visit(frame.placement.rate_limit_milli);
    visit(frame.placement.account);
  } else if constexpr (std::is_same_v<Type, Response>) {
    visit(frame.generation);
    visit(frame.stream);
    visit(frame.outcome);
    visit(frame.status);
    visit(frame.reason);
    visit(frame.headers);
    visit(frame.body);
    visit(frame.load.in_flight);
    visit(frame.load.limit);
    visit(frame.load.service_time);
    visit(frame.load.level_rank);
    visit(frame.load.level_share);
    visit(frame.load.is_leaving);
    visit(frame.load.rate_limit_milli);
    visit(frame.load.work_time_percent);
    visit(frame.unspent_allowance);
    visit(frame.retry_after);
  } else if constexpr (std::is_same_v<Type, Cancel>) {
    visit(frame.generation);
    visit(frame.stream);
  } else if constexpr (std::is_same_v<Type, Control>) {
    visit(frame.channel);
    visit(frame.payload);
  } else if constexpr (std::is_same_v<Type, Packed>) {
    visit(frame.payload);
  } else {
    visit(frame.sequence);
  }
}

struct FieldCounter {
  std::uint32_t count = 0;
  template <typename Value>
  void operator()(const Value& /*value*/) {
    ++count;
  }
};

template <std::size_t kIndex = 0>
Frame MakeFrame(std::size_t type) {
  if constexpr (kIndex < std::variant_size_v<Frame>) {
    if (type == kIndex) {
      return Frame(std::in_place_index<kIndex>);
    }
    return MakeFrame<kIndex + 1>(type);
  } else {
    throw WireError(fmt::format("frame type {} is unknown", type));
  }
}

std::size_t ReadLength(std::string_view prefix) {
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthPrefix; ++i) {
    length = (length << 8U) | static_cast<unsigned char>(prefix[i]);
  }
  return length;
}

}  // namespace

std::string EncodeFrame(const Frame& frame, std::size_t maximum_bytes) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  std::visit(
      [&](const auto& alternative) {
        FieldCounter counter;
        Visit(counter, alternative);
        packer.pack_array(counter.count + 1);
        packer.pack(static_cast<std::uint64_t>(frame.index()));
        FieldWriter writer(packer);
        Visit(writer, alternative);
      },
      frame);
  if (buffer.size() > maximum_bytes) {
    throw WireError(
        fmt::format("frame of {} bytes exceeds the bound of {}", buffer.size(), maximum_bytes));
  }
  std::string bytes(kLengthPrefix, '\0');
  for (std::size_t i = 0; i < kLengthPrefix; ++i) {
    bytes[i] = static_cast<char>(buffer.size() >> (8U * (kLengthPrefix - 1 - i)));
  }
  bytes.append(buffer.data(), buffer.size());
  return bytes;
}

Frame DecodeFrame(std::string_view payload) {
  try {
    const msgpack::unpack_limit limit(kMaximumArray, 0, 0, payload.size(), 0, kMaximumDepth);
    std::size_t offset = 0;
    // References into the payload spare a copy of the body.
    const auto by_reference = [](msgpack::type::object_type, std::size_t, void*) { return true; };
    const msgpack::object_handle handle =
        msgpack::unpack(payload.data(), payload.size(), offset, by_reference, nullptr, limit);
    const msgpack::object& object = handle.get();
    if (object.type != msgpack::type::ARRAY || offset != payload.size()) {
      throw WireError("payload is not one array");
    }
    FieldReader reader(object.via.array);
    std::uint64_t type = 0;
    reader(type);
    Frame frame = MakeFrame(type);
    std::visit([&](auto& alternative) { Visit(reader, alternative); }, frame);
    if (!reader.IsAtEnd()) {
      throw WireError("frame has too many fields");
    }
    return frame;
  } catch (const msgpack::unpack_error& error) {
    throw WireError(fmt::format("payload is malformed: {}", error.what()));
  } catch (const msgpack::type_error&) {
    throw WireError("frame has a field of the wrong type");
  }
}

void FrameReader::Append(std::string_view bytes) {
  if (consumed_ > 0) {
    buffer_.erase(0, consumed_);
    consumed_ = 0;
  }
  buffer_.append(bytes);
}

std::optional<Frame> FrameReader::Next() {
  const std::string_view rest = std::string_view(buffer_).substr(consumed_);
  if (rest.size() < kLengthPrefix) {
    return std::nullopt;
  }
  const std::size_t length = ReadLength(rest);
  if (length > maximum_bytes_) {
    throw WireError(
        fmt::format("frame of {} bytes exceeds the bound of {}", length, maximum_bytes_));
  }
  if (rest.size() < kLengthPrefix + length) {
    return std::nullopt;
  }
  Frame frame = DecodeFrame(rest.substr(kLengthPrefix, length));
  consumed_ += kLengthPrefix + length;
  if (consumed_ == buffer_.size()) {
    consumed_ = 0;
    base::ReleaseBuffer(buffer_, kKeptBytes);
  }
  return frame;
}

}  // namespace borageloft::wire
