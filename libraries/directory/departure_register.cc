#include "libraries/directory/departure_register.h"

#include <algorithm>
#include <exception>
#include <msgpack.hpp>
#include <tuple>
#include <utility>

namespace borageloft::directory {

namespace {

using DepartureFields = std::tuple<std::string, std::string, std::uint64_t>;

DepartureFields FieldsOf(const Departure& departure) {
  return {departure.node, departure.incarnation.instance, departure.incarnation.born};
}

template <typename Value>
std::string Pack(const Value& value) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, value);
  return {buffer.data(), buffer.size()};
}

template <typename Value>
Value Unpack(std::string_view bytes) {
  constexpr std::size_t kMaxBytes = std::size_t{8} << 20U;
  constexpr std::size_t kMaxDepth = 4;
  try {
    const msgpack::unpack_limit limit(DepartureRegister::kMaxDepartures, 0, kMaxBytes, 0, 0,
                                      kMaxDepth);
    const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit);
    return handle.get().as<Value>();
  } catch (const std::exception& error) {
    throw DirectoryError(std::string("malformed departure: ") + error.what());
  }
}

Departure DepartureOf(DepartureFields fields) {
  auto [node, instance, born] = std::move(fields);
  return {std::move(node), {std::move(instance), born}};
}

}  // namespace

std::string EncodeDeparture(const Departure& departure) { return Pack(FieldsOf(departure)); }

Departure DecodeDeparture(std::string_view bytes) {
  return DepartureOf(Unpack<DepartureFields>(bytes));
}

void DepartureRegister::Add(const Departure& departure) {
  if (Contains(departure)) {
    return;
  }
  if (DeparturesAt(departure.node).size() >= kMaxPerNode) {
    departures_.erase(
        std::find_if(departures_.begin(), departures_.end(),
                     [&](const Departure& known) { return known.node == departure.node; }));
  }
  departures_.push_back(departure);
  if (departures_.size() > kMaxDepartures) {
    departures_.pop_front();
  }
}

bool DepartureRegister::Contains(const Departure& departure) const {
  return std::find(departures_.begin(), departures_.end(), departure) != departures_.end();
}

std::vector<Incarnation> DepartureRegister::DeparturesAt(const std::string& node) const {
  std::vector<Incarnation> incarnations;
  for (const Departure& departure : departures_) {
    if (departure.node == node) {
      incarnations.push_back(departure.incarnation);
    }
  }
  return incarnations;
}

std::string DepartureRegister::Snapshot() const {
  std::vector<DepartureFields> fields;
  fields.reserve(departures_.size());
  for (const Departure& departure : departures_) {
    fields.push_back(FieldsOf(departure));
  }
  return Pack(fields);
}

void DepartureRegister::Restore(std::string_view data) {
  departures_.clear();
  if (data.empty()) {
    return;
  }
  for (DepartureFields& fields : Unpack<std::vector<DepartureFields>>(data)) {
    departures_.push_back(DepartureOf(std::move(fields)));
  }
}

}  // namespace borageloft::directory
