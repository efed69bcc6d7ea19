#ifndef BORAGELOFT_CONSENSUS_ENTRY_H_
#define BORAGELOFT_CONSENSUS_ENTRY_H_

#include <cstdint>
#include <string>

#include "libraries/consensus/types.h"

namespace borageloft::consensus {

/** Kind of a log entry. The values are part of the wire and storage format. */
enum class EntryKind : std::uint8_t {
  kEmpty = 0,       // Appended by a new leader so that it can commit entries of earlier terms.
  kCommand = 1,     // Command for the state machine.
  kMembership = 2,  // Encoded Membership, which takes effect at this entry.
};

/** One entry of the replicated log. */
struct Entry {
  Term term = 0;
  Index index = 0;
  EntryKind kind = EntryKind::kEmpty;
  std::string data;

  bool operator==(const Entry&) const = default;
};

}  // namespace borageloft::consensus

#endif  // BORAGELOFT_CONSENSUS_ENTRY_H_
