#ifndef BORAGELOFT_MEMBERSHIP_LEASE_CLIENT_H_
#define BORAGELOFT_MEMBERSHIP_LEASE_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libraries/base/base.h"
#include "libraries/membership/messages.h"
#include "libraries/membership/service_directory.h"

namespace borageloft::membership {

/** Identity and intervals of a lease client. */
struct LeaseClientSettings {
  std::string node;
  std::string region;
  std::string zone;
  std::string address;
  std::vector<std::string> registries;  ///< Control hosts of the node's region.
  base::Duration interval = std::chrono::seconds(1);
  double jitter = 0.1;  ///< Share of the interval by which a lease may be early or late.
  /// A change of state is sent at once and twice again, so that one lost packet delays nothing.
  base::Duration repeat_after = std::chrono::milliseconds(250);
  int repeats = 2;
  /// Two and a half anti-entropy rounds: one lost round causes no change of registry.
  base::Duration silent_after = std::chrono::milliseconds(2500);
  base::Duration renew_subscriptions = std::chrono::seconds(10);
  base::Duration request_again_after = std::chrono::milliseconds(300);
  base::Duration unused_after = std::chrono::minutes(10);
  base::Duration return_after = std::chrono::seconds(30);  ///< Check for the preferred registry.
  base::Duration remember_removed = std::chrono::hours(1);
};

/** What varies around a lease client. */
struct LeaseClientHooks {
  Send send;
  base::Random random;
  /// Returns a new incarnation above the given one; 0 when there is none to be had.
  std::function<std::uint64_t(std::uint64_t above)> next_incarnation;
  /// Called after the view of a service changed. May be empty.
  std::function<void(const std::string& service)> on_view_changed;
};

/**
 * Runs on every node: holds the node's lease at all control hosts of its region and the directory
 * of the services that the node calls. It subscribes at one control host, the first of a stable
 * order of its own, and moves on when that one is silent. Without any, the last known view stays
 * in use and view_age() grows. Not thread-safe.
 */
class LeaseClient {
 public:
  LeaseClient(LeaseClientSettings settings, LeaseClientHooks hooks, base::TimePoint now);

  /** Sends what is due. To be called at least every 100 ms. */
  void Tick(base::TimePoint now);

  /** Handles a message from a control host; other types are ignored. */
  void Receive(const Message& message, base::TimePoint now);

  /** Sets what is known of the local upstream and sends it at once when it changed. */
  void SetUpstream(const std::optional<UpstreamData>& upstream, base::TimePoint now);

  /** Tells the control hosts that this process leaves (kLeaving) or ends (kStopped). */
  void SetNodeState(NodeState state, base::TimePoint now);

  /**
   * Marks a service as used and subscribes to it if needed.
   * @return False when the bound of kMaximumServices is reached.
   */
  bool Use(const std::string& service, base::TimePoint now);

  const ServiceDirectory& directory() const { return directory_; }
  std::uint64_t incarnation() const { return record_.stamp.incarnation; }
  const NodeRecord& record() const { return record_; }

  /** @return Time since a control host was last heard: the age of the view in use. */
  base::Duration view_age(base::TimePoint now) const { return now - last_heard_; }

  /** @return Whether no control host has answered for the silent_after of the settings. */
  bool is_view_stale(base::TimePoint now) const { return view_age(now) > settings_.silent_after; }

  /** @return Whether a control host that serves views answers this node's leases. */
  bool is_served(base::TimePoint now) const;

  /** @return The control host that the subscriptions are held at. */
  const std::string& source() const { return ranked_.at(source_); }

 private:
  struct Usage {
    base::TimePoint last_used;
    base::TimePoint last_request;
  };
  struct Answered {
    base::TimePoint when;
    bool is_settled = false;
  };

  void Handle(const LeaseAnswer& answer, base::TimePoint now);
  void Handle(const ServiceVersions& versions, base::TimePoint now);
  void Handle(const ServiceDelta& delta, base::TimePoint now);

  void TakeIncarnation(std::uint64_t above, base::TimePoint now);
  void SendChange(base::TimePoint now);
  void SendLease(base::TimePoint now);
  void RequestViews(const std::vector<std::string>& services, base::TimePoint now);
  void RequestMissingViews(base::TimePoint now);
  void EndUnused(base::TimePoint now);
  void CheckSource(base::TimePoint now);
  void MoveTo(std::size_t source, base::TimePoint now);
  base::Duration DrawReturnDelay() const;
  bool HasAnswered(std::size_t rank, base::TimePoint now) const;

  LeaseClientSettings settings_;
  LeaseClientHooks hooks_;
  NodeRecord record_;
  std::uint64_t sequence_ = 0;
  base::TimePoint next_lease_;
  base::TimePoint next_repeat_;
  int repeats_left_ = 0;
  std::vector<std::string> ranked_;  // Registries in this node's order of preference.
  std::size_t source_ = 0;
  std::uint64_t source_life_ = 0;
  base::TimePoint last_source_heard_;
  base::TimePoint last_heard_;
  base::TimePoint next_renewal_;
  base::TimePoint next_return_;
  base::TimePoint next_prune_;
  std::map<std::string, Answered> answered_;
  std::map<std::string, Usage> usage_;
  ServiceDirectory directory_;
};

}  // namespace borageloft::membership

#endif  // BORAGELOFT_MEMBERSHIP_LEASE_CLIENT_H_
