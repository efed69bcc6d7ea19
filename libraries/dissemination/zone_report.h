#ifndef BORAGELOFT_DISSEMINATION_ZONE_REPORT_H_
#define BORAGELOFT_DISSEMINATION_ZONE_REPORT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace borageloft::dissemination {

/** Largest number of buckets of a report. */
inline constexpr std::size_t kMaximumBuckets = 8;

/** A set of nodes in a form of fixed size: how many they are and the sum of their hashes. */
struct NodeSet {
  std::uint64_t count = 0;
  std::uint64_t hash_sum = 0;  ///< Modulo 2^64. Differs when a node is missing or counted twice.

  /** Adds one node. */
  void Add(const std::string& node);
  /** Adds all nodes of another set. */
  void Add(const NodeSet& other);

  bool operator==(const NodeSet&) const = default;
};

/** Nodes whose number in force is at least the given one. */
struct Bucket {
  std::uint64_t number = 0;
  NodeSet nodes;

  bool operator==(const Bucket&) const = default;
};

/**
 * Numbers in force of the nodes of one zone or subtree, in at most kMaximumBuckets buckets. When
 * there are more numbers, the lowest ones are counted under the lowest, so a report may understate
 * the number of a node but never overstates it. Not thread-safe.
 */
class ZoneReport {
 public:
  ZoneReport() = default;

  /** @param buckets Buckets in rising order of their numbers, at most kMaximumBuckets. */
  explicit ZoneReport(std::vector<Bucket> buckets) : buckets_(std::move(buckets)) {}

  /** Adds one node with its number. */
  void Add(const std::string& node, std::uint64_t number);

  /** Adds another report. */
  void Add(const ZoneReport& other);

  /** @return Lowest number in force; 0 for an empty report. */
  std::uint64_t lowest() const { return buckets_.empty() ? 0 : buckets_.front().number; }

  /** @return The nodes that are reported with @p number or a higher one. */
  NodeSet NodesAt(std::uint64_t number) const;

  /** @return All nodes of the report. */
  NodeSet nodes() const { return NodesAt(0); }

  const std::vector<Bucket>& buckets() const { return buckets_; }

  bool operator==(const ZoneReport&) const = default;

 private:
  void Add(const Bucket& bucket);

  std::vector<Bucket> buckets_;
};

}  // namespace borageloft::dissemination

#endif  // BORAGELOFT_DISSEMINATION_ZONE_REPORT_H_
