#ifndef BORAGELOFT_MEMBERSHIP_REGISTRY_H_
#define BORAGELOFT_MEMBERSHIP_REGISTRY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libraries/base/base.h"
#include "libraries/membership/lease_table.h"
#include "libraries/membership/messages.h"
#include "libraries/membership/region_exchange.h"
#include "libraries/membership/service_views.h"

namespace borageloft::membership {

/** Identity, partners and intervals of a registry. */
struct RegistrySettings {
  std::string id;
  std::string region;
  std::vector<std::string> peers;  ///< The other registries of the region.
  std::map<std::string, std::vector<std::string>> other_regions;  ///< Registries by region.
  base::Duration suspect_after = std::chrono::seconds(3);         ///< Three missed leases.
  base::Duration ask_interval = std::chrono::seconds(1);
  base::Duration confirm_timeout = std::chrono::seconds(3);
  /// A suspect is removed without the answer of another registry only after this time.
  base::Duration unconfirmed_after = std::chrono::seconds(12);
  base::Duration check_interval = std::chrono::milliseconds(250);
  double zone_loss_share = 0.5;  ///< From this share on, a zone's lost entries are kept.
  std::size_t zone_loss_minimum = 3;
  base::Duration zone_loss_window = std::chrono::seconds(30);
  double isolation_share = 0.25;  ///< Below this share of heard nodes it is itself cut off.
  std::size_t isolation_minimum = 4;
  /// An empty registry serves no view before each node had time for several leases.
  base::Duration warm_up = std::chrono::seconds(5);
  base::Duration keep_unreachable = std::chrono::hours(24);
  base::Duration remember_removed = std::chrono::hours(24 * 7);
  std::size_t maximum_nodes = 65'536;
  int answer_every = 4;  ///< Share of leases that are answered.
  ServiceViewsSettings views;
};

/** Counts since the start, for metrics. */
struct RegistryCounts {
  std::uint64_t leases = 0;
  std::uint64_t fenced = 0;
  std::uint64_t contradictory = 0;
  std::uint64_t removed = 0;
  std::uint64_t kept_unreachable = 0;
  std::uint64_t isolations = 0;
};

/**
 * Runs on every control host: the lease table of the region, the judgement of silent nodes, the
 * views of services for subscribers, and the exchange with other registries. Not thread-safe.
 */
class Registry {
 public:
  /** @param life Incarnation of this control host. @param send Transport hook. */
  Registry(RegistrySettings settings, Send send, std::uint64_t life, base::TimePoint now);

  Registry(const Registry&) = delete;
  Registry& operator=(const Registry&) = delete;

  /** Handles a message from a node or another registry. */
  void Receive(const Message& message, base::TimePoint now);

  /** Does what is due. To be called at least every 100 ms. */
  void Tick(base::TimePoint now);

  /** @return State of a node of this region; nothing when it is unknown. */
  std::optional<EntryState> StateOf(const std::string& node) const;

  /** @return The upstreams of a service in all regions, as told to subscribers. */
  std::vector<RecordEntry> Upstreams(const std::string& service) const {
    return views_.Upstreams(service);
  }

  /** @return Whether views are served: the warm-up is over and the registry is not cut off. */
  bool is_settled(base::TimePoint now) const;

  /** @return Whether the registry concluded that it is itself cut off. */
  bool is_isolated() const { return is_isolated_; }

  /** @return Other regions that do not answer. */
  std::vector<std::string> cut_off_regions() const { return exchange_.cut_off_regions(); }

  const RegistryCounts& counts() const { return counts_; }
  const std::map<std::string, LeaseEntry>& entries() const { return table_.entries(); }

 private:
  void Handle(const Lease& lease, base::TimePoint now);
  void Handle(const ConfirmRequest& request, base::TimePoint now);
  void Handle(const ConfirmAnswer& answer, base::TimePoint now);
  void Handle(const FenceNotice& notice, base::TimePoint now);

  void Answer(const Lease& lease, std::uint64_t fenced, base::TimePoint now);
  void LearnFromPeer(const RecordEntry& told, base::TimePoint now);
  void TakeFence(const Fence& fence, base::TimePoint now);
  void Publish(const LeaseEntry& entry, base::TimePoint now);
  void Judge(base::TimePoint now);
  void JudgeIsolation(base::TimePoint now);
  void AskAbout(const std::vector<NodeIncarnation>& suspects);
  bool IsLost(const LeaseEntry& entry, base::TimePoint now) const;
  bool IsZoneLost(const std::string& zone, base::TimePoint now) const;
  void SettleLost(const std::vector<std::string>& lost, base::TimePoint now);
  void Remove(LeaseEntry& entry, base::TimePoint now);
  bool IsHeardDirectly(const LeaseEntry& entry, base::TimePoint now) const;

  RegistrySettings settings_;
  Send send_;
  std::uint64_t life_;
  base::TimePoint start_;
  LeaseTable table_;
  ServiceViews views_;
  RegionExchange exchange_;
  RegistryCounts counts_;
  bool is_isolated_ = false;
  base::TimePoint next_check_;
  base::TimePoint next_prune_;
};

}  // namespace borageloft::membership

#endif  // BORAGELOFT_MEMBERSHIP_REGISTRY_H_
