#include "libraries/admission/class_queue.h"

#include "libraries/admission/admission_error.h"

namespace borageloft::admission {

namespace {

// Time subtracted from the deadline for each call between the root and the request when requests
// are ordered. It is about one service time, so that depth decides only between requests with
// similar remaining time.
constexpr base::Duration kDepthCredit = std::chrono::milliseconds(10);

base::TimePoint UrgencyOf(const Ticket& ticket) {
  return ticket.deadline - ticket.depth * kDepthCredit;
}

}  // namespace

void ClassQueue::AddCapacity(ClassRank rank, std::size_t capacity) {
  RankQueue& rank_queue = rank_queues_[rank];
  rank_queue.capacity = rank_queue.capacity.value_or(0) + capacity;
}

void ClassQueue::ResetCapacities(std::size_t capacity) {
  default_capacity_ = capacity;
  for (auto& [rank, rank_queue] : rank_queues_) {
    rank_queue.capacity.reset();
  }
}

void ClassQueue::Push(const Ticket& ticket, base::TimePoint now) {
  const Sequence sequence = next_sequence_++;
  if (!sequences_.emplace(ticket.id, sequence).second) {
    throw AdmissionError("a request with this ticket id is already queued");
  }
  RankQueue& rank_queue = rank_queues_[ticket.request_class.rank];
  rank_queue.by_urgency.emplace(UrgencyOf(ticket), sequence);
  rank_queue.by_deadline.emplace(ticket.deadline, sequence);
  rank_queue.by_arrival.insert(sequence);
  entries_.emplace(sequence, QueuedTicket{ticket, now});
}

bool ClassQueue::is_full(ClassRank rank) const {
  const auto found = rank_queues_.find(rank);
  if (found == rank_queues_.end()) {
    return default_capacity_ == 0;
  }
  return found->second.by_arrival.size() >= found->second.capacity.value_or(default_capacity_);
}

std::vector<ClassRank> ClassQueue::waiting_ranks() const {
  std::vector<ClassRank> ranks;
  for (const auto& [rank, rank_queue] : rank_queues_) {
    if (!rank_queue.by_arrival.empty()) {
      ranks.push_back(rank);
    }
  }
  return ranks;
}

std::optional<QueuedTicket> ClassQueue::Pop(ClassRank rank) {
  const auto found = rank_queues_.find(rank);
  if (found == rank_queues_.end() || found->second.by_arrival.empty()) {
    return std::nullopt;
  }
  const RankQueue& rank_queue = found->second;
  return Take(rank, newest_first_ ? *rank_queue.by_arrival.rbegin()
                                  : rank_queue.by_urgency.begin()->second);
}

std::optional<QueuedTicket> ClassQueue::EvictBelow(ClassRank rank) {
  for (auto rank_queue = rank_queues_.rbegin();
       rank_queue != rank_queues_.rend() && rank_queue->first > rank; ++rank_queue) {
    if (!rank_queue->second.by_arrival.empty()) {
      return Take(rank_queue->first, rank_queue->second.by_urgency.rbegin()->second);
    }
  }
  return std::nullopt;
}

std::optional<QueuedTicket> ClassQueue::EvictAfter(const Ticket& ticket) {
  const auto found = rank_queues_.find(ticket.request_class.rank);
  if (found == rank_queues_.end() || found->second.by_urgency.empty()) {
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
  for (auto& [rank, rank_queue] : rank_queues_) {
    while (!rank_queue.by_deadline.empty() && rank_queue.by_deadline.begin()->first < time) {
      removed.push_back(Take(rank, rank_queue.by_deadline.begin()->second));
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
  for (auto rank_queue = rank_queues_.upper_bound(rank); rank_queue != rank_queues_.end();
       ++rank_queue) {
    if (!rank_queue->second.by_arrival.empty()) {
      return true;
    }
  }
  return false;
}

std::size_t ClassQueue::size(ClassRank rank) const {
  const auto found = rank_queues_.find(rank);
  return found == rank_queues_.end() ? 0 : found->second.by_arrival.size();
}

QueuedTicket ClassQueue::Take(ClassRank rank, Sequence sequence) {
  const auto found = entries_.find(sequence);
  QueuedTicket entry = std::move(found->second);
  entries_.erase(found);
  sequences_.erase(entry.ticket.id);
  RankQueue& rank_queue = rank_queues_.at(rank);
  rank_queue.by_urgency.erase({UrgencyOf(entry.ticket), sequence});
  rank_queue.by_deadline.erase({entry.ticket.deadline, sequence});
  rank_queue.by_arrival.erase(sequence);
  return entry;
}

}  // namespace borageloft::admission
