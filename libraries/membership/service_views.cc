#include "libraries/membership/service_views.h"

#include <utility>

namespace borageloft::membership {

void ServiceViews::Publish(const RecordEntry& entry, base::TimePoint now) {
  const std::string& node = entry.record.node;
  const bool is_present = entry.state != EntryState::kRemoved && entry.record.upstream.has_value();
  const auto found = service_of_.find(node);
  if (found != service_of_.end() &&
      (!is_present || found->second != entry.record.upstream->service)) {
    RecordEntry removal;
    removal.record.node = node;
    removal.record.stamp = entry.record.stamp;
    removal.state = EntryState::kRemoved;
    Put(found->second, removal, now);
    service_of_.erase(found);
  }
  if (is_present) {
    service_of_[node] = entry.record.upstream->service;
    Put(entry.record.upstream->service, entry, now);
  }
}

void ServiceViews::Handle(const Subscribe& request, base::TimePoint now) {
  if (!subscribers_.contains(request.node) &&
      (request.services.empty() || subscribers_.size() >= settings_.maximum_subscribers)) {
    return;
  }
  Subscriber& subscriber = subscribers_[request.node];
  if (subscriber.sent.empty()) {
    subscriber.next_versions = now + settings_.anti_entropy;
  }
  subscriber.renewed = now;
  for (const std::string& service : request.ended) {
    if (subscriber.sent.erase(service) > 0) {
      views_.at(service).subscribers.erase(request.node);
    }
  }
  for (const ServiceVersion& item : request.services) {
    if (subscriber.sent.size() >= kMaximumServices && !subscriber.sent.contains(item.service)) {
      continue;
    }
    ViewOf(item.service).subscribers.insert(request.node);
    subscriber.sent[item.service] = request.life == life_ ? item.version : 0;
    SendChanges(request.node, subscriber, item.service);
  }
  if (subscriber.sent.empty()) {
    subscribers_.erase(request.node);
  }
}

void ServiceViews::Tick(bool is_settled, base::TimePoint now) {
  if (!changed_.empty() && now >= next_flush_) {
    Flush(now);
  }
  SendReminders(is_settled, now);
  EndSubscriptions(now);
  for (auto& [node, subscriber] : subscribers_) {
    if (now >= subscriber.next_versions) {
      subscriber.next_versions = now + settings_.anti_entropy;
      SendVersions(node, subscriber, is_settled);
    }
  }
  if (now >= next_prune_) {
    Prune(now);
  }
}

std::vector<RecordEntry> ServiceViews::Upstreams(const std::string& service) const {
  std::vector<RecordEntry> upstreams;
  const auto found = views_.find(service);
  if (found == views_.end()) {
    return upstreams;
  }
  for (const ViewChunk& chunk : found->second.records.Since(0)) {
    for (const RecordEntry& entry : chunk.entries) {
      if (entry.state != EntryState::kRemoved) {
        upstreams.push_back(entry);
      }
    }
  }
  return upstreams;
}

ServiceViews::View& ServiceViews::ViewOf(const std::string& service) {
  const auto [position, is_new] = views_.try_emplace(service);
  if (is_new) {
    position->second.records.Touch(++version_);
  }
  return position->second;
}

void ServiceViews::Put(const std::string& service, const RecordEntry& entry, base::TimePoint now) {
  View& view = ViewOf(service);
  const RecordEntry* held = view.records.Find(entry.record.node);
  if (held != nullptr && *held == entry) {
    return;
  }
  view.records.Put(entry, ++version_, now);
  if (changed_.empty()) {
    next_flush_ = std::max(next_flush_, now);
  }
  changed_.insert(service);
}

void ServiceViews::SendChanges(const std::string& node, Subscriber& subscriber,
                               const std::string& service) {
  const VersionedRecords& records = views_.at(service).records;
  std::uint64_t& sent = subscriber.sent.at(service);
  for (ViewChunk& chunk : records.Since(sent)) {
    chunk.life = life_;
    send_(node, ServiceDelta{registry_, service, std::move(chunk)});
  }
  sent = records.version();
}

void ServiceViews::Flush(base::TimePoint now) {
  for (const std::string& service : changed_) {
    for (const std::string& node : views_.at(service).subscribers) {
      SendChanges(node, subscribers_.at(node), service);
    }
    reminders_.emplace(now + settings_.first_reminder, Reminder{service, false});
    reminders_.emplace(now + settings_.second_reminder, Reminder{service, true});
  }
  changed_.clear();
  next_flush_ = now + settings_.coalesce;
}

void ServiceViews::SendReminders(bool is_settled, base::TimePoint now) {
  std::map<std::string, std::vector<ServiceVersion>> due;
  while (!reminders_.empty() && reminders_.begin()->first <= now) {
    const std::string service = reminders_.begin()->second.service;
    reminders_.erase(reminders_.begin());
    const View& view = views_.at(service);
    for (const std::string& node : view.subscribers) {
      std::vector<ServiceVersion>& services = due[node];
      if (services.empty() || services.back().service != service) {
        services.push_back({service, view.records.version()});
      }
    }
  }
  for (auto& [node, services] : due) {
    if (services.size() > kMaximumServices) {
      services.resize(kMaximumServices);
    }
    send_(node, ServiceVersions{registry_, life_, is_settled, std::move(services)});
  }
}

void ServiceViews::SendVersions(const std::string& node, const Subscriber& subscriber,
                                bool is_settled) {
  ServiceVersions versions{registry_, life_, is_settled, {}};
  for (const auto& [service, sent] : subscriber.sent) {
    versions.services.push_back({service, views_.at(service).records.version()});
  }
  send_(node, versions);
}

void ServiceViews::EndSubscriptions(base::TimePoint now) {
  std::erase_if(subscribers_, [&](const auto& item) {
    if (now - item.second.renewed < settings_.subscription_end) {
      return false;
    }
    for (const auto& [service, sent] : item.second.sent) {
      views_.at(service).subscribers.erase(item.first);
    }
    return true;
  });
}

void ServiceViews::Prune(base::TimePoint now) {
  next_prune_ = now + settings_.remember_removed / 4;
  for (auto& [service, view] : views_) {
    view.records.Prune(now - settings_.remember_removed);
  }
}

}  // namespace borageloft::membership
