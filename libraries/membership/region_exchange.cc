#include "libraries/membership/region_exchange.h"

#include <algorithm>
#include <utility>

namespace borageloft::membership {

RegionExchange::RegionExchange(RegionExchangeSettings settings, RegionExchangeHooks hooks,
                               std::uint64_t life, base::TimePoint now)
    : settings_(std::move(settings)), hooks_(std::move(hooks)), life_(life) {
  records_.Touch(++version_);
  allowed_.insert(settings_.peers.begin(), settings_.peers.end());
  for (const auto& [name, partners] : settings_.other_regions) {
    VERIFY(name != settings_.region && !partners.empty());
    allowed_.insert(partners.begin(), partners.end());
    Region region;
    region.partners = partners;
    // Different registries begin with different partners, which spreads the load over them.
    region.partner = base::Hash(settings_.registry + name) % partners.size();
    region.partner_since = now;
    region.last_answer = now;
    regions_.emplace(name, std::move(region));
  }
}

void RegionExchange::Publish(const RecordEntry& entry, base::TimePoint now) {
  const RecordEntry* held = records_.Find(entry.record.node);
  if (held == nullptr || *held != entry) {
    records_.Put(entry, ++version_, now);
    is_changed_ = true;
  }
}

void RegionExchange::Handle(const StateRequest& request, base::TimePoint now) {
  if (!allowed_.contains(request.registry)) {
    return;
  }
  Requester& requester = requesters_[request.registry];
  requester.last_request = now;
  requester.sent = request.life == life_ ? request.after : 0;
  SendChanges(request.registry, requester, true);
}

void RegionExchange::Handle(const StateDelta& delta, base::TimePoint now) {
  const bool is_own = delta.region == settings_.region;
  const auto found = regions_.find(delta.region);
  if (!allowed_.contains(delta.registry) || (!is_own && found == regions_.end())) {
    return;
  }
  if (!is_own && delta.registry != found->second.partners[found->second.partner]) {
    return;
  }
  Source& source = sources_[delta.registry];
  const ViewFollower::Outcome outcome = source.follower.Accept(delta.chunk);
  if (outcome == ViewFollower::Outcome::kGap) {
    if (now - source.last_request >= settings_.request_again_after) {
      Request(delta.registry, now);
    }
    return;
  }
  const bool must_apply = outcome != ViewFollower::Outcome::kIgnore;
  if (is_own) {
    for (const RecordEntry& entry : delta.chunk.entries) {
      if (must_apply) {
        hooks_.on_peer_entry(entry, now);
      }
    }
    return;
  }
  Region& region = found->second;
  region.last_answer = now;
  region.partner_since = now;
  region.followed = delta.registry;
  if (region.is_cut_off) {
    region.is_cut_off = false;
    for (const auto& [node, entry] : region.entries) {
      Tell(region, entry, now);
    }
  }
  if (must_apply) {
    ApplyOther(region, delta, now);
  }
  if (outcome == ViewFollower::Outcome::kApplyAndSweep) {
    Sweep(region, source.follower, now);
  }
}

void RegionExchange::Tick(base::TimePoint now) {
  for (const std::string& peer : settings_.peers) {
    RequestIfDue(peer, now);
  }
  for (auto& [name, region] : regions_) {
    CheckRegion(name, region, now);
    RequestFromPartner(region, now);
  }
  if (is_changed_) {
    Push(now);
  }
  if (now >= next_prune_) {
    next_prune_ = now + settings_.remember_removed / 16;
    records_.Prune(now - settings_.remember_removed);
  }
}

bool RegionExchange::is_cut_off(const std::string& region) const {
  const auto found = regions_.find(region);
  return found != regions_.end() && found->second.is_cut_off;
}

std::vector<std::string> RegionExchange::cut_off_regions() const {
  std::vector<std::string> names;
  for (const auto& [name, region] : regions_) {
    if (region.is_cut_off) {
      names.push_back(name);
    }
  }
  return names;
}

bool RegionExchange::has_peer_state() const {
  return std::any_of(settings_.peers.begin(), settings_.peers.end(), [&](const std::string& peer) {
    const auto found = sources_.find(peer);
    return found != sources_.end() && found->second.follower.version() > 0;
  });
}

void RegionExchange::Request(const std::string& registry, base::TimePoint now) {
  Source& source = sources_[registry];
  source.last_request = now;
  source.next_request = now + settings_.interval;
  hooks_.send(registry,
              StateRequest{settings_.registry, source.follower.life(), source.follower.version()});
}

void RegionExchange::RequestIfDue(const std::string& registry, base::TimePoint now) {
  if (now >= sources_[registry].next_request) {
    Request(registry, now);
  }
}

void RegionExchange::SendChanges(const std::string& registry, Requester& requester,
                                 bool must_answer) {
  std::vector<ViewChunk> chunks = records_.Since(requester.sent);
  if (chunks.empty() && must_answer) {
    const std::uint64_t version = records_.version();
    chunks.push_back(ViewChunk{life_, version, version, version, false, {}});
  }
  for (ViewChunk& chunk : chunks) {
    chunk.life = life_;
    hooks_.send(registry, StateDelta{settings_.registry, settings_.region, std::move(chunk)});
  }
  requester.sent = records_.version();
}

void RegionExchange::Push(base::TimePoint now) {
  is_changed_ = false;
  std::erase_if(requesters_, [&](const auto& item) {
    return now - item.second.last_request > settings_.requester_end;
  });
  for (auto& [registry, requester] : requesters_) {
    SendChanges(registry, requester, false);
  }
}

void RegionExchange::CheckRegion(const std::string& name, Region& region, base::TimePoint now) {
  if (now - region.partner_since > settings_.silent_after) {
    region.partner = (region.partner + 1) % region.partners.size();
    region.partner_since = now;
    const std::string& partner = region.partners[region.partner];
    if (partner != region.followed) {
      // Another registry was followed meanwhile, so changes since the old version are not enough.
      sources_[partner].follower = ViewFollower();
    }
  }
  if (!region.is_cut_off && now - region.last_answer > settings_.cut_off_after) {
    base::Log(base::LogLevel::kWarning, "region_cut_off", {{"region", name}});
    region.is_cut_off = true;
    for (const auto& [node, entry] : region.entries) {
      Tell(region, entry, now);
    }
  }
}

void RegionExchange::RequestFromPartner(Region& region, base::TimePoint now) {
  const std::string& partner = region.partners[region.partner];
  if (now < sources_[partner].next_request) {
    return;
  }
  Request(partner, now);
  FenceNotice notice{settings_.registry, {}};
  for (const auto& [node, incarnation] : region.contested) {
    if (notice.fences.size() < kMaximumRecords) {
      notice.fences.push_back(
          {node, incarnation, region.entries.at(node).record.stamp.incarnation});
    }
  }
  if (!notice.fences.empty()) {
    hooks_.send(partner, notice);
  }
}

void RegionExchange::ApplyOther(Region& region, const StateDelta& delta, base::TimePoint now) {
  for (const RecordEntry& entry : delta.chunk.entries) {
    const auto [position, is_new] = region.entries.try_emplace(entry.record.node, entry);
    RecordEntry& held = position->second;
    const bool is_removal = entry.state == EntryState::kRemoved;
    if (!is_new) {
      const bool was_removed = held.state == EntryState::kRemoved;
      const std::uint64_t shown = entry.record.stamp.incarnation;
      const std::uint64_t known = held.record.stamp.incarnation;
      if (!is_removal && (shown < known || (shown == known && was_removed))) {
        region.contested[entry.record.node] = shown;
        continue;
      }
      if (entry.record.stamp < held.record.stamp ||
          (!was_removed && !is_removal && !IsAllowedTransition(held.record, entry.record))) {
        continue;
      }
      VERIFY(entry.record.stamp >= held.record.stamp);
      held = entry;
    }
    region.contested.erase(entry.record.node);
    Tell(region, held, now);
  }
}

void RegionExchange::Sweep(Region& region, const ViewFollower& follower, base::TimePoint now) {
  std::erase_if(region.entries, [&](const auto& item) {
    if (item.second.state == EntryState::kRemoved || follower.named().contains(item.first)) {
      return false;
    }
    RecordEntry gone = item.second;
    gone.state = EntryState::kRemoved;
    Tell(region, gone, now);
    region.contested.erase(item.first);
    return true;
  });
}

void RegionExchange::Tell(const Region& region, RecordEntry entry, base::TimePoint now) {
  if (region.is_cut_off && entry.state != EntryState::kRemoved) {
    entry.state = EntryState::kUnreachable;
  }
  hooks_.on_other_entry(entry, now);
}

}  // namespace borageloft::membership
