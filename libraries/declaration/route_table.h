#ifndef BORAGELOFT_DECLARATION_ROUTE_TABLE_H_
#define BORAGELOFT_DECLARATION_ROUTE_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "libraries/declaration/routes.h"

namespace borageloft::declaration {

/** A route with the state of its weighted round robin. */
class RouteEntry {
 public:
  /** @param random Chooses the position in the round robin at which this node begins. */
  RouteEntry(Route route, const base::Random& random);

  const Route& route() const { return route_; }

  /**
   * Chooses the service for the next request by smooth weighted round robin, which keeps to the
   * weights even over a few requests. Each node begins at another position of the sequence, so that
   * many nodes with one request each keep to the weights together.
   * @return Name of the service.
   */
  const std::string& NextService();

 private:
  const std::string& Advance();

  // Positions at which a node may begin. The sequence repeats after the sum of the weights, in
  // units of their greatest common divisor, which is at most 100 for percentages.
  static constexpr std::uint64_t kStartPositions = 400;

  Route route_;
  std::uint64_t steps_to_start_;
  std::vector<double> current_weights_;
  double weight_sum_ = 0;
};

/**
 * Ranks requests by the priority of their client account and, among equals, of their route. Ranks
 * are dense: 0, 1, 2 and so on, the most important first.
 */
class PriorityRanks {
 public:
  explicit PriorityRanks(const Declaration& declaration);

  /** @param account Priority of the account; nothing if it states none, or there is no account. */
  std::uint32_t RankOf(std::optional<std::uint32_t> account, std::uint32_t route) const;

 private:
  using Priorities = std::pair<std::uint32_t, std::uint32_t>;  // Of the account, of the route.

  std::vector<Priorities> ordered_;
};

/** Finds the route of a request by host and longest path prefix. Not thread-safe. */
class RouteTable {
 public:
  /**
   * @param declaration A valid declaration, see FindFault().
   * @param random Chooses the positions at which the splits begin.
   */
  RouteTable(const Declaration& declaration, const base::Random& random);

  /**
   * @param host Host of the request; case and port are ignored.
   * @param target Request target: a path with an optional query, which is ignored.
   * @return The matching route, or null if there is none.
   */
  RouteEntry* Find(std::string_view host, std::string_view target);

  /** @return Number of routes. */
  std::size_t size() const { return size_; }

 private:
  std::unordered_map<std::string, std::map<std::string, RouteEntry, std::less<>>> hosts_;
  std::size_t size_ = 0;
};

}  // namespace borageloft::declaration

#endif  // BORAGELOFT_DECLARATION_ROUTE_TABLE_H_
