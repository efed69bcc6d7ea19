#include "libraries/admission/class_queue.h"

#include "libraries/admission/admission_error.h"

namespace borageloft::admission {

namespace {

// One call already made for a root counts as this much time used up. It is of the order of one
// service time, so that depth decides between requests of about the same remaining time.
constexpr base::Duration kDepthCredit = std::chrono::milliseconds(10);

base::TimePoint UrgencyOf(const Ticket& ticket) {
  return ticket.deadline - ticket.depth * kDepthCredit;
}

}  // namespace

void ClassQueue::SetLength(ClassRank rank, std::size_t length) {
  Lane& lane = lanes_[rank];
  lane.length = lane.length.value_or(0) + length;
}

void ClassQueue::ResetLengths(std::size_t length) {
  default_length_ = length;
  for (auto& [rank, lane] : lanes_) {
    lane.length.reset();
  }
}

void ClassQueue::Push(const Ticket& ticket, base::TimePoint now) {
  const Sequence sequence = next_sequence_++;
  if (!sequences_.emplace(ticket.id, sequence).second) {
    throw AdmissionError("the ticket id is already queued");
  }
  Lane& lane = lanes_[ticket.request_class.rank];
  lane.by_urgency.emplace(UrgencyOf(ticket), sequence);
  lane.by_deadline.emplace(ticket.deadline, sequence);
  lane.by_arrival.insert(sequence);
  entries_.emplace(sequence, QueuedTicket{ticket, now});
}

bool ClassQueue::is_full(ClassRank rank) const {
  const auto found = lanes_.find(rank);
  if (found == lanes_.end()) {
    return default_length_ == 0;
  }
  return found->second.by_arrival.size() >= found->second.length.value_or(default_length_);
}

std::vector<ClassRank> ClassQueue::waiting_ranks() const {
  std::vector<ClassRank> ranks;
  for (const auto& [rank, lane] : lanes_) {
    if (!lane.by_arrival.empty()) {
      ranks.push_back(rank);
    }
  }
  return ranks;
}

std::optional<QueuedTicket> ClassQueue::Pop(ClassRank rank) {
  const auto found = lanes_.find(rank);
  if (found == lanes_.end() || found->second.by_arrival.empty()) {
    return std::nullopt;
  }
  const Lane& lane = found->second;
  return Take(rank, newest_first_ ? *lane.by_arrival.rbegin() : lane.by_urgency.begin()->second);
}

std::optional<QueuedTicket> ClassQueue::EvictBelow(ClassRank rank) {
  for (auto lane = lanes_.rbegin(); lane != lanes_.rend() && lane->first > rank; ++lane) {
    if (!lane->second.by_arrival.empty()) {
      return Take(lane->first, lane->second.by_urgency.rbegin()->second);
    }
  }
  return std::nullopt;
}

std::optional<QueuedTicket> ClassQueue::EvictAfter(const Ticket& ticket) {
  const auto found = lanes_.find(ticket.request_class.rank);
  if (found == lanes_.end() || found->second.by_urgency.empty()) {
    return std::nullopt;
  }
  const auto& [urgency, sequence] = *found->second.by_urgency.rbegin();
  if (urgency <= UrgencyOf(ticket)) {
    return std::nullopt;
  }
  return Take(found->first, sequence);
}

std::optional<QueuedTicket> ClassQueue::Remove(TicketId id) {
  const auto found = sequences_.find(id);
  if (found == sequences_.end()) {
    return std::nullopt;
  }
  const Sequence sequence = found->second;
  return Take(entries_.at(sequence).ticket.request_class.rank, sequence);
}

std::vector<QueuedTicket> ClassQueue::RemoveDueBefore(base::TimePoint time) {
  std::vector<QueuedTicket> removed;
  for (auto& [rank, lane] : lanes_) {
    while (!lane.by_deadline.empty() && lane.by_deadline.begin()->first < time) {
      removed.push_back(Take(rank, lane.by_deadline.begin()->second));
    }
  }
  return removed;
}

std::vector<QueuedTicket> ClassQueue::Clear() {
  std::vector<QueuedTicket> removed;
  while (!entries_.empty()) {
    const auto& [sequence, entry] = *entries_.begin();
    removed.push_back(Take(entry.ticket.request_class.rank, sequence));
  }
  return removed;
}

std::optional<base::TimePoint> ClassQueue::oldest() const {
  if (entries_.empty()) {
    return std::nullopt;
  }
  return entries_.begin()->second.since;
}

bool ClassQueue::has_below(ClassRank rank) const {
  for (auto lane = lanes_.upper_bound(rank); lane != lanes_.end(); ++lane) {
    if (!lane->second.by_arrival.empty()) {
      return true;
    }
  }
  return false;
}

std::size_t ClassQueue::size(ClassRank rank) const {
  const auto found = lanes_.find(rank);
  return found == lanes_.end() ? 0 : found->second.by_arrival.size();
}

QueuedTicket ClassQueue::Take(ClassRank rank, Sequence sequence) {
  const auto found = entries_.find(sequence);
  QueuedTicket entry = std::move(found->second);
  entries_.erase(found);
  sequences_.erase(entry.ticket.id);
  Lane& lane = lanes_.at(rank);
  lane.by_urgency.erase({UrgencyOf(entry.ticket), sequence});
  lane.by_deadline.erase({entry.ticket.deadline, sequence});
  lane.by_arrival.erase(sequence);
  return entry;
}

}  // namespace borageloft::admission
