#include "libraries/request_path/refusal.h"

#include <algorithm>
#include <array>
#include <utility>

namespace borageloft::request_path {

namespace {

constexpr std::array<std::pair<Refusal, std::string_view>, 25> kTexts = {{
    {Refusal::kNone, "none"},
    {Refusal::kNoDeclaration, "no_declaration"},
    {Refusal::kNodeLeaving, "node_leaving"},
    {Refusal::kNoRoute, "no_route"},
    {Refusal::kMalformed, "malformed"},
    {Refusal::kNoInstance, "no_instance"},
    {Refusal::kInstanceGone, "instance_gone"},
    {Refusal::kInstanceLeaving, "instance_leaving"},
    {Refusal::kInstanceUnreachable, "instance_unreachable"},
    {Refusal::kQueueFull, "queue_full"},
    {Refusal::kRateLimited, "rate_limited"},
    {Refusal::kWaitedTooLong, "waited_too_long"},
    {Refusal::kShedAtEntry, "shed_at_entry"},
    {Refusal::kDeadlinePassed, "deadline_passed"},
    {Refusal::kNotSent, "not_sent"},
    {Refusal::kConnectionLost, "connection_lost"},
    {Refusal::kUpstreamLost, "upstream_lost"},
    {Refusal::kUpstreamGarbled, "upstream_garbled"},
    {Refusal::kCallFailed, "call_failed"},
    {Refusal::kTooManyBytes, "too_many_bytes"},
    {Refusal::kUnknownKey, "unknown_key"},
    {Refusal::kOrphanedCall, "orphaned_call"},
    {Refusal::kKeysOutdated, "keys_outdated"},
    {Refusal::kQuotaExceeded, "quota_exceeded"},
    {Refusal::kQuotaUnknown, "quota_unknown"},
}};

}  // namespace

std::string_view TextOf(Refusal refusal) {
  const auto found = std::find_if(kTexts.begin(), kTexts.end(),
                                  [&](const auto& entry) { return entry.first == refusal; });
  return found == kTexts.end() ? "unknown" : found->second;
}

Refusal RefusalOf(std::string_view text) {
  const auto found = std::find_if(kTexts.begin(), kTexts.end(),
                                  [&](const auto& entry) { return entry.second == text; });
  return found == kTexts.end() ? Refusal::kUpstreamLost : found->first;
}

}  // namespace borageloft::request_path
