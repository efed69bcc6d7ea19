#include "libraries/settings/endpoint.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <array>
#include <charconv>

namespace borageloft::settings {

namespace {

bool IsAddress(const std::string& text, int family) {
  std::array<unsigned char, sizeof(in6_addr)> buffer{};
  return inet_pton(family, text.c_str(), buffer.data()) == 1;
}

}  // namespace

std::optional<Endpoint> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return std::nullopt;
  }
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc() || end != digits.data() + digits.size()) {
    return std::nullopt;
  }
  std::string_view address = text.substr(0, colon);
  const bool is_bracketed = address.front() == '[' && address.back() == ']';
  if (is_bracketed) {
    address = address.substr(1, address.size() - 2);
  }
  Endpoint endpoint{std::string(address), port};
  if (!IsAddress(endpoint.address, is_bracketed ? AF_INET6 : AF_INET)) {
    return std::nullopt;
  }
  return endpoint;
}

std::string FormatEndpoint(const Endpoint& endpoint) {
  if (endpoint.address.find(':') != std::string::npos) {
    return fmt::format("[{}]:{}", endpoint.address, endpoint.port);
  }
  return fmt::format("{}:{}", endpoint.address, endpoint.port);
}

bool IsLoopback(const Endpoint& endpoint) {
  return endpoint.address == "::1" || endpoint.address.starts_with("127.");
}

}  // namespace borageloft::settings
