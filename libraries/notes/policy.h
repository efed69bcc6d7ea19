#ifndef BORAGELOFT_NOTES_POLICY_H_
#define BORAGELOFT_NOTES_POLICY_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/notes/release_note.h"

namespace borageloft::notes {

/** Whether a service may run the same request more than once. */
enum class Idempotency { kIdempotent, kNonIdempotent };

/** Whether a second attempt may be sent before the first has ended. */
enum class Hedging { kOff, kOn };

/** Rules of one service. */
struct ServicePolicy {
  Idempotency idempotency = Idempotency::kIdempotent;
  base::Duration timeout = std::chrono::seconds(1);
  std::int64_t allowance = 1;
  Hedging hedging = Hedging::kOff;
  std::string home;
  std::vector<std::string> calls;
};

/** A class of requests with its order of importance. */
struct ClassPolicy {
  std::string name;
  std::int64_t importance = 0;  // 1 is the most important.
  std::int64_t allowance = 1;
  double reserved = 0.0;
};

/** Assigns a class to requests. Empty fields match everything. */
struct MatchRule {
  std::string name;
  std::string service;
  std::string method;
  std::string path;
  std::string class_name;
};

/** What the operator decided about one upstream. */
enum class UpstreamState { kJoining, kServing, kLeaving };

/** Limits that a release note can set for all nodes. */
struct LimitPolicy {
  std::int64_t queue_length = 128;  // Requests for each class at one upstream.
  std::int64_t concurrency = 0;     // Upper bound for each upstream; 0 means its slots.
  double retry_budget = 0.1;        // Retries as a share of first attempts that succeeded.
};

/**
 * Everything in force: the result of applying release notes in order. A value type; a policy that
 * is in force is never modified, it is replaced by the result of Apply().
 */
class Policy {
 public:
  /** Importance of requests that no rule names: below every class of a release note. */
  static constexpr std::int64_t kLowestImportance = 100;

  /**
   * Checks @p note against this policy and applies it as a whole.
   * @param issues Receives every fault. When it receives any, the result must not be used.
   * @return The policy with the note in force.
   */
  Policy Apply(const ReleaseNote& note, std::vector<settings::Issue>& issues) const;

  std::uint64_t number() const { return number_; }
  const std::map<std::string, ServicePolicy>& services() const { return services_; }
  const std::map<std::string, ClassPolicy>& classes() const { return classes_; }
  const std::vector<MatchRule>& rules() const { return rules_; }
  const std::map<std::string, UpstreamState>& upstreams() const { return upstreams_; }
  const LimitPolicy& limits() const { return limits_; }

  /** @return The rules of a service; a service that no note names gets safe defaults. */
  const ServicePolicy& FindService(const std::string& service) const;

  /** @return The named class, or the default class. */
  const ClassPolicy& FindClass(const std::string& name) const;

  /** @return @p service and all services that it calls, directly or through others. */
  const std::vector<std::string>& FindCallPath(const std::string& service) const;

  /**
   * @return The services that @p service calls, directly or through others, without itself. The
   * level of a gate takes the levels below it into account; with its own among them, a low level
   * would come back in answers and keep itself in force after the overload has ended.
   */
  std::vector<std::string> FindCallsBelow(const std::string& service) const;

  /** @return The class of the first rule that matches the request, else the default class. */
  const ClassPolicy& Classify(std::string_view service, std::string_view method,
                              std::string_view path) const;

 private:
  friend class PolicyChanger;

  std::uint64_t number_ = 0;
  std::map<std::string, ServicePolicy> services_;
  std::map<std::string, std::vector<std::string>> call_paths_;  // Derived from services_.
  std::map<std::string, ClassPolicy> classes_;
  std::vector<MatchRule> rules_;
  std::map<std::string, UpstreamState> upstreams_;
  LimitPolicy limits_;
};

/**
 * Formats a policy as one release note that adds everything in it. Parsing and applying it to an
 * empty policy gives an equal policy, so it serves as the policy's text in snapshots.
 */
std::string FormatPolicy(const Policy& policy);

/**
 * Builds the policy of a text that FormatPolicy() made; an empty text gives the empty policy.
 * @throws settings::SettingsError when the text is no valid note.
 */
Policy ParsePolicy(const std::string& text);

/**
 * Applies a release note to a policy.
 * @throws settings::SettingsError with every fault when the note is refused.
 */
Policy ApplyNote(const Policy& policy, const std::string& text, const std::string& file);

}  // namespace borageloft::notes

#endif  // BORAGELOFT_NOTES_POLICY_H_
