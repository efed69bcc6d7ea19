#ifndef BORAGELOFT_ADMISSION_CLASS_QUEUE_H_
#define BORAGELOFT_ADMISSION_CLASS_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "libraries/admission/ticket.h"
#include "libraries/base/base.h"

namespace borageloft::admission {

/** A queued ticket and the time at which it was queued. */
struct QueuedTicket {
  Ticket ticket;
  base::TimePoint since;
};

/**
 * Priority queue of waiting requests, bounded for each rank and ordered strictly by rank. Within a
 * rank the request with the least remaining time goes first. Each call between the root and the
 * request counts as elapsed time, so that requests on which work has been spent are finished. When
 * a standing queue has built up, the owner selects newest first: the newest request still has time
 * left when the older ones are about to expire. Classes of equal rank share one queue and the sum
 * of their capacities. Not thread-safe.
 */
class ClassQueue {
 public:
  /** Adds @p capacity to the capacity of @p rank. Tickets over the capacity stay queued. */
  void AddCapacity(ClassRank rank, std::size_t capacity);

  /** Resets every rank to the default capacity, @p capacity. */
  void ResetCapacities(std::size_t capacity);

  /** Adds @p ticket regardless of the capacity. @throws AdmissionError if its id is queued. */
  void Push(const Ticket& ticket, base::TimePoint now);

  /** @return Whether the queue of @p rank is at or over its capacity. */
  bool is_full(ClassRank rank) const;

  /** @return The ranks with waiting tickets, most important first. */
  std::vector<ClassRank> waiting_ranks() const;

  /** Removes and returns the ticket of @p rank that goes first, if there is one. */
  std::optional<QueuedTicket> Pop(ClassRank rank);

  /** Removes and returns the last ticket in order if it is less important than @p rank. */
  std::optional<QueuedTicket> EvictBelow(ClassRank rank);

  /** Removes and returns the least urgent ticket of the same rank if @p ticket is more urgent. */
  std::optional<QueuedTicket> EvictAfter(const Ticket& ticket);

  /** Removes and returns the ticket with @p id, if it is queued. */
  std::optional<QueuedTicket> Remove(TicketId id);

  /** Removes and returns all tickets whose deadline is before @p time. */
  std::vector<QueuedTicket> RemoveDueBefore(base::TimePoint time);

  /** Removes and returns all tickets. */
  std::vector<QueuedTicket> Clear();

  /** Selects the order within a rank: newest first, or least remaining time first. */
  void set_newest_first(bool newest_first) { newest_first_ = newest_first; }

  /** @return Whether the newest ticket goes first. */
  bool is_newest_first() const { return newest_first_; }

  /** @return Time at which the oldest ticket was queued; nothing for an empty queue. */
  std::optional<base::TimePoint> oldest() const;

  /** @return Whether a ticket less important than @p rank waits. */
  bool has_below(ClassRank rank) const;

  /** @return Waiting tickets of @p rank. */
  std::size_t size(ClassRank rank) const;

  /** @return Waiting tickets of all classes. */
  std::size_t size() const { return entries_.size(); }

 private:
  using Sequence = std::uint64_t;
  using Order = std::set<std::pair<base::TimePoint, Sequence>>;

  struct RankQueue {
    std::optional<std::size_t> capacity;
    Order by_urgency;
    Order by_deadline;
    std::set<Sequence> by_arrival;
  };

  QueuedTicket Take(ClassRank rank, Sequence sequence);

  std::size_t default_capacity_ = 128;
  bool newest_first_ = false;
  Sequence next_sequence_ = 1;
  std::map<ClassRank, RankQueue> rank_queues_;
  std::map<Sequence, QueuedTicket> entries_;
  std::unordered_map<TicketId, Sequence> sequences_;
};

}  // namespace borageloft::admission

#endif  // BORAGELOFT_ADMISSION_CLASS_QUEUE_H_
