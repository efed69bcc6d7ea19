#ifndef BORAGELOFT_TESTS_PLATFORM_DEPLOYMENT_H_
#define BORAGELOFT_TESTS_PLATFORM_DEPLOYMENT_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libraries/mesh/mesh.h"
#include "tests/storage/faulty_file_system.h"

namespace borageloft::platform {

/** Whether a process starts as part of the first start of the whole deployment. */
enum class StartKind { kFirst, kLater };

/**
 * Control hosts and nodes with their upstreams on a manual clock. Each process runs the start-up
 * code of the product, from the text of its settings on; sockets, disks and clocks are simulated.
 */
class Deployment {
 public:
  /** What a caller would get at a node. */
  struct NodeView {
    declaration::Version version = 0;
    bool has_upstream = false;
    std::size_t instances = 0;
    bool are_keys_fresh = false;
  };

  Deployment(std::uint64_t seed, std::size_t nodes);
  ~Deployment();

  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /** Starts all processes for the first time, in a random order within 0.3 s. */
  void StartAll();
  void StartControl(const std::string& host, StartKind kind);
  void StartNode(const std::string& host);
  void Kill(const std::string& host);
  /** Kills the process and takes the power from its disk; a node's upstream is restarted. */
  void LosePower(const std::string& host);
  void WipeDisk(const std::string& host);
  /** Removes a control host for good. */
  void Remove(const std::string& host);
  /** Asks a control host to stop and removes it once it has, or after the grace time. */
  void StopAndRemove(const std::string& host);
  /** Adds a control host with an empty disk at a new address. @return Its address. */
  std::string AddControl();
  /** Stops a process without its knowledge until it is thawed. */
  void SetFrozen(const std::string& host, bool is_frozen);
  /** Steps the time of day of a host. */
  void StepClock(const std::string& host, std::chrono::milliseconds step);
  /** Makes the disk of a control host refuse a modifying operation that lies ahead. */
  void FailDisk(const std::string& host, std::uint64_t operation);

  /** Lets the upstream of a node leave and be succeeded by another one. */
  void ReplaceUpstream(const std::string& node);

  /** Tells whether packets from one host to another are lost. */
  std::function<bool(const std::string& from, const std::string& to)> is_cut;

  /** Calls @p action after a delay. */
  void Schedule(std::chrono::milliseconds delay, std::function<void()> action);
  void Advance(std::chrono::milliseconds time);
  template <typename Condition>
  bool AdvanceUntil(std::chrono::milliseconds limit, Condition condition) {
    const base::TimePoint end = now_ + limit;
    while (!condition() && now_ < end) {
      Advance(std::chrono::milliseconds(20));
    }
    return condition();
  }

  /**
   * Sends a call to a control host and follows its redirections, as an operator does.
   * @param done Receives the response, or status 0 if none came within a second.
   */
  void Call(const std::string& host, http_stream::RequestMessage message,
            std::function<void(const http_stream::ResponseMessage&)> done, int redirections = 2);

  bool IsRunning(const std::string& host) const;
  NodeView ViewOf(const std::string& node) const;
  std::vector<std::string> control_hosts() const;
  /** @return The control hosts as the operator's list names them, which lags. */
  std::vector<std::string> ListedControlHosts() const;
  const std::vector<std::string>& nodes() const { return nodes_; }
  /** @return The running control host that leads with the highest term, or empty. */
  std::string Leader() const;
  /** @return Whether all control hosts run and vote, and no other member is left. */
  bool HasAllVoters() const;
  const control_member::Member& member(const std::string& host) const {
    return hosts_.at(host).control->member();
  }
  /** @return What a process that ended at its start has reported, by host. */
  const std::map<std::string, std::string>& failed_starts() const { return failed_starts_; }
  base::TimePoint now() const { return now_; }

  base::Random random;

 private:
  struct Upstream {
    std::string instance;
    std::uint64_t born = 0;
    std::uint64_t sequence = 0;
    base::TimePoint next_heartbeat;
    bool is_leaving = false;
  };
  struct Host {
    std::string zone;
    bool is_control = false;
    std::unique_ptr<storage::FaultyFileSystem> disk;
    std::unique_ptr<storage::FileSystem> hooks;
    std::unique_ptr<storage::DataFolder> folder;
    std::unique_ptr<timer::TimerService> timers;
    std::unique_ptr<mesh::ControlService> control;
    std::unique_ptr<mesh::NodePresence> presence;
    Upstream upstream;
    std::optional<directory::Incarnation> departed;  // Whose departure was acknowledged last.
    std::chrono::milliseconds clock_offset{0};
    std::uint64_t incarnation = 0;
    bool is_frozen = false;
    bool is_running() const { return control != nullptr || presence != nullptr; }
  };
  struct Packet {
    std::string from;
    std::string to;
    wire::Channel channel;
    std::string payload;
    std::uint64_t incarnation = 0;
  };

  std::string SettingsOf(const std::string& host, StartKind kind) const;
  void Send(const std::string& from, const std::string& to, wire::Channel channel,
            std::string payload);
  void Deliver(const Packet& packet);
  void Log(const char* action);
  void EndProcess(Host& host);
  void StartUpstream(Host& host);
  void RunUpstreams();
  void CheckRecord(const std::string& node, const directory::InstanceRecord& record) const;
  std::uint64_t WallClockOf(const Host& host) const;

  base::TimePoint now_{std::chrono::seconds(1000)};
  std::map<std::string, Host> hosts_;
  std::vector<std::string> nodes_;
  std::vector<std::string> first_seeds_;
  std::deque<std::pair<base::TimePoint, std::vector<std::string>>> listed_;
  std::multimap<base::TimePoint, std::function<void()>> scheduled_;
  std::map<std::string, std::string> failed_starts_;
  std::uint64_t last_incarnation_ = 0;
  std::size_t last_control_ = 0;
  std::string running_;  // Host whose code runs, for the log.
};

}  // namespace borageloft::platform

#endif  // BORAGELOFT_TESTS_PLATFORM_DEPLOYMENT_H_
