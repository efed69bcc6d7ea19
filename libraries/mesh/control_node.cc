#include "libraries/mesh/control_node.h"

#include <random>
#include <utility>

#include "libraries/mesh/metrics_text.h"
#include "libraries/mesh/peer_address.h"

namespace borageloft::mesh {

namespace {

constexpr unsigned kOk = 200;
constexpr std::chrono::milliseconds kCheckInterval{100};
constexpr std::chrono::milliseconds kMaximumStopTime{1500};
constexpr std::size_t kMaximumDeclarationBytes = std::size_t{4} << 20U;

std::uint64_t RandomSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

}  // namespace

ControlNode::ControlNode(NodeLoop& loop, Dialect dialect)
    : loop_(loop),
      file_system_(storage::PosixFileSystem()),
      data_folder_(file_system_, loop.settings().data_folder) {
  const MeshSettings& settings = loop_.settings();
  transport::TransportHooks hooks;
  hooks.handle_request = [](const std::string&, transport::InboundRequestId, const wire::Request&,
                            const transport::Responder& respond) {
    wire::Response response;
    response.outcome = wire::Outcome::kNotRun;
    response.reason = std::string(request_path::TextOf(request_path::Refusal::kInstanceGone));
    respond(std::move(response));
  };
  hooks.handle_cancel = [](transport::InboundRequestId) {};
  hooks.handle_control = [this](const std::string& from, wire::Channel channel,
                                const std::string& payload) {
    service_->HandleControl(from, channel, payload);
  };
  transport::TransportOptions peer_options = PeerOptions(settings);
  peer_options.crosses_zones = [](const std::string&) { return true; };
  peers_ = std::make_unique<transport::PeerTransport>(loop_.context(), std::move(peer_options),
                                                      std::move(hooks));
  ControlServiceHooks service_hooks;
  service_hooks.clock = clock_;
  service_hooks.suspension_aware_clock = base::SuspensionAwareClock();
  service_hooks.random = base::SeededRandom(RandomSeed());
  service_hooks.send = [this](const std::string& node, wire::Channel channel, std::string payload) {
    peers_->SendControl(PeerAddressOf(node), channel, std::move(payload));
  };
  service_ = std::make_unique<ControlService>(
      settings, std::move(dialect), std::move(service_hooks), data_folder_, loop_.timers());
  peers_->Listen(settings.peers);
  http_stream::ServerLimits limits;
  limits.message.body_bytes = kMaximumDeclarationBytes;
  call_server_ = std::make_unique<http_stream::Server>(
      loop_.context(), limits,
      [this](const http_stream::RequestMessage& message, base::TimePoint,
             const http_stream::Exchange& exchange) {
        service_->HandleCall(message, [exchange](http_stream::ResponseMessage response) {
          exchange.Respond(std::move(response));
        });
      });
  call_server_->Listen(settings.calls);
  if (settings.metrics) {
    metrics_server_ = std::make_unique<http_stream::Server>(
        loop_.context(), limits,
        [this](const http_stream::RequestMessage&, base::TimePoint,
               const http_stream::Exchange& exchange) { RespondMetrics(exchange); });
    metrics_server_->Listen(*settings.metrics);
  }
  service_->Start();
  loop_.timers().SubscribeEvery(kCheckInterval, [this](base::TimePoint) {
    peers_->CheckHeartbeats();
    CheckStopped();
  });
  base::Log(base::LogLevel::kInfo, "control_started",
            {{"node", NodeNameOf(settings)}, {"name", settings.name}, {"zone", settings.zone}});
}

ControlNode::~ControlNode() = default;

void ControlNode::HandleSettings(const MeshSettings& settings) {
  service_->HandleSettings(settings);
}

void ControlNode::BeginDrain() {
  if (is_draining_) {
    return;
  }
  is_draining_ = true;
  draining_since_ = clock_();
  base::Log(base::LogLevel::kInfo, "control_draining");
  call_server_->BeginDrain();
  service_->Shutdown([this] { is_stopped_ = true; });
}

void ControlNode::CheckStopped() {
  if (!is_draining_) {
    return;
  }
  const base::Duration since = clock_() - draining_since_;
  if ((is_stopped_ && call_server_->exchanges_in_progress() == 0) || since >= kMaximumStopTime) {
    base::Log(base::LogLevel::kInfo, "control_stopped");
    loop_.Stop();
  }
}

void ControlNode::RespondMetrics(const http_stream::Exchange& exchange) {
  const control_member::MemberStatus status = service_->member().status();
  MetricsText text;
  text.AddTraffic(peers_->counters().traffic);
  text.Add("borageloft_control_term", "Term of the replica",
           static_cast<std::uint64_t>(status.replica_host.soft_state.term));
  text.Add("borageloft_control_is_leader", "Whether this host leads",
           status.replica_host.soft_state.role == consensus::Role::kLeader ? 1 : 0);
  text.Add("borageloft_control_voters", "Voters of the group",
           status.replica_host.membership.voter_count());
  text.Add("borageloft_control_commit", "Committed index", status.replica_host.commit);
  text.Add("borageloft_control_log_bytes", "Size of the log in memory",
           status.replica_host.log_bytes);
  text.Add("borageloft_control_applied", "Applied index", status.replica_host.applied);
  text.Add("borageloft_control_storage_failures_total", "Failures of the storage",
           status.replica_host.storage_failures);
  text.Add("borageloft_declaration_version", "Declaration applied",
           service_->member().applied().version());
  text.Add("borageloft_instances_known", "Instances in the directory",
           service_->directory().size());
  http_stream::ResponseMessage response;
  response.status = kOk;
  response.body = text.Serialize();
  response.fields.push_back({"Content-Type", "text/plain; version=0.0.4"});
  exchange.Respond(std::move(response));
}

}  // namespace borageloft::mesh
