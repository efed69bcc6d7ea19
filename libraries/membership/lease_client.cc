#include "libraries/membership/lease_client.h"

#include <algorithm>
#include <utility>

namespace borageloft::membership {

namespace {

/** Orders the registries by rendezvous hash, which spreads the nodes evenly over them. */
std::vector<std::string> RankFor(const std::string& node, std::vector<std::string> registries) {
  std::sort(registries.begin(), registries.end(), [&](const std::string& a, const std::string& b) {
    return std::pair(base::Hash(node + '/' + a), a) < std::pair(base::Hash(node + '/' + b), b);
  });
  return registries;
}

}  // namespace

LeaseClient::LeaseClient(LeaseClientSettings settings, LeaseClientHooks hooks, base::TimePoint now)
    : settings_(std::move(settings)),
      hooks_(std::move(hooks)),
      ranked_(RankFor(settings_.node, settings_.registries)),
      last_source_heard_(now),
      last_heard_(now) {
  VERIFY(!ranked_.empty());
  record_.node = settings_.node;
  record_.region = settings_.region;
  record_.zone = settings_.zone;
  record_.address = settings_.address;
  next_renewal_ = now + settings_.renew_subscriptions;
  next_return_ = now + DrawReturnDelay();
  next_prune_ = now + settings_.remember_removed;
  TakeIncarnation(0, now);
}

void LeaseClient::Tick(base::TimePoint now) {
  if (now >= next_lease_) {
    SendLease(now);
  }
  if (repeats_left_ > 0 && now >= next_repeat_) {
    --repeats_left_;
    next_repeat_ = now + settings_.repeat_after;
    SendLease(now);
  }
  EndUnused(now);
  CheckSource(now);
  if (now >= next_renewal_) {
    next_renewal_ = now + settings_.renew_subscriptions;
    RequestViews(directory_.services(), now);
  }
  RequestMissingViews(now);
  if (now >= next_prune_) {
    next_prune_ = now + settings_.remember_removed;
    directory_.Prune(now - settings_.remember_removed);
  }
}

void LeaseClient::Receive(const Message& message, base::TimePoint now) {
  if (const auto* answer = std::get_if<LeaseAnswer>(&message)) {
    Handle(*answer, now);
  } else if (const auto* versions = std::get_if<ServiceVersions>(&message)) {
    Handle(*versions, now);
  } else if (const auto* delta = std::get_if<ServiceDelta>(&message)) {
    Handle(*delta, now);
  }
}

void LeaseClient::SetUpstream(const std::optional<UpstreamData>& upstream, base::TimePoint now) {
  if (record_.upstream == upstream) {
    return;
  }
  record_.upstream = upstream;
  SendChange(now);
}

void LeaseClient::SetNodeState(NodeState state, base::TimePoint now) {
  VERIFY(state >= record_.node_state);
  if (state != record_.node_state) {
    record_.node_state = state;
    SendChange(now);
  }
}

bool LeaseClient::Use(const std::string& service, base::TimePoint now) {
  const auto found = usage_.find(service);
  if (found != usage_.end()) {
    found->second.last_used = now;
    return true;
  }
  if (usage_.size() >= kMaximumServices || service.empty() || service.size() > kMaximumText) {
    return false;
  }
  if (usage_.empty()) {
    last_source_heard_ = now;
  }
  usage_.emplace(service, Usage{now, now});
  directory_.Add(service);
  RequestViews({service}, now);
  return true;
}

void LeaseClient::Handle(const LeaseAnswer& answer, base::TimePoint now) {
  last_heard_ = now;
  answered_[answer.registry] = Answered{now, answer.is_settled};
  if (answer.incarnation == record_.stamp.incarnation &&
      answer.fenced >= record_.stamp.incarnation && record_.node_state != NodeState::kStopped) {
    TakeIncarnation(answer.fenced, now);
  }
}

void LeaseClient::Handle(const ServiceVersions& versions, base::TimePoint now) {
  if (versions.registry != source() || versions.life < source_life_) {
    return;
  }
  last_heard_ = now;
  answered_[versions.registry] = Answered{now, versions.is_settled};
  if (versions.is_settled) {
    last_source_heard_ = now;
  }
  source_life_ = versions.life;
  std::vector<std::string> behind;
  for (const ServiceVersion& item : versions.services) {
    const auto used = usage_.find(item.service);
    if (used != usage_.end() && directory_.version_of(item.service, versions.life) < item.version &&
        now - used->second.last_request >= settings_.request_again_after / 3) {
      behind.push_back(item.service);
    }
  }
  RequestViews(behind, now);
}

void LeaseClient::Handle(const ServiceDelta& delta, base::TimePoint now) {
  if (delta.registry != source() || delta.chunk.life < source_life_) {
    return;
  }
  last_heard_ = now;
  last_source_heard_ = now;
  source_life_ = delta.chunk.life;
  const DeltaResult result = directory_.Apply(delta, now);
  if (result.has_gap) {
    const auto used = usage_.find(delta.service);
    if (used != usage_.end() &&
        now - used->second.last_request >= settings_.request_again_after / 3) {
      RequestViews({delta.service}, now);
    }
  }
  if (result.is_changed && hooks_.on_view_changed) {
    hooks_.on_view_changed(delta.service);
  }
}

void LeaseClient::TakeIncarnation(std::uint64_t above, base::TimePoint now) {
  const std::uint64_t incarnation = hooks_.next_incarnation(above);
  if (incarnation <= above) {
    base::Log(base::LogLevel::kError, "incarnation_refused",
              {{"node", settings_.node}, {"above", Json::UInt64(above)}});
    return;
  }
  VERIFY(incarnation > record_.stamp.incarnation);
  record_.stamp = Stamp{incarnation, 0};
  sequence_ = 0;
  SendChange(now);
}

void LeaseClient::SendChange(base::TimePoint now) {
  ++record_.stamp.revision;
  repeats_left_ = settings_.repeats;
  next_repeat_ = now + settings_.repeat_after;
  SendLease(now);
}

void LeaseClient::SendLease(base::TimePoint now) {
  const double factor = 1 + settings_.jitter * (2 * base::DrawFraction(hooks_.random) - 1);
  next_lease_ = now + std::chrono::duration_cast<base::Duration>(settings_.interval * factor);
  const Lease lease{record_, ++sequence_};
  for (const std::string& registry : ranked_) {
    hooks_.send(registry, lease);
  }
  const std::vector<Fence> conflicts = directory_.Conflicts();
  if (!conflicts.empty()) {
    hooks_.send(source(), FenceNotice{settings_.node, conflicts});
  }
}

void LeaseClient::RequestViews(const std::vector<std::string>& services, base::TimePoint now) {
  if (services.empty()) {
    return;
  }
  Subscribe request{settings_.node, source_life_, {}, {}};
  for (const std::string& service : services) {
    request.services.push_back({service, directory_.version_of(service, source_life_)});
    usage_.at(service).last_request = now;
  }
  hooks_.send(source(), request);
}

void LeaseClient::RequestMissingViews(base::TimePoint now) {
  std::vector<std::string> missing;
  for (const auto& [service, usage] : usage_) {
    if (directory_.version_of(service, source_life_) == 0 &&
        now - usage.last_request >= settings_.request_again_after) {
      missing.push_back(service);
    }
  }
  RequestViews(missing, now);
}

void LeaseClient::EndUnused(base::TimePoint now) {
  Subscribe request{settings_.node, source_life_, {}, {}};
  std::erase_if(usage_, [&](const auto& item) {
    if (now - item.second.last_used < settings_.unused_after) {
      return false;
    }
    directory_.Remove(item.first);
    request.ended.push_back(item.first);
    return true;
  });
  if (!request.ended.empty()) {
    hooks_.send(source(), request);
  }
  // A directory contains only subscribed services.
  VERIFY(directory_.service_count() == usage_.size());
}

void LeaseClient::CheckSource(base::TimePoint now) {
  if (now - last_source_heard_ > settings_.silent_after && !usage_.empty()) {
    std::size_t next = (source_ + 1) % ranked_.size();
    // Prefer the first registry in order that answers leases; without any, try each in turn.
    for (std::size_t rank = 0; rank < ranked_.size(); ++rank) {
      if (rank != source_ && HasAnswered(rank, now)) {
        next = rank;
        break;
      }
    }
    MoveTo(next, now);
  }
  if (now >= next_return_) {
    next_return_ = now + DrawReturnDelay();
    if (source_ != 0 && HasAnswered(0, now)) {
      MoveTo(0, now);
    }
  }
}

void LeaseClient::MoveTo(std::size_t source, base::TimePoint now) {
  last_source_heard_ = now;
  if (source == source_) {
    return;
  }
  if (!usage_.empty()) {
    hooks_.send(this->source(), Subscribe{settings_.node, source_life_, {}, directory_.services()});
  }
  source_ = source;
  source_life_ = 0;
  directory_.FollowAnew();
  RequestViews(directory_.services(), now);
}

base::Duration LeaseClient::DrawReturnDelay() const {
  // Drawn, so that the nodes that a restarted registry had do not all come back at once.
  return std::chrono::duration_cast<base::Duration>(settings_.return_after *
                                                    (0.5 + base::DrawFraction(hooks_.random)));
}

bool LeaseClient::is_served(base::TimePoint now) const {
  for (std::size_t rank = 0; rank < ranked_.size(); ++rank) {
    if (HasAnswered(rank, now)) {
      return true;
    }
  }
  return false;
}

bool LeaseClient::HasAnswered(std::size_t rank, base::TimePoint now) const {
  // Leases are answered every fourth time, so one lost answer is allowed for.
  const auto found = answered_.find(ranked_[rank]);
  return found != answered_.end() && found->second.is_settled &&
         now - found->second.when <= settings_.interval * 9;
}

}  // namespace borageloft::membership
