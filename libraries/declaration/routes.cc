#include "libraries/declaration/routes.h"

#include <cmath>
#include <set>

namespace borageloft::declaration {

namespace {

std::optional<std::string> FindRouteFault(const Route& route,
                                          const std::set<std::string>& services) {
  const std::string message_prefix = "route '" + route.name + "': ";
  if (route.host.empty()) {
    return message_prefix + "the host is empty";
  }
  if (route.path_prefix.empty() || route.path_prefix.front() != '/' ||
      route.path_prefix.back() != '/') {
    return message_prefix + "the path prefix must begin and end with a slash";
  }
  if (route.attempts == 0) {
    return message_prefix + "the number of attempts must be at least 1";
  }
  if (route.targets.empty()) {
    return message_prefix + "the route has no service";
  }
  double sum = 0;
  for (const WeightedService& target : route.targets) {
    if (!services.contains(target.service)) {
      return message_prefix + "unknown service '" + target.service + "'";
    }
    if (!std::isfinite(target.weight) || target.weight < 0) {
      return message_prefix + "a weight is negative or not finite";
    }
    sum += target.weight;
  }
  if (sum <= 0) {
    return message_prefix + "the sum of the weights must be positive";
  }
  return std::nullopt;
}

}  // namespace

std::optional<std::string> FindFault(const Declaration& declaration) {
  if (declaration.version == 0) {
    return "the version must be positive";
  }
  std::set<std::string> services;
  for (const ServiceEntry& service : declaration.services) {
    if (service.name.empty() || !services.insert(service.name).second) {
      return "a service name is empty or duplicate: '" + service.name + "'";
    }
  }
  std::set<std::pair<std::string, std::string>> host_prefixes;
  for (const Route& route : declaration.routes) {
    if (auto fault = FindRouteFault(route, services)) {
      return fault;
    }
    if (!host_prefixes.emplace(route.host, route.path_prefix).second) {
      return "route '" + route.name + "': another route has the same host and path prefix";
    }
  }
  return std::nullopt;
}

}  // namespace borageloft::declaration
