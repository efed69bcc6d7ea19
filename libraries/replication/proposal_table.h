#ifndef BORAGELOFT_REPLICATION_PROPOSAL_TABLE_H_
#define BORAGELOFT_REPLICATION_PROPOSAL_TABLE_H_

#include <cstddef>
#include <map>
#include <utility>
#include <vector>

#include "libraries/base/base.h"
#include "libraries/consensus/consensus.h"
#include "libraries/replication/outcomes.h"

namespace borageloft::replication {

/** A proposal that was appended to the log and whose outcome is not known yet. */
struct PendingProposal {
  consensus::Index index = 0;
  consensus::Term term = 0;
  consensus::ReplicaId assigned = consensus::kNoReplica;
  base::TimePoint deadline;
  ProposalCallback callback;
};

/** Pending proposals by index and term. Not thread-safe. */
class ProposalTable {
 public:
  /** Adds a proposal, whose index and term must not be in the table. */
  void Add(PendingProposal&& proposal);

  /** Removes the proposals up to index @p last. @return The removed proposals. */
  std::vector<PendingProposal> TakeUpTo(consensus::Index last);
  /** Removes the proposals above index @p last. @return The removed proposals. */
  std::vector<PendingProposal> TakeAbove(consensus::Index last);
  /** Removes the proposals whose deadline has passed. @return The removed proposals. */
  std::vector<PendingProposal> TakeExpired(base::TimePoint now);

  std::size_t size() const { return proposals_.size(); }

 private:
  // A host that loses and regains leadership can have proposals of several terms at the same index.
  std::map<std::pair<consensus::Index, consensus::Term>, PendingProposal> proposals_;
};

}  // namespace borageloft::replication

#endif  // BORAGELOFT_REPLICATION_PROPOSAL_TABLE_H_
