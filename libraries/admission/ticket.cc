#include "libraries/admission/ticket.h"

namespace borageloft::admission {

const char* NameOf(Reason reason) {
  switch (reason) {
    case Reason::kLeaving:
      return "leaving";
    case Reason::kLevel:
      return "level";
    case Reason::kQueueFull:
      return "queue_full";
    case Reason::kHopeless:
      return "hopeless";
    case Reason::kExpired:
      return "expired";
    case Reason::kEvicted:
      return "evicted";
    case Reason::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

const char* NameOf(Outcome outcome) {
  switch (outcome) {
    case Outcome::kSucceeded:
      return "succeeded";
    case Outcome::kFailed:
      return "failed";
    case Outcome::kOverloaded:
      return "overloaded";
    case Outcome::kTimedOut:
      return "timed_out";
    case Outcome::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

}  // namespace borageloft::admission
