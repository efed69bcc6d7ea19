#ifndef BORAGELOFT_MEMBERSHIP_REGION_EXCHANGE_H_
#define BORAGELOFT_MEMBERSHIP_REGION_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "libraries/base/base.h"
#include "libraries/membership/messages.h"
#include "libraries/membership/versioned_records.h"
#include "libraries/membership/view_follower.h"

namespace borageloft::membership {

/** Partners and intervals of the exchange between registries. */
struct RegionExchangeSettings {
  std::string registry;
  std::string region;
  std::vector<std::string> peers;  ///< The other registries of the own region.
  std::map<std::string, std::vector<std::string>> other_regions;  ///< Registries by region.
  base::Duration interval = std::chrono::seconds(1);
  base::Duration request_again_after = std::chrono::milliseconds(250);
  base::Duration silent_after = std::chrono::seconds(3);    ///< Then another partner is asked.
  base::Duration cut_off_after = std::chrono::seconds(10);  ///< Then a region is unreachable.
  base::Duration requester_end = std::chrono::seconds(5);
  base::Duration remember_removed = std::chrono::hours(24 * 7);
};

/** What an exchange tells the registry. */
struct RegionExchangeHooks {
  Send send;
  /// A registry of the own region holds this entry.
  std::function<void(const RecordEntry& entry, base::TimePoint now)> on_peer_entry;
  /// An entry of another region changed; its state includes that the region is cut off.
  std::function<void(const RecordEntry& entry, base::TimePoint now)> on_other_entry;
};

/**
 * Exchanges versioned state between registries: serves the own region's entries to all who ask,
 * follows each registry of the own region, and follows one registry of each other region. Another
 * region that is silent keeps its last view, marked kUnreachable. Not thread-safe.
 */
class RegionExchange {
 public:
  RegionExchange(RegionExchangeSettings settings, RegionExchangeHooks hooks, std::uint64_t life,
                 base::TimePoint now);

  /** Publishes an entry of the own region. */
  void Publish(const RecordEntry& entry, base::TimePoint now);

  /** Answers a request; later changes are pushed to the requester for a while. */
  void Handle(const StateRequest& request, base::TimePoint now);

  /** Takes the changes of another registry. */
  void Handle(const StateDelta& delta, base::TimePoint now);

  /** Sends what is due. */
  void Tick(base::TimePoint now);

  /** @return Whether no registry of @p region has answered for the cut_off_after. */
  bool is_cut_off(const std::string& region) const;

  /** @return Regions that are cut off. */
  std::vector<std::string> cut_off_regions() const;

  /** @return Whether a registry of the own region has answered a request in full. */
  bool has_peer_state() const;

 private:
  struct Source {
    ViewFollower follower;
    base::TimePoint next_request;
    base::TimePoint last_request;
  };
  struct Requester {
    base::TimePoint last_request;
    std::uint64_t sent = 0;
  };
  struct Region {
    std::vector<std::string> partners;
    std::size_t partner = 0;
    std::string followed;           // The partner whose changes were applied last.
    base::TimePoint partner_since;  // Last answer, or when it was chosen.
    base::TimePoint last_answer;
    bool is_cut_off = false;
    std::map<std::string, RecordEntry> entries;      // As told; removed ones stay as fences.
    std::map<std::string, std::uint64_t> contested;  // Unacceptable incarnations of the partner.
  };

  void Request(const std::string& registry, base::TimePoint now);
  void RequestIfDue(const std::string& registry, base::TimePoint now);
  void SendChanges(const std::string& registry, Requester& requester, bool must_answer);
  void Push(base::TimePoint now);
  void CheckRegion(const std::string& name, Region& region, base::TimePoint now);
  void ApplyOther(Region& region, const StateDelta& delta, base::TimePoint now);
  void Sweep(Region& region, const ViewFollower& follower, base::TimePoint now);
  void RequestFromPartner(Region& region, base::TimePoint now);
  void Tell(const Region& region, RecordEntry entry, base::TimePoint now);

  RegionExchangeSettings settings_;
  RegionExchangeHooks hooks_;
  std::uint64_t life_;
  std::uint64_t version_ = 0;
  VersionedRecords records_;
  bool is_changed_ = false;
  std::map<std::string, Requester> requesters_;
  std::map<std::string, Source> sources_;
  std::map<std::string, Region> regions_;
  std::set<std::string> allowed_;  // All registries that may take part.
  base::TimePoint next_prune_;
};

}  // namespace borageloft::membership

#endif  // BORAGELOFT_MEMBERSHIP_REGION_EXCHANGE_H_
