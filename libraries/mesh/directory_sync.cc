#include "libraries/mesh/directory_sync.h"

#include <utility>

namespace borageloft::mesh {

DirectorySync::DirectorySync(std::vector<std::string> seeds, DirectorySyncHooks hooks)
    : seeds_(seeds.begin(), seeds.end()), hooks_(std::move(hooks)), hosts_(seeds_) {}

void DirectorySync::SetSeeds(std::vector<std::string> seeds) {
  seeds_ = {seeds.begin(), seeds.end()};
  hosts_.insert(seeds_.begin(), seeds_.end());
}

void DirectorySync::SetRecord(const directory::InstanceRecord& record) {
  if (record == record_) {
    return;
  }
  record_ = record;
  for (const std::string& host : hosts_) {
    SendSyncRequest(host);
  }
}

void DirectorySync::Poll() {
  const base::TimePoint now = hooks_.clock();
  for (auto host = last_answers_.begin(); host != last_answers_.end();) {
    if (now - host->second < kHostExpiry) {
      ++host;
      continue;
    }
    base::Log(base::LogLevel::kWarning, "control_host_lost", {{"host", host->first}});
    const bool has_changed = view_.Forget(host->first);
    host = last_answers_.erase(host);
    if (has_changed) {
      hooks_.on_records();
    }
  }
  if (!has_current_answer_) {
    for (const std::string& host : hosts_) {
      SendSyncRequest(host);
    }
    return;
  }
  // A host that did not answer the last requests is skipped in most rounds. If every host would be
  // skipped, the last one is polled.
  for (std::size_t round = 0; round < hosts_.size(); ++round) {
    auto next = hosts_.upper_bound(last_polled_);
    if (next == hosts_.end()) {
      next = hosts_.begin();
    }
    last_polled_ = *next;
    unsigned& unanswered = unanswered_rounds_[last_polled_];
    const bool is_skipped = unanswered > 1 && unanswered % (kSkippedRoundsPerPoll + 1) != 0;
    if (!is_skipped || round + 1 == hosts_.size()) {
      SendSyncRequest(last_polled_);
      return;
    }
    ++unanswered;
  }
}

void DirectorySync::SendSyncRequest(const std::string& host) {
  const directory::DirectoryView::Position position = view_.PositionAt(host);
  directory::SyncRequest request;
  request.record = record_;
  request.known_version = version_;
  request.registry_epoch = position.epoch;
  request.registry_revision = position.revision;
  ++unanswered_rounds_[host];
  hooks_.send(host, directory::Encode(request));
}

void DirectorySync::Receive(const std::string& from, const directory::SyncAnswer& answer) {
  unanswered_rounds_[from] = 0;
  if (!last_answers_.contains(from)) {
    base::Log(base::LogLevel::kInfo, "control_host_found", {{"host", from}});
  }
  last_answers_[from] = hooks_.clock();
  if (answer.is_current) {
    has_current_answer_ = true;
    UpdateHosts(answer.control_hosts);
  }
  // A control host without contact to the leader may be stale. Its declaration is accepted only if
  // it is newer than one that this node holds already.
  const bool is_trusted = answer.is_current || version_ > 0;
  if (is_trusted && answer.version > version_ && !answer.declaration.empty()) {
    version_ = answer.version;
    hooks_.on_declaration(answer.version, answer.declaration);
  }
  if (view_.Apply(from, answer)) {
    hooks_.on_records();
  }
}

void DirectorySync::UpdateHosts(const std::vector<std::string>& hosts) {
  std::set<std::string> updated(hosts.begin(), hosts.end());
  updated.insert(seeds_.begin(), seeds_.end());
  hosts_ = std::move(updated);
}

std::size_t DirectorySync::reachable_hosts() const { return last_answers_.size(); }

}  // namespace borageloft::mesh
