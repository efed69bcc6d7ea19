#include "libraries/declaration/routes.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace borageloft::declaration {

namespace {

std::optional<std::string> FindRouteFault(const Route& route,
                                          const std::set<std::string>& services) {
  const std::string message_prefix = "route '" + route.name + "': ";
  if (route.host.empty()) {
    return message_prefix + "its host is empty";
  }
  if (route.path_prefix.empty() || route.path_prefix.front() != '/' ||
      route.path_prefix.back() != '/') {
    return message_prefix + "its path prefix must begin and end with a slash";
  }
  if (route.attempts == 0) {
    return message_prefix + "it allows no attempt";
  }
  if (route.timeout <= base::Duration::zero()) {
    return message_prefix + "its timeout must be above 0";
  }
  if (route.targets.empty()) {
    return message_prefix + "it names no service";
  }
  double sum = 0;
  for (const WeightedService& target : route.targets) {
    if (!services.contains(target.service)) {
      return message_prefix + "unknown service '" + target.service + "'";
    }
    if (!std::isfinite(target.weight) || target.weight < 0) {
      return message_prefix + "a weight is below 0";
    }
    sum += target.weight;
  }
  if (sum <= 0) {
    return message_prefix + "its weights add up to 0";
  }
  return std::nullopt;
}

std::optional<std::string> FindLimitFault(const CallerLimits& limits) {
  if (limits.header_bytes == 0U || limits.body_bytes == 0U) {
    return "a size limit must be above 0";
  }
  for (const std::optional<base::Duration>& limit : {limits.header_timeout, limits.idle_timeout}) {
    if (limit && *limit <= base::Duration::zero()) {
      return "a time limit must be above 0";
    }
  }
  return std::nullopt;
}

}  // namespace

std::string NormalizeHost(std::string_view host) {
  std::string lower(host);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char character) {
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a')
                                                : character;
  });
  return lower;
}

const std::vector<ClientAccount>& AccountsOf(const Declaration& declaration) {
  static const std::vector<ClientAccount> kNone;
  return declaration.accounts ? *declaration.accounts : kNone;
}

std::optional<std::string> FindFault(const Declaration& declaration) {
  if (declaration.version == 0) {
    return "the version must be above 0";
  }
  std::set<std::string> services;
  for (const ServiceEntry& service : declaration.services) {
    if (service.name.empty() || !services.insert(service.name).second) {
      return "a service name is empty or stands twice: '" + service.name + "'";
    }
  }
  if (std::find(declaration.hosts.begin(), declaration.hosts.end(), "") !=
      declaration.hosts.end()) {
    return "a host is empty";
  }
  std::set<std::pair<std::string, std::string>> host_prefixes;
  for (const Route& route : declaration.routes) {
    if (auto fault = FindRouteFault(route, services)) {
      return fault;
    }
    if (!host_prefixes.emplace(NormalizeHost(route.host), route.path_prefix).second) {
      return "route '" + route.name + "': another route has the same host and path prefix";
    }
  }
  if (auto fault = FindLimitFault(declaration.limits)) {
    return fault;
  }
  return FindAccountFault(AccountsOf(declaration));
}

}  // namespace borageloft::declaration
