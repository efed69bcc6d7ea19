#include "libraries/dissemination/tree_node.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace borageloft::dissemination {

namespace {

std::uint32_t MillisecondsOf(base::Duration duration) {
  const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, 0xffffffff));
}

}  // namespace

TreeNode::TreeNode(TreeNodeSettings settings, TreeNodeHooks hooks, std::uint64_t incarnation,
                   std::uint64_t number, base::TimePoint now)
    : settings_(std::move(settings)),
      hooks_(std::move(hooks)),
      incarnation_(incarnation),
      number_(number),
      started_(now),
      buffer_(settings_.buffered_notes, settings_.buffered_bytes),
      last_root_(now),
      next_root_check_(now) {
  if (settings_.role == TreeRole::kControlHost) {
    return;
  }
  VERIFY(!settings_.control_hosts.empty());
  // Until the node has a position, a control host is its parent.
  candidates_ = settings_.control_hosts;
  const auto first = base::Hash(settings_.node) % candidates_.size();
  std::rotate(candidates_.begin(), candidates_.begin() + static_cast<std::ptrdiff_t>(first),
              candidates_.end());
  parent_ = candidates_.front();
  next_better_ = now + settings_.avoid_failed;
}

void TreeNode::Receive(const std::string& from, const Message& message, base::TimePoint now) {
  const bool is_control_host = settings_.role == TreeRole::kControlHost;
  if (const auto* up = std::get_if<StatusUp>(&message)) {
    Handle(from, *up, now);
  } else if (const auto* detach = std::get_if<Detach>(&message)) {
    Handle(*detach, now);
  } else if (is_control_host) {
    return;  // A control host takes notes from the replicated log only.
  } else if (const auto* note = std::get_if<NoteMessage>(&message)) {
    TakeNote(note->note, now);
  } else if (const auto* snapshot = std::get_if<SnapshotMessage>(&message)) {
    TakeSnapshot(snapshot->snapshot, now);
  } else if (const auto* down = std::get_if<StatusDown>(&message)) {
    Handle(from, *down, now);
  } else if (const auto* position = std::get_if<Position>(&message)) {
    Handle(*position, now);
  }
}

void TreeNode::Tick(base::TimePoint now) {
  EndSilentChildren(now);
  FeedChildren(now);
  const bool is_report_due = now >= next_status_ || (dirty_since_.has_value() &&
                                                     now - *dirty_since_ >= settings_.coalesce);
  if (settings_.role == TreeRole::kNode) {
    TickUpward(now);
  } else if (is_report_due) {
    SendHostReports(now);
  }
}

void TreeNode::Leave() {
  if (settings_.role == TreeRole::kNode) {
    hooks_.send(parent_, Detach{settings_.node, incarnation_, ++sequence_});
  }
  for (const auto& [name, child] : children_) {
    hooks_.send(name, StatusDown{settings_.node, child.sequence, number_, 0, 0, false, false});
  }
  children_.clear();
}

base::Duration TreeNode::root_age(base::TimePoint now) const {
  return settings_.role == TreeRole::kControlHost ? base::Duration::zero() : now - last_root_;
}

void TreeNode::Handle(const std::string& from, const StatusUp& status, base::TimePoint now) {
  if (settings_.role == TreeRole::kControlHost && IsControlHost(status.node)) {
    if (hooks_.on_report) {
      hooks_.on_report(status, now);
    }
    return;
  }
  const bool is_known = children_.contains(from);
  StatusDown answer{
      settings_.node, status.sequence, number_, buffer_.oldest(), MillisecondsOf(root_age(now)),
      true,           is_cut_off_};
  // Two nodes with outdated positions may choose each other as parents.
  const bool is_refused = from != status.node || from == parent_ ||
                          (!is_known && children_.size() >= settings_.maximum_children);
  if (is_refused) {
    answer.is_accepted = false;
    hooks_.send(from, answer);
    return;
  }
  Child& child = children_[from];
  if (is_known && std::tie(status.incarnation, status.sequence) <=
                      std::tie(child.incarnation, child.sequence)) {
    return;
  }
  const bool is_restarted = status.incarnation != child.incarnation;
  if (is_restarted || status.number > child.number) {
    child.feed_interval = settings_.first_resend;
    child.sent = std::max(status.number, is_restarted ? 0 : child.sent);
    child.next_feed = child.sent > status.number ? now + settings_.first_resend : now;
  }
  if (!is_known || child.report != status.report || child.zone != status.zone) {
    MarkDirty(now);
  }
  child.zone = status.zone;
  child.incarnation = status.incarnation;
  child.sequence = status.sequence;
  child.number = status.number;
  child.wants_snapshot = status.wants_snapshot;
  child.report = status.report;
  child.last_heard = now;
  hooks_.send(from, answer);
  if (now >= child.next_feed) {
    Feed(from, child, now);
  }
}

