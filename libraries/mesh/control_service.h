#ifndef BORAGELOFT_MESH_CONTROL_SERVICE_H_
#define BORAGELOFT_MESH_CONTROL_SERVICE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libraries/control_member/control_member.h"
#include "libraries/mesh/dialect.h"
#include "libraries/mesh/freshness_keeper.h"
#include "libraries/mesh/mesh_settings.h"
#include "libraries/wire/wire.h"

namespace borageloft::mesh {

/** Hooks of a ControlService. */
struct ControlServiceHooks {
  base::Clock clock;
  base::Random random;
  /** Clock that also counts the time for which the machine was suspended. */
  base::Clock suspension_aware_clock;
  /** Sends a payload to the process at a node's address; it may be lost. */
  std::function<void(const std::string& node, wire::Channel channel, std::string payload)> send;
};

/** Sends the response to a call. Called exactly once. */
using CallResponder = std::function<void(http_stream::ResponseMessage response)>;

/**
 * What a control host does, without its sockets: it takes part in the replicated group that stores
 * the declaration, keeps the directory of the nodes, and answers nodes, other control hosts and
 * operators. Not thread-safe.
 */
class ControlService {
 public:
  /**
   * @param folder Data folder for the exclusive use of this host; must outlive it.
   * @param timers Timers that drive the service; must outlive it.
   */
  ControlService(const MeshSettings& settings, Dialect dialect, ControlServiceHooks hooks,
                 const storage::DataFolder& folder, timer::TimerService& timers);
  ~ControlService();

  ControlService(const ControlService&) = delete;
  ControlService& operator=(const ControlService&) = delete;

  /**
   * Restarts from the stored state, or forms or joins the group.
   * @throws control_member::ControlMemberError if the stored state cannot be loaded.
   */
  void Start();

  /** Handles a payload of the process at a node's address; malformed ones are logged. */
  void HandleControl(const std::string& from, wire::Channel channel, const std::string& payload);

  /** Handles a call of an operator or of the platform. */
  void HandleCall(const http_stream::RequestMessage& message, const CallResponder& respond);

  /** Applies the seeds of reloaded settings; other changes need a restart. */
  void HandleSettings(const MeshSettings& settings);

  /** Transfers leadership and stops taking part; @p done is called once stopped. */
  void Shutdown(std::function<void()> done);

  const control_member::Member& member() const { return member_; }
  const directory::ControlDirectory& directory() const { return directory_; }

 private:
  void HandleSync(const std::string& from, const directory::SyncRequest& request);
  void HandleQuotaRequest(const std::string& from, const directory::QuotaRequest& request);
  void BeginQuotaTerm();
  void UpdateQuotas(base::TimePoint now);
  void HandleDeparture(const directory::DepartureRequest& request);
  FreshnessHooks MakeFreshnessHooks();
  bool IsLeader() const;
  std::optional<std::uint32_t> AgeInMilliseconds();
  void SendDepartures(const std::string& node, std::uint64_t epoch);
  void HandleReplace(const ReplaceCall& call, const std::string& target,
                     const CallResponder& respond);
  void HandleRead(const std::string& target, const CallResponder& respond);
  void Redirect(const std::string& target, const CallResponder& respond) const;
  http_stream::ResponseMessage MakeResponse(unsigned status, std::string body) const;
  declaration::DeclarationChanges ChangesOf(const declaration::Declaration& next) const;
  std::set<std::string> OtherControlHosts() const;
  void SendToControlHosts(const directory::Message& message);
  void PublishChanges(base::TimePoint now);
  void ExchangeRecords();

  const std::string node_;
  const std::string zone_;
  const std::uint16_t call_port_;  // All control hosts serve calls on the same port.
  const Dialect dialect_;
  ControlServiceHooks hooks_;
  timer::TimerService& timers_;
  directory::ControlDirectory directory_;
  FreshnessKeeper freshness_;
  quota::QuotaOwner quotas_;
  consensus::Term quota_term_ = 0;          // Term in which this host owns the quotas.
  declaration::Version quota_version_ = 0;  // Declaration that the quotas are of.
  // Departures that are proposed and not yet committed; nodes repeat their requests meanwhile.
  std::vector<directory::Departure> proposed_departures_;
  std::vector<timer::SubscriptionId> subscriptions_;
  // Destroyed first: it then completes what is pending, and the callbacks use the parts above.
  control_member::Member member_;
};

}  // namespace borageloft::mesh

#endif  // BORAGELOFT_MESH_CONTROL_SERVICE_H_
