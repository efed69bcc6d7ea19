#include "libraries/notes/policy.h"

#include <fmt/format.h>

#include <algorithm>

#include "libraries/notes/path_pattern.h"

namespace borageloft::notes {

namespace {

using settings::Issue;
using settings::ValueParser;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t kMaximumAllowance = 16;

const ClassPolicy& DefaultClass() {
  static const ClassPolicy policy{"default", Policy::kLowestImportance, 0, 0.0};
  return policy;
}

bool Matches(const MatchRule& rule, std::string_view service, std::string_view method,
             std::string_view path) {
  return (rule.service.empty() || rule.service == service) &&
         (rule.method.empty() || rule.method == method) &&
         (rule.path.empty() || MatchesPattern(rule.path, path));
}

}  // namespace

/** Applies the changes of one release note to a copy of a policy and collects every fault. */
class PolicyChanger {
 public:
  PolicyChanger(Policy policy, const ReleaseNote& note, std::vector<Issue>& issues)
      : policy_(std::move(policy)), note_(note), issues_(issues) {}

  Policy Run() {
    for (const Change& change : note_.changes()) {
      ApplyChange(change);
    }
    CheckReferences();
    DeriveCallPaths();
    policy_.number_ = note_.number();
    return std::move(policy_);
  }

 private:
  void ApplyChange(const Change& change) {
    switch (change.kind) {
      case ObjectKind::kService:
        return ChangeEntry(change, policy_.services_, &PolicyChanger::ReadService);
      case ObjectKind::kClass:
        return ChangeEntry(change, policy_.classes_, &PolicyChanger::ReadClass);
      case ObjectKind::kUpstream:
        return ChangeEntry(change, policy_.upstreams_, &PolicyChanger::ReadUpstream);
      case ObjectKind::kRule:
        return ChangeRule(change);
      case ObjectKind::kLimit:
        return ChangeLimit(change);
    }
  }

  template <typename Value>
  void ChangeEntry(const Change& change, std::map<std::string, Value>& entries,
                   Value (PolicyChanger::*read)(const Change&, Value)) {
    const auto found = entries.find(change.name);
    if (!CheckExistence(change, found != entries.end())) {
      return;
    }
    if (change.action == Action::kWithdraw) {
      entries.erase(found);
      return;
    }
    entries[change.name] = (this->*read)(change, found == entries.end() ? Value{} : found->second);
  }

  bool CheckExistence(const Change& change, bool exists) {
    if (change.action == Action::kAdd && exists) {
      AddIssue(change, "is already there; use [changed ...]");
      return false;
    }
    if (change.action != Action::kAdd && !exists) {
      AddIssue(change, "is not there; use [added ...]");
      return false;
    }
    return true;
  }

  ServicePolicy ReadService(const Change& change, ServicePolicy service) {
    ValueParser parser = Parser(change);
    const bool is_idempotent =
        parser.YesNo("idempotent", service.idempotency == Idempotency::kIdempotent);
    service.idempotency = is_idempotent ? Idempotency::kIdempotent : Idempotency::kNonIdempotent;
    service.timeout = parser.Time("timeout", service.timeout, milliseconds(1), seconds(600));
    service.allowance =
        parser.Integer("allowance", is_idempotent ? service.allowance : 0, 0, kMaximumAllowance);
    const bool has_hedging =
        parser.Choice("hedging", service.hedging == Hedging::kOn ? "on" : "off", {"on", "off"}) ==
        "on";
    service.hedging = has_hedging ? Hedging::kOn : Hedging::kOff;
    const std::string home = parser.Text("home", service.home);
    // Nodes learn of a note at different times, so a key could be granted once in each region.
    if (change.action == Action::kChange && home != service.home) {
      parser.AddIssue("home", "cannot be changed; add the service under another name");
    }
    service.home = home;
    if (parser.Has("calls")) {
      service.calls = parser.List("calls");
    }
    if (!is_idempotent && has_hedging) {
      parser.AddIssue("hedging", "must be off for a service that is not idempotent");
    }
    parser.RefuseUnknownKeys();
    return service;
  }

  ClassPolicy ReadClass(const Change& change, ClassPolicy policy) {
    ValueParser parser = Parser(change);
    policy.name = change.name;
    if (change.action == Action::kAdd && !parser.Has("importance")) {
      parser.AddIssue("importance", "is required");
    }
    policy.importance = parser.Integer("importance", std::max<std::int64_t>(policy.importance, 1),
                                       1, Policy::kLowestImportance - 1);
    policy.allowance = parser.Integer("allowance", policy.allowance, 0, kMaximumAllowance);
    policy.reserved = parser.Share("reserved", policy.reserved, 0.0, 0.5);
    parser.RefuseUnknownKeys();
    return policy;
  }

  UpstreamState ReadUpstream(const Change& change, UpstreamState /*previous*/) {
    ValueParser parser = Parser(change);
    if (!settings::ParseEndpoint(change.name)) {
      AddIssue(change, "an upstream is named by its IP:port");
    }
    const std::string state = parser.Choice("state", "serving", {"joining", "serving", "leaving"});
    parser.RefuseUnknownKeys();
    if (state == "joining") {
      return UpstreamState::kJoining;
    }
    return state == "leaving" ? UpstreamState::kLeaving : UpstreamState::kServing;
  }

  void ChangeRule(const Change& change) {
    auto& rules = policy_.rules_;
    const auto found = std::find_if(rules.begin(), rules.end(), [&](const MatchRule& rule) {
      return rule.name == change.name;
    });
    if (!CheckExistence(change, found != rules.end())) {
      return;
    }
    if (change.action == Action::kWithdraw) {
      rules.erase(found);
      return;
    }
    MatchRule rule = ReadRule(change, found == rules.end() ? MatchRule{} : *found);
    if (found == rules.end()) {
      rules.push_back(std::move(rule));
    } else {
      *found = std::move(rule);
    }
  }

