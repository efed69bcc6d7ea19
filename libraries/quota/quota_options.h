#ifndef BORAGELOFT_QUOTA_QUOTA_OPTIONS_H_
#define BORAGELOFT_QUOTA_QUOTA_OPTIONS_H_

#include <algorithm>

#include "libraries/base/base.h"
#include "libraries/declaration/declaration.h"

namespace borageloft::quota {

/** How exactly a deployment requires quotas to be kept. */
struct QuotaOptions {
  /** Length of the sliding windows in which requests are counted. */
  base::Duration window = std::chrono::seconds(5);
  /** Share of the quota of a window by which it may be exceeded. */
  double overshoot = 0.1;
  /** Requests in a window by which it may be exceeded beside that. */
  double slack = 20;

  /** @return Requests in a window by which the quota of an account may be exceeded. */
  double Tolerance(const declaration::AccountQuota& quota) const {
    return overshoot * (quota.rate * std::chrono::duration<double>(window).count() + quota.burst) +
           slack;
  }

  /**
   * @return Tokens that an account may save up: its burst, at least one, and half of the tolerance.
   *     Requests come unevenly; without this, accounts with a small quota would be refused a part
   * of what they may ask for in a window. The other half covers tokens that are granted ahead and
   *     the nodes' own shares.
   */
  double BucketSize(const declaration::AccountQuota& quota) const {
    constexpr double kBucketShare = 0.5;
    return std::max(1.0, quota.burst) + kBucketShare * Tolerance(quota);
  }
};

/** Time after its grant for which a token may be used. */
inline constexpr std::chrono::milliseconds kTokenLifetime{500};

/**
 * Time without a report after which an owner takes a node to be cut off and stops to refill the
 * node's equal share; from then on the node may spend that share.
 */
inline constexpr std::chrono::milliseconds kReportTimeout{500};

/** Time since the last answer of an owner for which a node may spend its own equal share. */
inline constexpr std::chrono::milliseconds kOwnShareTime{3000};

}  // namespace borageloft::quota

#endif  // BORAGELOFT_QUOTA_QUOTA_OPTIONS_H_