void TreeNode::Handle(const std::string& from, const StatusDown& status, base::TimePoint now) {
  if (trial_.has_value() && from == trial_->parent) {
    const std::string chosen = trial_->parent;
    trial_.reset();
    if (!status.is_accepted) {
      failed_[chosen] = now;
      return;
    }
    if (is_attached_) {
      hooks_.send(parent_, Detach{settings_.node, incarnation_, ++sequence_});
    }
    parent_ = chosen;
    ++counts_.parent_changes;
    awaited_ = 0;
  }
  if (from != parent_) {
    return;
  }
  if (!status.is_accepted) {
    LeaveParent(now);
    return;
  }
  is_attached_ = true;
  is_cut_off_ = status.is_cut_off;
  if (status.answered >= awaited_) {
    awaited_ = 0;
  }
  last_root_ = std::max(last_root_, now - std::chrono::milliseconds(status.root_age_ms));
  const bool is_too_far =
      status.number > number_ && (status.oldest == 0 || status.oldest > number_ + 1);
  if (is_too_far && !wants_snapshot_) {
    wants_snapshot_ = true;
    SendStatus(parent_, now);
  }
}

void TreeNode::Handle(const Detach& detach, base::TimePoint now) {
  const auto found = children_.find(detach.node);
  if (found != children_.end() && std::tie(detach.incarnation, detach.sequence) >
                                      std::tie(found->second.incarnation, found->second.sequence)) {
    children_.erase(found);
    MarkDirty(now);
  }
}

void TreeNode::Handle(const Position& position, base::TimePoint now) {
  is_position_awaited_ = false;
  if (position.version <= position_version_ || position.candidates.empty()) {
    return;
  }
  position_version_ = position.version;
  candidates_ = position.candidates;
  ChooseBetter(now);
}

void TreeNode::TakeNote(const ReleaseNote& note, base::TimePoint now) {
  if (note.number <= number_) {
    ++counts_.duplicates;
    if (note.number == number_ && !digest_.empty() && note.digest != digest_) {
      ++counts_.conflicts;
      base::Log(base::LogLevel::kError, "note_conflict",
                {{"number", Json::UInt64(note.number)}, {"digest", note.digest}});
    }
    return;
  }
  if (note.number > number_ + 1) {
    if (pending_.size() < settings_.maximum_pending) {
      pending_.emplace(note.number, note);
    }
    return;
  }
  if (!hooks_.apply(note)) {
    return;
  }
  PutInForce(note);
  buffer_.Push(note);
  AfterAdvance(now);
}

void TreeNode::TakeSnapshot(const ReleaseNote& snapshot, base::TimePoint now) {
  if (snapshot.number <= number_) {
    ++counts_.duplicates;
    return;
  }
  if (!hooks_.install(snapshot)) {
    return;
  }
  PutInForce(snapshot);
  buffer_.Clear();
  AfterAdvance(now);
}

void TreeNode::PutInForce(const ReleaseNote& note) {
  // The number in force never goes backwards.
  VERIFY(note.number > number_);
  number_ = note.number;
  digest_ = note.digest;
  wants_snapshot_ = false;
}

void TreeNode::AfterAdvance(base::TimePoint now) {
  pending_.erase(pending_.begin(), pending_.upper_bound(number_));
  if (!pending_.empty() && pending_.begin()->first == number_ + 1) {
    const ReleaseNote next = pending_.begin()->second;
    pending_.erase(pending_.begin());
    TakeNote(next, now);
    return;
  }
  for (auto& [name, child] : children_) {
    child.feed_interval = settings_.first_resend;
    Feed(name, child, now);
  }
  MarkDirty(now);
  if (settings_.role == TreeRole::kNode) {
    // The status is the confirmation of the note; without it the parent sends the note again.
    SendStatus(parent_, now);
  }
}

