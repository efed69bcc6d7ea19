#include "libraries/membership/registry.h"

#include <algorithm>
#include <utility>

namespace borageloft::membership {

namespace {

RegionExchangeSettings ExchangeSettingsOf(const RegistrySettings& settings) {
  RegionExchangeSettings exchange;
  exchange.registry = settings.id;
  exchange.region = settings.region;
  exchange.peers = settings.peers;
  exchange.other_regions = settings.other_regions;
  exchange.remember_removed = settings.remember_removed;
  return exchange;
}

/** Incarnations count milliseconds of the wall clock where there is no disk: one year. */
constexpr std::uint64_t kMaximumFenceStep = 365ULL * 24 * 3'600'000;

std::uint32_t MillisecondsOf(base::Duration duration) {
  const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, 0xffffffff));
}

}  // namespace

Registry::Registry(RegistrySettings settings, Send send, std::uint64_t life, base::TimePoint now)
    : settings_(std::move(settings)),
      send_(std::move(send)),
      life_(life),
      start_(now),
      views_(settings_.views, settings_.id, life, send_),
      exchange_(
          ExchangeSettingsOf(settings_),
          {send_,
           [this](const RecordEntry& entry, base::TimePoint when) { LearnFromPeer(entry, when); },
           [this](const RecordEntry& entry, base::TimePoint when) { views_.Publish(entry, when); }},
          life, now),
      next_check_(now),
      next_prune_(now + settings_.keep_unreachable / 24) {}

void Registry::Receive(const Message& message, base::TimePoint now) {
  if (const auto* lease = std::get_if<Lease>(&message)) {
    Handle(*lease, now);
  } else if (const auto* subscribe = std::get_if<Subscribe>(&message)) {
    if (is_settled(now)) {
      views_.Handle(*subscribe, now);
    }
  } else if (const auto* request = std::get_if<ConfirmRequest>(&message)) {
    Handle(*request, now);
  } else if (const auto* answer = std::get_if<ConfirmAnswer>(&message)) {
    Handle(*answer, now);
  } else if (const auto* state_request = std::get_if<StateRequest>(&message)) {
    if (is_settled(now)) {
      exchange_.Handle(*state_request, now);
    }
  } else if (const auto* delta = std::get_if<StateDelta>(&message)) {
    exchange_.Handle(*delta, now);
  } else if (const auto* notice = std::get_if<FenceNotice>(&message)) {
    Handle(*notice, now);
  }
}

void Registry::Tick(base::TimePoint now) {
  if (now >= next_check_) {
    next_check_ = now + settings_.check_interval;
    Judge(now);
  }
  exchange_.Tick(now);
  views_.Tick(is_settled(now), now);
  if (now >= next_prune_) {
    next_prune_ = now + settings_.keep_unreachable / 24;
    table_.Prune(now - settings_.remember_removed);
  }
}

std::optional<EntryState> Registry::StateOf(const std::string& node) const {
  const auto found = table_.entries().find(node);
  return found == table_.entries().end() ? std::nullopt : std::optional(found->second.state);
}

bool Registry::is_settled(base::TimePoint now) const {
  return now - start_ >= settings_.warm_up && !is_isolated_;
}

void Registry::Handle(const Lease& lease, base::TimePoint now) {
  ++counts_.leases;
  if (lease.record.region != settings_.region || lease.record.stamp.revision == kFencedRevision ||
      (table_.entries().size() >= settings_.maximum_nodes &&
       table_.Find(lease.record.node) == nullptr)) {
    return;
  }
  const LeaseTable::Verdict verdict = table_.Hear(lease, now);
  LeaseEntry& entry = *table_.Find(lease.record.node);
  switch (verdict) {
    case LeaseTable::Verdict::kFenced:
      ++counts_.fenced;
      Answer(lease, entry.record.stamp.incarnation, now);
      return;
    case LeaseTable::Verdict::kContradictory:
      // Two lives of the node drew the same incarnation; the one that still runs takes another.
      ++counts_.contradictory;
      Answer(lease, entry.record.stamp.incarnation, now);
      return;
    case LeaseTable::Verdict::kStale:
      return;
    case LeaseTable::Verdict::kChanged:
      if (entry.record.node_state == NodeState::kStopped) {
        Remove(entry, now);
        return;
      }
      Publish(entry, now);
      break;
    case LeaseTable::Verdict::kRenewed:
      break;
  }
  const bool is_challenged = entry.challenged >= lease.record.stamp.incarnation;
  const auto every = static_cast<std::uint64_t>(settings_.answer_every);
  if (is_challenged || lease.sequence % every == 0) {
    Answer(lease, is_challenged ? entry.above : 0, now);
  }
}

