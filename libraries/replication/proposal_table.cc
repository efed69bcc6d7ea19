#include "libraries/replication/proposal_table.h"

#include <limits>
#include <utility>

namespace borageloft::replication {

void ProposalTable::Add(PendingProposal&& proposal) {
  const auto key = std::make_pair(proposal.index, proposal.term);
  const bool is_new = proposals_.try_emplace(key, std::move(proposal)).second;
  VERIFY(is_new);
}

std::vector<PendingProposal> ProposalTable::TakeUpTo(consensus::Index last) {
  const auto end = proposals_.upper_bound({last, std::numeric_limits<consensus::Term>::max()});
  std::vector<PendingProposal> taken;
  for (auto it = proposals_.begin(); it != end; ++it) {
    taken.push_back(std::move(it->second));
  }
  proposals_.erase(proposals_.begin(), end);
  return taken;
}

std::vector<PendingProposal> ProposalTable::TakeAbove(consensus::Index last) {
  const auto begin = proposals_.upper_bound({last, std::numeric_limits<consensus::Term>::max()});
  std::vector<PendingProposal> taken;
  for (auto it = begin; it != proposals_.end(); ++it) {
    taken.push_back(std::move(it->second));
  }
  proposals_.erase(begin, proposals_.end());
  return taken;
}

std::vector<PendingProposal> ProposalTable::TakeExpired(base::TimePoint now) {
  std::vector<PendingProposal> taken;
  std::erase_if(proposals_, [&](auto& item) {
    if (item.second.deadline > now) {
      return false;
    }
    taken.push_back(std::move(item.second));
    return true;
  });
  return taken;
}

}  // namespace borageloft::replication
