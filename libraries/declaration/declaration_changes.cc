#include "libraries/declaration/declaration_changes.h"

#include <fmt/format.h>

#include <map>

namespace borageloft::declaration {

namespace {

long long Milliseconds(base::Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

std::string Describe(const std::optional<std::uint64_t>& bytes) {
  return bytes ? fmt::format("{}B", *bytes) : "default";
}

std::string Describe(const std::optional<base::Duration>& limit) {
  return limit ? fmt::format("{}ms", Milliseconds(*limit)) : "default";
}

std::string Describe(const Route& route) {
  std::string text = fmt::format(
      "{} timeout={}ms target={}ms priority={} attempts={} {}", route.name,
      Milliseconds(route.timeout), Milliseconds(route.target_latency), route.priority,
      route.attempts, route.repetition == Repetition::kIdempotent ? "idempotent" : "at_most_once");
  text += route.is_public ? " public" : "";
  for (const WeightedService& target : route.targets) {
    text += fmt::format(" {}:{}", target.service, target.weight);
  }
  return text;
}

// Names the keys by a digest only: they are secrets.
std::string Describe(const ClientAccount& account) {
  std::uint64_t digest = 0;
  for (const std::string& key : account.keys) {
    digest += base::Hash(key);  // Independent of the order of the keys.
  }
  return fmt::format("priority={} rate={}/s burst={} keys={} digest={:08x}",
                     account.priority ? std::to_string(*account.priority) : "route",
                     account.quota.rate, account.quota.burst, account.keys.size(),
                     static_cast<std::uint32_t>(digest));
}

// Texts of all parts of a declaration by a key that identifies the part.
std::map<std::string, std::string> DescribeParts(const Declaration& declaration) {
  std::map<std::string, std::string> parts;
  for (const Route& route : declaration.routes) {
    parts["route " + route.host + route.path_prefix] = Describe(route);
  }
  for (const ServiceEntry& service : declaration.services) {
    parts["service " + service.name] =
        fmt::format("connections={} health={}", service.connections, service.health_path);
  }
  for (const ClientAccount& account : AccountsOf(declaration)) {
    parts["account " + account.name] = Describe(account);
  }
  parts["keys"] = declaration.accounts ? "required" : "not required";
  const CallerLimits& limits = declaration.limits;
  parts["limits"] = fmt::format("header={} body={} header_timeout={} idle_timeout={}",
                                Describe(limits.header_bytes), Describe(limits.body_bytes),
                                Describe(limits.header_timeout), Describe(limits.idle_timeout));
  return parts;
}

}  // namespace

DeclarationChanges FindChanges(const Declaration& before, const Declaration& after,
                               std::size_t max_entries) {
  const std::map<std::string, std::string> old_parts = DescribeParts(before);
  const std::map<std::string, std::string> new_parts = DescribeParts(after);
  DeclarationChanges changes;
  const auto add = [&](std::string entry) {
    if (++changes.count <= max_entries) {
      changes.entries.push_back(std::move(entry));
    }
  };
  for (const auto& [key, text] : new_parts) {
    const auto old_part = old_parts.find(key);
    if (old_part == old_parts.end()) {
      add(fmt::format("{}: added, {}", key, text));
    } else if (old_part->second != text) {
      add(fmt::format("{}: {} -> {}", key, old_part->second, text));
    }
  }
  for (const auto& [key, text] : old_parts) {
    if (!new_parts.contains(key)) {
      add(fmt::format("{}: removed, {}", key, text));
    }
  }
  return changes;
}

}  // namespace borageloft::declaration
