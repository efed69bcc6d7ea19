#ifndef BORAGELOFT_ROUTING_STABLE_SUBSET_H_
#define BORAGELOFT_ROUTING_STABLE_SUBSET_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/routing/routing_options.h"
#include "libraries/routing/upstream_view.h"

namespace borageloft::routing {

/**
 * Selects the upstreams of a service that this node connects to, by rendezvous hashing of the ids
 * of the node and the upstream, weighted by slots. Adding or removing an upstream replaces at most
 * one upstream of the node's own zone and one of the other zones. Not thread-safe.
 */
class StableSubset {
 public:
  /**
   * @param node Id of this node.
   * @param zone This node's availability zone.
   */
  StableSubset(std::string_view node, std::string zone, const SubsetOptions& options);

  /**
   * @param members All upstreams of the service, with distinct ids, in any order.
   * @return Serving upstreams of the subset: those of the node's own zone first, then those of
   *         other zones, each by descending rank. The pointers point into @p members.
   */
  std::vector<const UpstreamView*> Select(std::span<const UpstreamView> members) const;

 private:
  struct Candidate {
    double score = 0;
    const UpstreamView* view = nullptr;
  };

  double Score(const UpstreamView& view) const;
  static void KeepBest(std::vector<Candidate>& candidates, std::size_t count);

  std::uint64_t seed_;
  std::string zone_;
  SubsetOptions options_;
};

}  // namespace borageloft::routing

#endif  // BORAGELOFT_ROUTING_STABLE_SUBSET_H_