void Registry::Handle(const ConfirmRequest& request, base::TimePoint now) {
  if (!is_settled(now)) {
    return;
  }
  ConfirmAnswer answer{settings_.id, {}, {}};
  for (const NodeIncarnation& asked : request.nodes) {
    const LeaseEntry* entry = table_.Find(asked.node);
    if (entry != nullptr && entry->record.stamp.incarnation >= asked.incarnation &&
        IsHeardDirectly(*entry, now)) {
      answer.confirmed.push_back(
          {Lease{entry->record, entry->sequence}, MillisecondsOf(now - entry->last_direct)});
    } else {
      answer.unconfirmed.push_back(asked.node);
    }
  }
  send_(request.registry, answer);
}

void Registry::Handle(const ConfirmAnswer& answer, base::TimePoint now) {
  for (const HeardLease& heard : answer.confirmed) {
    const auto age = std::chrono::milliseconds(heard.age_ms);
    if (age >= settings_.suspect_after || heard.lease.record.region != settings_.region) {
      continue;
    }
    if (table_.Confirm(heard.lease, now - age, now) == LeaseTable::Verdict::kChanged) {
      Publish(*table_.Find(heard.lease.record.node), now);
    }
  }
  for (const std::string& node : answer.unconfirmed) {
    LeaseEntry* entry = table_.Find(node);
    if (entry != nullptr && entry->state == EntryState::kSuspect) {
      entry->is_answered = true;
    }
  }
}

void Registry::Handle(const FenceNotice& notice, base::TimePoint now) {
  for (const Fence& fence : notice.fences) {
    const LeaseEntry* entry = table_.Find(fence.node);
    // A number that is not the known one comes from an outdated sender. One that is further ahead
    // than a node could follow would shut the node out for good.
    if (entry != nullptr && entry->record.stamp.incarnation == fence.shown &&
        fence.above - fence.shown < kMaximumFenceStep) {
      TakeFence(fence, now);
    }
  }
}

void Registry::Answer(const Lease& lease, std::uint64_t fenced, base::TimePoint now) {
  send_(lease.record.node,
        LeaseAnswer{settings_.id, life_, is_settled(now), lease.record.stamp.incarnation, fenced});
}

void Registry::LearnFromPeer(const RecordEntry& told, base::TimePoint now) {
  const std::string& node = told.record.node;
  if (told.state == EntryState::kRemoved) {
    LeaseEntry* entry = table_.Find(node);
    if (told.record.node_state == NodeState::kStopped && entry != nullptr &&
        entry->state != EntryState::kRemoved &&
        entry->record.stamp.incarnation == told.record.stamp.incarnation) {
      // The node itself said that this incarnation ends; its last lease did not arrive here.
      entry->record.node_state = NodeState::kStopped;
      Remove(*entry, now);
      return;
    }
    TakeFence({node, told.record.stamp.incarnation, told.record.stamp.incarnation}, now);
    return;
  }
  const bool is_full =
      table_.entries().size() >= settings_.maximum_nodes && table_.Find(node) == nullptr;
  if (told.record.region != settings_.region || is_full ||
      told.record.stamp.revision == kFencedRevision) {
    return;
  }
  if (table_.Learn(told, now) == LeaseTable::Verdict::kChanged) {
    Publish(*table_.Find(node), now);
  }
}

void Registry::TakeFence(const Fence& fence, base::TimePoint now) {
  LeaseEntry* entry = table_.Find(fence.node);
  if (entry == nullptr) {
    table_.Fence(fence.node, fence.above, now);
    Publish(*table_.Find(fence.node), now);
    return;
  }
  if (entry->record.stamp.incarnation > fence.shown || entry->state == EntryState::kRemoved) {
    return;
  }
  if (IsHeardDirectly(*entry, now)) {
    // The node lives: it keeps its entry until it has taken a new incarnation.
    entry->challenged = std::max(entry->challenged, fence.shown);
    entry->above = std::max(entry->above, fence.above);
  } else if (!is_isolated_) {
    table_.Fence(fence.node, fence.above, now);
    Publish(*entry, now);
  }
}

void Registry::Publish(const LeaseEntry& entry, base::TimePoint now) {
  RecordEntry published{entry.record, entry.state};
  if (entry.state == EntryState::kSuspect) {
    published.state = HeardStateOf(entry.record);  // Suspicion is not told to subscribers.
  }
  exchange_.Publish(published, now);
  views_.Publish(published, now);
}

