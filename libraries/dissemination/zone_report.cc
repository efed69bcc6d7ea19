#include "libraries/dissemination/zone_report.h"

#include <algorithm>

#include "libraries/base/base.h"

namespace borageloft::dissemination {

void NodeSet::Add(const std::string& node) { Add(NodeSet{1, base::Hash(node)}); }

void NodeSet::Add(const NodeSet& other) {
  count += other.count;
  hash_sum += other.hash_sum;
}

void ZoneReport::Add(const std::string& node, std::uint64_t number) {
  Bucket bucket{number, {}};
  bucket.nodes.Add(node);
  Add(bucket);
}

void ZoneReport::Add(const ZoneReport& other) {
  for (const Bucket& bucket : other.buckets_) {
    Add(bucket);
  }
}

NodeSet ZoneReport::NodesAt(std::uint64_t number) const {
  NodeSet nodes;
  for (const Bucket& bucket : buckets_) {
    if (bucket.number >= number) {
      nodes.Add(bucket.nodes);
    }
  }
  return nodes;
}

void ZoneReport::Add(const Bucket& bucket) {
  const auto position = std::lower_bound(
      buckets_.begin(), buckets_.end(), bucket.number,
      [](const Bucket& held, std::uint64_t number) { return held.number < number; });
  if (position != buckets_.end() && position->number == bucket.number) {
    position->nodes.Add(bucket.nodes);
    return;
  }
  buckets_.insert(position, bucket);
  if (buckets_.size() > kMaximumBuckets) {
    buckets_[0].nodes.Add(buckets_[1].nodes);
    buckets_.erase(buckets_.begin() + 1);
  }
}

}  // namespace borageloft::dissemination