  MatchRule ReadRule(const Change& change, MatchRule rule) {
    ValueParser parser = Parser(change);
    rule.name = change.name;
    rule.service = parser.Text("service", rule.service);
    rule.method = parser.Text("method", rule.method);
    rule.path = parser.Text("path", rule.path);
    rule.class_name = parser.Text("class", rule.class_name);
    if (rule.class_name.empty()) {
      parser.AddIssue("class", "is required");
    }
    parser.RefuseUnknownKeys();
    return rule;
  }

  // Limits always exist, so added and changed both set a value; withdrawn restores the default.
  void ChangeLimit(const Change& change) {
    ValueParser parser = Parser(change);
    const bool is_reset = change.action == Action::kWithdraw;
    if (!is_reset && !parser.Has("value")) {
      parser.AddIssue("value", "is required");
    }
    LimitPolicy& limits = policy_.limits_;
    const LimitPolicy defaults;
    if (change.name == "queue_length") {
      limits.queue_length = parser.Integer("value", defaults.queue_length, 1, 65536);
    } else if (change.name == "concurrency") {
      limits.concurrency = parser.Integer("value", defaults.concurrency, 0, 65536);
    } else if (change.name == "retry_budget") {
      limits.retry_budget = parser.Share("value", defaults.retry_budget, 0.0, 1.0);
    } else {
      AddIssue(change, "unknown limit; known: queue_length, concurrency, retry_budget");
    }
    parser.RefuseUnknownKeys();
  }

  // Runs after all changes, so that a note may add a class and the rule that uses it in any order.
  void CheckReferences() {
    for (const MatchRule& rule : policy_.rules_) {
      if (!policy_.classes_.contains(rule.class_name)) {
        AddReferenceIssue(
            ObjectKind::kRule, rule.name,
            fmt::format("rule {} uses class {}, which is not there", rule.name, rule.class_name));
      }
      if (!rule.service.empty() && !policy_.services_.contains(rule.service)) {
        AddReferenceIssue(
            ObjectKind::kRule, rule.name,
            fmt::format("rule {} names service {}, which is not there", rule.name, rule.service));
      }
    }
    CheckReservedShares();
    for (const auto& [name, service] : policy_.services_) {
      for (const std::string& callee : service.calls) {
        if (!policy_.services_.contains(callee)) {
          AddReferenceIssue(ObjectKind::kService, name,
                            fmt::format("service {} calls {}, which is not there", name, callee));
        }
      }
    }
  }

  // Cycles are allowed: a path lists each service once.
  void DeriveCallPaths() {
    policy_.call_paths_.clear();
    for (const auto& [name, service] : policy_.services_) {
      std::vector<std::string>& path = policy_.call_paths_[name];
      path.push_back(name);
      for (std::size_t next = 0; next < path.size(); ++next) {
        for (const std::string& callee : policy_.FindService(path[next]).calls) {
          if (std::find(path.begin(), path.end(), callee) == path.end()) {
            path.push_back(callee);
          }
        }
      }
    }
  }

  void CheckReservedShares() {
    constexpr double kMaximumReserved = 0.5;
    double reserved = 0;
    for (const auto& [name, request_class] : policy_.classes_) {
      reserved += request_class.reserved;
    }
    if (reserved > kMaximumReserved) {
      issues_.push_back({note_.file(), 0, "reserved",
                         fmt::format("the classes together reserve {:.0f}% of the slots; the bound "
                                     "is 50%",
                                     reserved * 100)});
    }
  }

  void AddReferenceIssue(ObjectKind kind, const std::string& name, std::string message) {
    int line = 0;
    for (const Change& change : note_.changes()) {
      if (change.kind == kind && change.name == name) {
        line = change.section.line;
      }
    }
    issues_.push_back({note_.file(), line, name, std::move(message)});
  }

  void AddIssue(const Change& change, std::string message) {
    issues_.push_back({note_.file(), change.section.line,
                       fmt::format("{} {}", NameOf(change.kind), change.name), std::move(message)});
  }

  ValueParser Parser(const Change& change) { return {&change.section, note_.file(), issues_}; }

  Policy policy_;
  const ReleaseNote& note_;
  std::vector<Issue>& issues_;
};

Policy Policy::Apply(const ReleaseNote& note, std::vector<Issue>& issues) const {
  return PolicyChanger(*this, note, issues).Run();
}

const ServicePolicy& Policy::FindService(const std::string& service) const {
  // A service without rules may be non-idempotent, so it gets no retries.
  static const ServicePolicy unknown{.allowance = 0, .home = {}, .calls = {}};
  const auto found = services_.find(service);
  return found == services_.end() ? unknown : found->second;
}

const std::vector<std::string>& Policy::FindCallPath(const std::string& service) const {
  static const std::vector<std::string> unknown;
  const auto found = call_paths_.find(service);
  return found == call_paths_.end() ? unknown : found->second;
}

std::vector<std::string> Policy::FindCallsBelow(const std::string& service) const {
  std::vector<std::string> path = FindCallPath(service);
  std::erase(path, service);
  return path;
}

const ClassPolicy& Policy::FindClass(const std::string& name) const {
  const auto found = classes_.find(name);
  return found == classes_.end() ? DefaultClass() : found->second;
}

const ClassPolicy& Policy::Classify(std::string_view service, std::string_view method,
                                    std::string_view path) const {
  for (const MatchRule& rule : rules_) {
    if (Matches(rule, service, method, path)) {
      return FindClass(rule.class_name);
    }
  }
  return DefaultClass();
}

}  // namespace borageloft::notes