void Registry::Judge(base::TimePoint now) {
  JudgeIsolation(now);
  if (is_isolated_) {
    return;
  }
  std::vector<NodeIncarnation> to_ask;
  std::vector<std::string> lost;
  for (auto& [node, entry] : table_.entries()) {
    if (entry.state == EntryState::kRemoved) {
      continue;
    }
    const bool is_late = now - entry.last_heard >= settings_.suspect_after;
    if (is_late && entry.state != EntryState::kSuspect && entry.state != EntryState::kUnreachable) {
      entry.state = EntryState::kSuspect;
      entry.suspect_since = now;
      entry.is_answered = false;
    } else if (!is_late && entry.state == EntryState::kSuspect) {
      entry.state = HeardStateOf(entry.record);
    }
    if (entry.state == EntryState::kSuspect && now - entry.last_asked >= settings_.ask_interval) {
      entry.last_asked = now;
      to_ask.push_back({node, entry.record.stamp.incarnation});
    }
    const bool is_kept_long = entry.state == EntryState::kUnreachable &&
                              now - entry.changed >= settings_.keep_unreachable;
    if (IsLost(entry, now) || is_kept_long) {
      lost.push_back(node);
    }
  }
  AskAbout(to_ask);
  SettleLost(lost, now);
}

void Registry::JudgeIsolation(base::TimePoint now) {
  std::size_t known = 0;
  std::size_t heard = 0;
  for (const auto& [node, entry] : table_.entries()) {
    if (entry.state != EntryState::kRemoved && entry.state != EntryState::kUnreachable) {
      ++known;
      heard += IsHeardDirectly(entry, now) ? 1 : 0;
    }
  }
  const bool was_isolated = is_isolated_;
  is_isolated_ =
      known >= settings_.isolation_minimum &&
      static_cast<double>(heard) < settings_.isolation_share * static_cast<double>(known);
  if (is_isolated_ && !was_isolated) {
    ++counts_.isolations;
    base::Log(base::LogLevel::kWarning, "registry_isolated",
              {{"registry", settings_.id},
               {"known", Json::UInt64(known)},
               {"heard", Json::UInt64(heard)}});
  }
  if (was_isolated && !is_isolated_) {
    // The nodes that were not heard meanwhile get the time of a new suspicion.
    for (auto& [node, entry] : table_.entries()) {
      if (entry.state == EntryState::kSuspect) {
        entry.last_heard = now;
        entry.state = HeardStateOf(entry.record);
      }
    }
  }
}

void Registry::AskAbout(const std::vector<NodeIncarnation>& suspects) {
  for (std::size_t first = 0; first < suspects.size(); first += kMaximumRecords) {
    const std::size_t last = std::min(first + kMaximumRecords, suspects.size());
    ConfirmRequest request{settings_.id, {}};
    request.nodes.assign(suspects.begin() + static_cast<std::ptrdiff_t>(first),
                         suspects.begin() + static_cast<std::ptrdiff_t>(last));
    for (const std::string& peer : settings_.peers) {
      send_(peer, request);
    }
  }
}

bool Registry::IsLost(const LeaseEntry& entry, base::TimePoint now) const {
  if (entry.state != EntryState::kSuspect ||
      now - entry.suspect_since < settings_.confirm_timeout) {
    return false;
  }
  return entry.is_answered || settings_.peers.empty() ||
         now - entry.suspect_since >= settings_.unconfirmed_after;
}

bool Registry::IsZoneLost(const std::string& zone, base::TimePoint now) const {
  std::size_t members = 0;
  std::size_t lost = 0;
  for (const auto& [node, entry] : table_.entries()) {
    if (entry.record.zone != zone) {
      continue;
    }
    const bool is_removed = entry.state == EntryState::kRemoved;
    if (is_removed && (now - entry.changed > settings_.zone_loss_window ||
                       entry.record.node_state == NodeState::kStopped)) {
      continue;
    }
    ++members;
    lost +=
        is_removed || entry.state == EntryState::kSuspect || entry.state == EntryState::kUnreachable
            ? 1
            : 0;
  }
  return lost >= settings_.zone_loss_minimum &&
         static_cast<double>(lost) >= settings_.zone_loss_share * static_cast<double>(members);
}

void Registry::SettleLost(const std::vector<std::string>& lost, base::TimePoint now) {
  std::map<std::string, bool> zones;
  for (const std::string& node : lost) {
    LeaseEntry& entry = *table_.Find(node);
    const auto [zone, is_new] = zones.try_emplace(entry.record.zone, false);
    if (is_new) {
      zone->second = IsZoneLost(entry.record.zone, now);
    }
    if (entry.state == EntryState::kSuspect && zone->second) {
      entry.state = EntryState::kUnreachable;
      entry.changed = now;
      ++counts_.kept_unreachable;
      Publish(entry, now);
    } else {
      Remove(entry, now);
    }
  }
}

void Registry::Remove(LeaseEntry& entry, base::TimePoint now) {
  // A registry that is cut off removes nothing but nodes that say themselves that they end.
  VERIFY(!is_isolated_ || entry.record.node_state == NodeState::kStopped);
  ++counts_.removed;
  table_.Remove(entry, now);
  Publish(entry, now);
}

bool Registry::IsHeardDirectly(const LeaseEntry& entry, base::TimePoint now) const {
  return entry.last_direct != base::TimePoint() &&
         now - entry.last_direct < settings_.suspect_after;
}

}  // namespace borageloft::membership
