#ifndef BORAGELOFT_DECLARATION_ROUTES_H_
#define BORAGELOFT_DECLARATION_ROUTES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "libraries/base/base.h"

namespace borageloft::declaration {

/** Number of a declaration; later declarations have higher ones. 0 stands for none. */
using Version = std::uint64_t;

/** Whether a request may run more than once. */
enum class Repetition {
  kIdempotent,
  kAtMostOnce,
};

/** One target of a route. */
struct WeightedService {
  std::string service;
  /** Share of the route's requests, relative to the other targets. */
  double weight = 1;
};

/** Rule for the requests of one host below one path prefix. */
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;
  Repetition repetition = Repetition::kAtMostOnce;
  /** Longest time that a caller is kept waiting; zero means no bound besides its own deadline. */
  base::Duration timeout{0};
  /** Time within which an answer is worth most; zero if not stated. */
  base::Duration target_latency{0};
  /** Rank under overload; 0 is the most important. */
  std::uint32_t priority = 0;
  /** Most upstreams that one request may be sent to, at least 1. */
  std::uint32_t attempts = 1;
  /** At least one target with a positive weight. */
  std::vector<WeightedService> targets;
};

/** One declared service. */
struct ServiceEntry {
  std::string name;
  /** Connections that one upstream takes from all callers; 0 if not stated. */
  std::uint32_t connections = 0;
  /** Path at which an upstream tells its health; empty if not stated. */
  std::string health_path = {};
};

/** Bounds on what callers may send. Zero means not stated. */
struct CallerLimits {
  std::uint64_t header_bytes = 0;
  std::uint64_t body_bytes = 0;
  base::Duration header_timeout{0};
  base::Duration idle_timeout{0};
};

/** Everything an operator declares, as a whole. */
struct Declaration {
  Version version = 0;
  std::vector<ServiceEntry> services;
  std::vector<Route> routes;
  CallerLimits limits;
};

/**
 * Checks the rules that hold within one declaration.
 * @return Why it is invalid, or nothing.
 */
std::optional<std::string> FindFault(const Declaration& declaration);

}  // namespace borageloft::declaration

#endif  // BORAGELOFT_DECLARATION_ROUTES_H_