void TreeNode::FeedChildren(base::TimePoint now) {
  for (auto& [name, child] : children_) {
    if (child.number < number_ && now >= child.next_feed) {
      Feed(name, child, now);
    }
  }
}

void TreeNode::Feed(const std::string& name, Child& child, base::TimePoint now) {
  if (child.number >= number_) {
    return;
  }
  const bool is_resend = now >= child.next_feed && child.sent > child.number;
  const std::uint64_t from = is_resend ? child.number : std::max(child.sent, child.number);
  const std::vector<const ReleaseNote*> notes = buffer_.After(from, settings_.notes_per_feed);
  for (const ReleaseNote* note : notes) {
    counts_.resends += note->number <= child.sent ? 1 : 0;
    hooks_.send(name, NoteMessage{*note});
    child.sent = std::max(child.sent, note->number);
  }
  if (notes.empty() && child.wants_snapshot) {
    ++counts_.snapshots_sent;
    hooks_.send(name, SnapshotMessage{hooks_.snapshot()});
    child.feed_interval = settings_.maximum_resend;
  } else if (notes.empty() && child.sent < number_) {
    // The child has to ask for a snapshot; this tells it at once that the notes are gone.
    hooks_.send(name, StatusDown{settings_.node, 0, number_, buffer_.oldest(),
                                 MillisecondsOf(root_age(now)), true, is_cut_off_});
  }
  child.next_feed = now + child.feed_interval;
  child.feed_interval = std::min(child.feed_interval * 2, settings_.maximum_resend);
}

void TreeNode::EndSilentChildren(base::TimePoint now) {
  const auto count = std::erase_if(children_, [&](const auto& item) {
    return now - item.second.last_heard > settings_.child_end;
  });
  if (count > 0) {
    MarkDirty(now);
  }
}

ZoneReport TreeNode::ReportOf(const std::string& zone) const {
  ZoneReport report;
  if (zone == settings_.zone) {
    report.Add(settings_.node, number_);
  }
  for (const auto& [name, child] : children_) {
    if (child.zone == zone) {
      report.Add(child.report);
    }
  }
  return report;
}

StatusUp TreeNode::MakeStatus() {
  return StatusUp{settings_.node,  settings_.zone,           incarnation_,     ++sequence_, number_,
                  wants_snapshot_, ReportOf(settings_.zone), settings_.address};
}

void TreeNode::SendStatus(const std::string& to, base::TimePoint now) {
  const StatusUp status = MakeStatus();
  if (to == parent_) {
    const double factor = 1 + settings_.jitter * (2 * base::DrawFraction(hooks_.random) - 1);
    next_status_ =
        now + std::chrono::duration_cast<base::Duration>(settings_.status_interval * factor);
    dirty_since_.reset();
    status_sent_ = now;
    if (awaited_ == 0) {
      awaited_ = status.sequence;
      awaited_since_ = now;
    }
  }
  hooks_.send(to, status);
}

void TreeNode::SendHostReports(base::TimePoint now) {
  next_status_ = now + settings_.status_interval;
  dirty_since_.reset();
  // A zone whose last child went elsewhere is reported as empty; otherwise the last report would
  // count that child a second time until it expires.
  for (const auto& [name, child] : children_) {
    reported_zones_.insert(child.zone);
  }
  if (!settings_.zone.empty()) {
    reported_zones_.insert(settings_.zone);
  }
  for (const std::string& zone : reported_zones_) {
    StatusUp report = MakeStatus();
    report.address.clear();
    report.zone = zone;
    report.report = ReportOf(zone);
    if (hooks_.on_report) {
      hooks_.on_report(report, now);
    }
    for (const std::string& host : settings_.report_to) {
      hooks_.send(host, report);
    }
  }
}

