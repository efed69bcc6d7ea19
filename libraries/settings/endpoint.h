#ifndef BORAGELOFT_SETTINGS_ENDPOINT_H_
#define BORAGELOFT_SETTINGS_ENDPOINT_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace borageloft::settings {

/** An IPv4 or IPv6 address with a TCP port. Names are not resolved: hosts talk by IP number. */
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

/**
 * Parses "127.0.0.1:8080" or "[::1]:8080".
 * @return The endpoint, or nothing when the address is no IP number or the port is out of range.
 */
std::optional<Endpoint> ParseEndpoint(std::string_view text);

/** @return The endpoint in the form that ParseEndpoint() reads. */
std::string FormatEndpoint(const Endpoint& endpoint);

/** @return Whether the address is a loopback address. */
bool IsLoopback(const Endpoint& endpoint);

}  // namespace borageloft::settings

#endif  // BORAGELOFT_SETTINGS_ENDPOINT_H_
