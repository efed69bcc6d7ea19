#ifndef BORAGELOFT_ADMISSION_TICKET_H_
#define BORAGELOFT_ADMISSION_TICKET_H_

#include <cstdint>
#include <string>

#include "libraries/admission/admission_level.h"
#include "libraries/admission/shed_key.h"
#include "libraries/base/base.h"

namespace borageloft::admission {

/** Identifies a request at one gate; unique among the requests that the gate holds. */
enum class TicketId : std::uint64_t {};

/** Class of a request as the release note in force defines it. */
struct RequestClass {
  std::string name;
  ClassRank rank = 1;  ///< 1 is the most important.
};

/** Attributes of a request that decide about its admission. */
struct Ticket {
  TicketId id{};
  RequestClass request_class;
  ShedKey key;
  base::TimePoint deadline;  ///< When the caller stops waiting.
  base::TimePoint begun;     ///< When the root request entered the system.
  std::uint32_t depth = 0;   ///< Calls between the root and this request.
};

/** How a request that ran ended. */
enum class Outcome {
  kSucceeded,
  kFailed,      ///< The upstream answered with an error.
  kOverloaded,  ///< The upstream refused the request for overload.
  kTimedOut,
  kCancelled,
};

/** Why a request was refused, or dropped from the queue. It did not run in either case. */
enum class Reason {
  kLeaving,    ///< The upstream is leaving.
  kLevel,      ///< The admission level sheds this class and key.
  kQueueFull,  ///< The queue of the class is full and no request in it can be evicted.
  kHopeless,   ///< The remaining time is below the current service time.
  kExpired,    ///< The deadline has passed.
  kEvicted,    ///< Removed from the queue in favour of a request that goes before it.
  kCancelled,  ///< The caller cancelled it before it ran.
};

/** Number of values of Outcome. */
inline constexpr std::size_t kOutcomeCount = 5;

/** Number of values of Reason. */
inline constexpr std::size_t kReasonCount = 7;

/** @return The stable name of @p reason in lower snake case, for logs, metrics and problems. */
const char* NameOf(Reason reason);

/** @return The stable name of @p outcome in lower snake case. */
const char* NameOf(Outcome outcome);

}  // namespace borageloft::admission

#endif  // BORAGELOFT_ADMISSION_TICKET_H_