void TreeNode::TickUpward(base::TimePoint now) {
  CheckParent(now);
  TickTrial(now);
  const bool is_dirty = dirty_since_.has_value() && now - *dirty_since_ >= settings_.coalesce;
  if (now >= next_status_ || is_dirty) {
    SendStatus(parent_, now);
  }
  if (now >= next_position_ ||
      (is_position_awaited_ && now - position_asked_ >= settings_.probe_timeout * 2)) {
    // The first control host that answers plans. Each regular request begins with the first one
    // again, so that all nodes return to one plan after a failure.
    planner_ = is_position_awaited_ ? planner_ + 1 : 0;
    RequestPosition(now);
  }
  if (now >= next_better_) {
    next_better_ = now + settings_.avoid_failed;
    std::erase_if(failed_, [&](const auto& item) { return !HasFailed(item.first, now); });
    if (!trial_.has_value()) {
      ChooseBetter(now);
    }
  }
}

void TreeNode::CheckParent(base::TimePoint now) {
  if (awaited_ != 0 && now - awaited_since_ >= settings_.probe_timeout * settings_.maximum_probes) {
    LeaveParent(now);
    return;
  }
  if (awaited_ != 0 && now - status_sent_ >= settings_.probe_timeout) {
    SendStatus(parent_, now);
  }
  if (now >= next_root_check_ && root_age(now) > settings_.maximum_root_age) {
    LeaveParent(now);
  }
}

void TreeNode::TickTrial(base::TimePoint now) {
  if (!trial_.has_value() || now - trial_->sent_at < settings_.probe_timeout) {
    return;
  }
  if (++trial_->probes >= settings_.maximum_probes) {
    failed_[trial_->parent] = now;
    trial_.reset();
    ChooseBetter(now);
    return;
  }
  trial_->sent_at = now;
  SendStatus(trial_->parent, now);
}

void TreeNode::LeaveParent(base::TimePoint now) {
  failed_[parent_] = now;
  is_attached_ = false;
  awaited_ = 0;
  trial_.reset();
  ++counts_.parent_changes;
  next_root_check_ = now + settings_.maximum_root_age;
  const std::string former = parent_;
  const auto next = std::find_if(candidates_.begin(), candidates_.end(), [&](const auto& name) {
    const bool is_allowed =
        settings_.orphan_policy == OrphanPolicy::kNearestAncestor || IsControlHost(name);
    return is_allowed && !HasFailed(name, now);
  });
  if (next != candidates_.end()) {
    parent_ = *next;
  } else {
    // Nobody is left: begin again and keep a parent that answers, even if it is cut off as well.
    failed_.clear();
    parent_ = candidates_.front();
    next_root_check_ = now + settings_.avoid_failed;
  }
  hooks_.send(former, Detach{settings_.node, incarnation_, ++sequence_});
  SendStatus(parent_, now);
  RequestPosition(now);
}

void TreeNode::BeginTrial(const std::string& parent, base::TimePoint now) {
  trial_ = Trial{parent, now, 0};
  SendStatus(parent, now);
}

void TreeNode::ChooseBetter(base::TimePoint now) {
  for (const std::string& candidate : candidates_) {
    if (candidate == parent_) {
      return;
    }
    if (!HasFailed(candidate, now) && !children_.contains(candidate)) {
      BeginTrial(candidate, now);
      return;
    }
  }
}

void TreeNode::RequestPosition(base::TimePoint now) {
  next_position_ = now + settings_.position_interval;
  position_asked_ = now;
  is_position_awaited_ = true;
  const auto age = std::chrono::duration_cast<std::chrono::seconds>(now - started_).count();
  hooks_.send(settings_.control_hosts[planner_ % settings_.control_hosts.size()],
              PositionRequest{settings_.node, settings_.zone, incarnation_, position_version_,
                              static_cast<std::uint32_t>(age)});
}

bool TreeNode::HasFailed(const std::string& parent, base::TimePoint now) const {
  const auto found = failed_.find(parent);
  return found != failed_.end() && now - found->second < settings_.avoid_failed;
}

bool TreeNode::IsControlHost(const std::string& name) const {
  const auto has = [&name](const std::vector<std::string>& names) {
    return std::find(names.begin(), names.end(), name) != names.end();
  };
  return has(settings_.control_hosts) || has(settings_.report_to);
}

void TreeNode::MarkDirty(base::TimePoint now) {
  if (!dirty_since_.has_value()) {
    dirty_since_ = now;
  }
}

}  // namespace borageloft::dissemination
