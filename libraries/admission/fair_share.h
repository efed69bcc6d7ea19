#ifndef BORAGELOFT_ADMISSION_FAIR_SHARE_H_
#define BORAGELOFT_ADMISSION_FAIR_SHARE_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "libraries/base/base.h"

namespace borageloft::admission {

/**
 * Orders the root requests of client accounts for shedding, so that an account which asks for much
 * does not crowd out those that ask for little.
 *
 * The load that this answers: in overload a part of each class is shed, by the position of its
 * roots. If positions are drawn alike for all roots, each account loses the same share, and one
 * that sends many times its usual takes the room of all others. Here a root of an account with
 * demand d and a uniform draw u stands at the value v = u * d, and its position is the share of all
 * demand that stands below v: sum of min(d_a, v) over all accounts a, divided by the sum of d_a.
 * Positions are still uniform over all roots, and admitting those below a share gives each account
 * all that it asks for, or as much as any other (max-min fairness).
 *
 * Not thread-safe.
 */
class FairShare {
 public:
  /** Records a request of an account at this node. */
  void RecordArrival(const std::string& account, base::TimePoint now);

  /** Records the demand for an account over all nodes, in requests per second. It replaces what
   * this node has seen for some seconds. */
  void ReportDemand(const std::string& account, double demand, base::TimePoint now);

  /**
   * @param account Account of a root request.
   * @param root_hash Uniformly distributed hash of the root.
   * @return Uniformly distributed key of the root; ShedKey is made of it.
   */
  std::uint64_t KeyOf(const std::string& account, std::uint64_t root_hash, base::TimePoint now);

  /** @return Number of accounts with known demand. */
  std::size_t size() const { return accounts_.size(); }

 private:
  struct Account {
    double local = 0;  // Requests per second at this node, smoothed.
    base::TimePoint local_at{};
    double reported = 0;  // Over all nodes.
    base::TimePoint reported_at{};
  };

  double DemandOf(const Account& account, double scale, base::TimePoint now) const;
  void Refresh(base::TimePoint now);
  double ShareBelow(double value) const;

  std::unordered_map<std::string, Account> accounts_;
  std::unordered_map<std::string, double> demands_;  // As of the last refresh.
  std::vector<double> sorted_;                       // The demands, in ascending order.
  std::vector<double> sums_;                         // Sums of the smallest demands.
  base::TimePoint refreshed_at_{};
};

}  // namespace borageloft::admission

#endif  // BORAGELOFT_ADMISSION_FAIR_SHARE_H_
