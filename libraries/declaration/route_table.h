#ifndef BORAGELOFT_DECLARATION_ROUTE_TABLE_H_
#define BORAGELOFT_DECLARATION_ROUTE_TABLE_H_

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "libraries/declaration/routes.h"

namespace borageloft::declaration {

/** A route with the state of its weighted round robin. */
class RouteEntry {
 public:
  explicit RouteEntry(Route route);

  const Route& route() const { return route_; }

  /**
   * Chooses the service for the next request by smooth weighted round robin, which keeps to the
   * weights even over a few requests.
   * @return Name of the service.
   */
  const std::string& NextService();

 private:
  Route route_;
  std::vector<double> current_weights_;
  double weight_sum_ = 0;
};

/** Finds the route of a request by host and longest path prefix. Not thread-safe. */
class RouteTable {
 public:
  /** @param declaration A valid declaration, see FindFault(). */
  explicit RouteTable(const Declaration& declaration);

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
