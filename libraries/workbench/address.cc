#include "libraries/workbench/address.h"

#include <fmt/format.h>

#include <charconv>

#include "libraries/workbench/error.h"

namespace borageloft::workbench {

Address Address::Parse(std::string_view text) {
  constexpr int kHighestPort = 65535;
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    throw Error(fmt::format("'{}' is not an address: expected host:port", text));
  }
  const std::string_view digits = text.substr(colon + 1);
  int port = -1;
  const auto [end, failure] = std::from_chars(digits.begin(), digits.end(), port);
  if (failure != std::errc() || end != digits.end() || port < 0 || port > kHighestPort) {
    throw Error(fmt::format("'{}' is not an address: the port must be 0 to 65535", text));
  }
  return {std::string(text.substr(0, colon)), port};
}

std::string Address::ToString() const { return fmt::format("{}:{}", host, port); }

}  // namespace borageloft::workbench
