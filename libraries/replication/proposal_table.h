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

/** A proposal in the log whose outcome is not known yet. */
struct PendingProposal {
  consensus::Index index = 0;
  consensus::Term term = 0;
  consensus::ReplicaId assigned = consensus::kNoReplica;
  base::TimePoint deadline;
  ProposalCallback callback;
};

/** Proposals that wait for their outcome, by index and term. Not thread-safe. */
class ProposalTable {
 public:
  /** Adds a proposal. */
  void Add(PendingProposal&& proposal);

  /** @return Proposals up to index @p last, which are removed. */
  std::vector<PendingProposal> TakeUpTo(consensus::Index last);
  /** @return Proposals above index @p last, which are removed. */
  std::vector<PendingProposal> TakeAbove(consensus::Index last);
  /** @return Proposals whose deadline has passed, which are removed. */
  std::vector<PendingProposal> TakeExpired(base::TimePoint now);

  std::size_t size() const { return proposals_.size(); }

 private:
  // A host that loses and regains leadership can have proposals of several terms at one index.
  std::map<std::pair<consensus::Index, consensus::Term>, PendingProposal> proposals_;
};

}  // namespace borageloft::replication

#endif  // BORAGELOFT_REPLICATION_PROPOSAL_TABLE_H_
