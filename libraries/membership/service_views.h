#ifndef BORAGELOFT_MEMBERSHIP_SERVICE_VIEWS_H_
#define BORAGELOFT_MEMBERSHIP_SERVICE_VIEWS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "libraries/base/base.h"
#include "libraries/membership/messages.h"
#include "libraries/membership/versioned_records.h"

namespace borageloft::membership {

/** Intervals and bounds of the views that a registry serves to its subscribers. */
struct ServiceViewsSettings {
  /// Changes within this time travel together, so that a zone that returns causes few messages.
  base::Duration coalesce = std::chrono::milliseconds(50);
  base::Duration anti_entropy = std::chrono::seconds(1);
  /// A changed version is told again after these times, so that a lost delta is asked for early.
  base::Duration first_reminder = std::chrono::milliseconds(250);
  base::Duration second_reminder = std::chrono::milliseconds(500);
  base::Duration subscription_end = std::chrono::seconds(30);  ///< Three missed renewals.
  base::Duration remember_removed = std::chrono::minutes(10);
  std::size_t maximum_subscribers = 16'384;
};

/**
 * The views of services on a registry and their subscribers: pushes changes, reminds of versions
 * and answers requests. Not thread-safe.
 */
class ServiceViews {
 public:
  ServiceViews(ServiceViewsSettings settings, std::string registry, std::uint64_t life, Send send)
      : settings_(settings), registry_(std::move(registry)), life_(life), send_(std::move(send)) {}

  /** Sets what subscribers are to know of a node; kRemoved or no upstream takes it out. */
  void Publish(const RecordEntry& entry, base::TimePoint now);

  /** Begins, renews or ends subscriptions and sends what the subscriber lacks. */
  void Handle(const Subscribe& request, base::TimePoint now);

  /** Sends what is due. @param is_settled Told to the subscribers. */
  void Tick(bool is_settled, base::TimePoint now);

  /** @return The upstreams of a service. */
  std::vector<RecordEntry> Upstreams(const std::string& service) const;

  std::size_t subscriber_count() const { return subscribers_.size(); }

 private:
  struct View {
    VersionedRecords records;
    std::set<std::string> subscribers;
  };
  struct Subscriber {
    base::TimePoint renewed;
    base::TimePoint next_versions;
    std::map<std::string, std::uint64_t> sent;  // Version sent last, by service.
  };
  struct Reminder {
    std::string service;
    bool is_last = false;
  };

  View& ViewOf(const std::string& service);
  void Put(const std::string& service, const RecordEntry& entry, base::TimePoint now);
  void SendChanges(const std::string& node, Subscriber& subscriber, const std::string& service);
  void Flush(base::TimePoint now);
  void SendReminders(bool is_settled, base::TimePoint now);
  void SendVersions(const std::string& node, const Subscriber& subscriber, bool is_settled);
  void EndSubscriptions(base::TimePoint now);
  void Prune(base::TimePoint now);

  ServiceViewsSettings settings_;
  std::string registry_;
  std::uint64_t life_;
  Send send_;
  std::uint64_t version_ = 0;  // Shared by all views, so that versions need no table of their own.
  std::map<std::string, View> views_;
  std::map<std::string, std::string> service_of_;  // By node, as published.
  std::map<std::string, Subscriber> subscribers_;
  std::set<std::string> changed_;
  base::TimePoint next_flush_;
  base::TimePoint next_prune_;
  std::multimap<base::TimePoint, Reminder> reminders_;
};

}  // namespace borageloft::membership

#endif  // BORAGELOFT_MEMBERSHIP_SERVICE_VIEWS_H_
