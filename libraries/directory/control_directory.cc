#include "libraries/directory/control_directory.h"

namespace borageloft::directory {

namespace {

// Source of the records renewed at this control host. No address is empty.
const std::string kOwnSource;

}  // namespace

ControlDirectory::ControlDirectory(std::uint64_t epoch, base::Duration lifetime,
                                   base::TimePoint now)
    : renewed_(epoch, lifetime, now), served_(epoch), taken_revision_(renewed_.revision()) {}

void ControlDirectory::Renew(const InstanceRecord& record, base::TimePoint now) {
  if (renewed_.Renew(record, now) && view_.Put(kOwnSource, record)) {
    Serve(record.node);
  }
}

SyncRequest ControlDirectory::ExchangeRequest(const std::string& control_host) const {
  const DirectoryView::Position position = view_.PositionAt(control_host);
  SyncRequest request;
  request.kind = SyncKind::kExchange;
  request.registry_epoch = position.epoch;
  request.registry_revision = position.revision;
  return request;
}

void ControlDirectory::Receive(const std::string& control_host, const SyncAnswer& answer,
                               base::TimePoint now) {
  last_answers_[control_host] = now;
  Serve(view_.Apply(control_host, answer));
}

void ControlDirectory::Expire(base::TimePoint now) {
  const bool was_complete = renewed_.is_complete();
  for (const std::string& node : renewed_.Expire(now)) {
    if (view_.Erase(kOwnSource, node)) {
      Serve(node);
    }
  }
  if (renewed_.is_complete() && !was_complete) {
    served_.BeginEpoch();
  }
  for (auto host = last_answers_.begin(); host != last_answers_.end();) {
    if (now - host->second < kHostExpiry) {
      ++host;
      continue;
    }
    base::Log(base::LogLevel::kWarning, "control_host_lost", {{"host", host->first}});
    Serve(view_.Forget(host->first));
    host = last_answers_.erase(host);
  }
}

void ControlDirectory::FillAnswer(const SyncRequest& request, SyncAnswer& answer) const {
  if (request.kind == SyncKind::kExchange) {
    renewed_.FillAnswer(request, answer);
  } else if (request.kind == SyncKind::kRecords) {
    served_.FillAnswer(request, answer);
    answer.is_complete = renewed_.is_complete();
  }
}

SyncAnswer ControlDirectory::TakeChanges() {
  SyncRequest since;
  since.registry_epoch = renewed_.epoch();
  since.registry_revision = taken_revision_;
  SyncAnswer changes;
  renewed_.FillAnswer(since, changes);
  taken_revision_ = renewed_.revision();
  return changes;
}

void ControlDirectory::Serve(const std::string& node) {
  const auto record = view_.records().find(node);
  if (record == view_.records().end()) {
    served_.Remove(node);
  } else {
    served_.Set(record->second);
  }
}

void ControlDirectory::Serve(const NodeSet& changed) {
  for (const std::string& node : changed) {
    Serve(node);
  }
}

}  // namespace borageloft::directory
