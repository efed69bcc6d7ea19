#include <fmt/format.h>

#include "libraries/notes/policy.h"

namespace borageloft::notes {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;

constexpr double kPercent = 100.0;

std::string FormatService(const std::string& name, const ServicePolicy& service) {
  std::string text = fmt::format(
      "[added service {}]\nidempotent = {}\ntimeout = {}us\nallowance = {}\nhedging = {}\n", name,
      service.idempotency == Idempotency::kIdempotent ? "yes" : "no",
      duration_cast<microseconds>(service.timeout).count(), service.allowance,
      service.hedging == Hedging::kOn ? "on" : "off");
  if (!service.home.empty()) {
    text += fmt::format("home = {}\n", service.home);
  }
  if (!service.calls.empty()) {
    text += fmt::format("calls = {}\n", fmt::join(service.calls, ","));
  }
  return text;
}

std::string FormatClass(const ClassPolicy& policy) {
  return fmt::format("[added class {}]\nimportance = {}\nallowance = {}\nreserved = {:.6g}%\n",
                     policy.name, policy.importance, policy.allowance, policy.reserved * kPercent);
}

std::string FormatRule(const MatchRule& rule) {
  std::string text = fmt::format("[added rule {}]\nclass = {}\n", rule.name, rule.class_name);
  for (const auto& [key, value] :
       {std::pair("service", &rule.service), std::pair("method", &rule.method),
        std::pair("path", &rule.path)}) {
    if (!value->empty()) {
      text += fmt::format("{} = {}\n", key, *value);
    }
  }
  return text;
}

const char* NameOf(UpstreamState state) {
  switch (state) {
    case UpstreamState::kJoining:
      return "joining";
    case UpstreamState::kServing:
      return "serving";
    case UpstreamState::kLeaving:
      return "leaving";
  }
  return "";
}

}  // namespace

std::string FormatPolicy(const Policy& policy) {
  std::string text = fmt::format("[note]\nnumber = {}\nauthor = folded\n", policy.number());
  for (const auto& [name, service] : policy.services()) {
    text += FormatService(name, service);
  }
  for (const auto& [name, request_class] : policy.classes()) {
    text += FormatClass(request_class);
  }
  for (const MatchRule& rule : policy.rules()) {
    text += FormatRule(rule);
  }
  for (const auto& [address, state] : policy.upstreams()) {
    text += fmt::format("[added upstream {}]\nstate = {}\n", address, NameOf(state));
  }
  const LimitPolicy& limits = policy.limits();
  text += fmt::format("[changed limit queue_length]\nvalue = {}\n", limits.queue_length);
  text += fmt::format("[changed limit concurrency]\nvalue = {}\n", limits.concurrency);
  text += fmt::format("[changed limit retry_budget]\nvalue = {:.6g}%\n",
                      limits.retry_budget * kPercent);
  return text;
}

Policy ParsePolicy(const std::string& text) {
  return text.empty() ? Policy() : ApplyNote(Policy(), text, "policy");
}

Policy ApplyNote(const Policy& policy, const std::string& text, const std::string& file) {
  std::vector<settings::Issue> issues;
  Policy next = policy.Apply(ReleaseNote::Parse(text, file), issues);
  if (!issues.empty()) {
    throw settings::SettingsError(std::move(issues));
  }
  return next;
}

}  // namespace borageloft::notes
