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

/** A ticket in the queue and when it came. */
struct QueuedTicket {
  Ticket ticket;
  base::TimePoint since;
};

/**
 * Waiting requests, bounded per class and ordered strictly by importance. Within a class the
 * request with the least remaining time goes first, and each call already made for the root counts
 * as time used up, so that work already invested is finished. While the queue is standing, the
 * newest request goes first: it still has time left when the older ones are about to expire.
 * Classes of equal rank share one lane. Not thread-safe.
 */
class ClassQueue {
 public:
  /** Sets the bound of the lane of @p rank. Tickets over a lowered bound stay. */
  void SetLength(ClassRank rank, std::size_t length);

  /** Removes all bounds; lanes without a bound have @p length. */
  void ResetLengths(std::size_t length);

  /** Adds @p ticket without regard to the bound. @throws AdmissionError if its id is queued. */
  void Push(const Ticket& ticket, base::TimePoint now);

  /** @return Whether the lane of @p rank is at its bound. */
  bool is_full(ClassRank rank) const;

  /** @return The ranks with waiting tickets, most important first. */
  std::vector<ClassRank> waiting_ranks() const;

  /** Removes and returns the ticket of @p rank that goes first, if there is one. */
  std::optional<QueuedTicket> Pop(ClassRank rank);

  /** Removes the ticket that goes last among those less important than @p rank. */
  std::optional<QueuedTicket> EvictBelow(ClassRank rank);

  /** Removes the last ticket of the lane of @p ticket if @p ticket goes before it. */
  std::optional<QueuedTicket> EvictAfter(const Ticket& ticket);

  /** Removes the ticket with @p id, if it is queued. */
  std::optional<QueuedTicket> Remove(TicketId id);

  /** Removes all tickets whose deadline is before @p time. */
  std::vector<QueuedTicket> RemoveDueBefore(base::TimePoint time);

  /** Removes every ticket. */
  std::vector<QueuedTicket> Clear();

  /** Chooses the order within a class: newest first, or least remaining time first. */
  void set_newest_first(bool newest_first) { newest_first_ = newest_first; }

  /** @return Whether the newest ticket goes first. */
  bool is_newest_first() const { return newest_first_; }

  /** @return When the ticket that waits longest came; nothing for an empty queue. */
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

  struct Lane {
    std::optional<std::size_t> length;
    Order by_urgency;
    Order by_deadline;
    std::set<Sequence> by_arrival;
  };

  QueuedTicket Take(ClassRank rank, Sequence sequence);

  std::size_t default_length_ = 128;
  bool newest_first_ = false;
  Sequence next_sequence_ = 1;
  std::map<ClassRank, Lane> lanes_;
  std::map<Sequence, QueuedTicket> entries_;
  std::unordered_map<TicketId, Sequence> sequences_;
};

}  // namespace borageloft::admission

#endif  // BORAGELOFT_ADMISSION_CLASS_QUEUE_H_
