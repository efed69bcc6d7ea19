#ifndef BORAGELOFT_DECLARATION_ROUTES_H_
#define BORAGELOFT_DECLARATION_ROUTES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/base.h"
#include "libraries/declaration/client_account.h"

namespace borageloft::declaration {

/** Version of a declaration, which increases with each declaration. 0 means none. */
using Version = std::uint64_t;

/** Whether a request may run more than once. */
enum class Repetition {
  kIdempotent,
  kAtMostOnce,
};

/** A target of a route. */
struct WeightedService {
  std::string service;
  /** Weight of the service, relative to the other targets of the route. */
  double weight = 1;
};

/** Rule for requests to a host whose path starts with a prefix. */
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;
  Repetition repetition = Repetition::kAtMostOnce;
  /** Maximum time to answer a request, above zero. */
  base::Duration timeout{0};
  /** Latency objective of the route; zero if not stated. */
  base::Duration target_latency{0};
  /** Priority under overload; 0 is the highest. */
  std::uint32_t priority = 0;
  /** Maximum number of upstreams that a request is sent to, at least 1. */
  std::uint32_t attempts = 1;
  /** Whether callers need no key of a client account. */
  bool is_public = false;
  /** Targets, of which at least one has a positive weight. */
  std::vector<WeightedService> targets;
};

/** A declared service. */
struct ServiceEntry {
  std::string name;
  /** Maximum number of connections to an upstream from all callers; 0 if not stated. */
  std::uint32_t connections = 0;
  /** Path of the health check of an upstream; empty if not stated. */
  std::string health_path = {};
};

/** Limits for the requests of callers, each above zero. Those not stated are up to the node. */
struct CallerLimits {
  std::optional<std::uint64_t> header_bytes = std::nullopt;
  std::optional<std::uint64_t> body_bytes = std::nullopt;
  std::optional<base::Duration> header_timeout = std::nullopt;
  std::optional<base::Duration> idle_timeout = std::nullopt;
};

/** Complete configuration of services, routes and limits that an operator declares. */
struct Declaration {
  Version version = 0;
  std::vector<ServiceEntry> services;
  std::vector<std::string> hosts;  ///< All hosts that are named, also those without routes.
  std::vector<Route> routes;
  CallerLimits limits;
  /** With a list, also an empty one, callers need the key of an account. Without, they need none,
   * but a key that they state is not valid. */
  std::optional<std::vector<ClientAccount>> accounts = std::nullopt;
};

/** @return The client accounts of @p declaration; none if it has no list of them. */
const std::vector<ClientAccount>& AccountsOf(const Declaration& declaration);

/** @return @p host in lower case, in which hosts are compared. */
std::string NormalizeHost(std::string_view host);

/**
 * Validates a declaration.
 * @return Description of the first fault found, or nothing if the declaration is valid.
 */
std::optional<std::string> FindFault(const Declaration& declaration);

}  // namespace borageloft::declaration

#endif  // BORAGELOFT_DECLARATION_ROUTES_H_
