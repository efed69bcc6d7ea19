#ifndef BORAGELOFT_TESTS_NODE_CLUSTER_H_
#define BORAGELOFT_TESTS_NODE_CLUSTER_H_

#include <atomic>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "libraries/node/control_group.h"
#include "libraries/node/group_client.h"
#include "libraries/node/ledger_control.h"
#include "libraries/node/ledger_table.h"

namespace borageloft::node {

/** Removed with all its files at the end of a test. */
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string name = (std::filesystem::temp_directory_path() / "borageloft-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) {
      throw std::runtime_error("mkdtemp failed");
    }
    path_ = name;
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path_); }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  std::filesystem::path path() const { return path_; }

 private:
  std::filesystem::path path_;
};

/** Delivers messages between hosts of one process, in order; cut off hosts get and send none. */
class MemoryNetwork {
 public:
  using Receive = std::function<void(const std::string& from, const std::string& payload)>;

  ~MemoryNetwork() { worker_.Stop(); }

  void Attach(const std::string& host, Receive receive) {
    const std::scoped_lock lock(mutex_);
    receivers_[host] = std::make_shared<Receive>(std::move(receive));
  }

  /** Returns once no message of the host is being delivered. */
  void Detach(const std::string& host) {
    {
      const std::scoped_lock lock(mutex_);
      receivers_.erase(host);
    }
    std::promise<void> passed;
    worker_.Post([&] { passed.set_value(); });
    passed.get_future().wait();
  }

  void CutOff(const std::set<std::string>& hosts) {
    const std::scoped_lock lock(mutex_);
    cut_off_ = hosts;
  }

  void Send(const std::string& from, const std::string& to, const std::string& payload) {
    worker_.Post([this, from, to, payload] {
      std::shared_ptr<Receive> receive;
      {
        const std::scoped_lock lock(mutex_);
        const auto found = receivers_.find(to);
        if (found == receivers_.end() || !receivers_.contains(from) ||
            cut_off_.contains(from) != cut_off_.contains(to)) {
          return;
        }
        receive = found->second;
      }
      (*receive)(from, payload);
    });
  }

  /** Runs a task of a host in the order of its messages; dropped once the host is detached. */
  void Post(const std::string& host, std::function<void()> task) {
    worker_.Post([this, host, task = std::move(task)] {
      {
        const std::scoped_lock lock(mutex_);
        if (!receivers_.contains(host)) {
          return;
        }
      }
      task();
    });
  }

 private:
  std::mutex mutex_;
  std::map<std::string, std::shared_ptr<Receive>> receivers_;
  std::set<std::string> cut_off_;
  base::WorkerPool worker_{1};
};

/** What the parts of one node need around them, in memory. */
class TestHost {
 public:
  TestHost(MemoryNetwork& network, std::string name, const std::vector<std::string>& control_hosts)
      : network_(network), settings_(MakeSettings(std::move(name), control_hosts)) {
    channel_.SetCarrier(
        [this](const transport::PeerAddress& to, wire::Channel, std::string payload) {
          network_.Send(settings_.node, to.node, payload);
        });
    // Answers go to nodes that are no control hosts as well.
    for (const char* node : {"n0", "n1", "n2", "n3"}) {
      channel_.Learn(node, {});
    }
  }
  ~TestHost() { Stop(); }
  TestHost(const TestHost&) = delete;
  TestHost& operator=(const TestHost&) = delete;

  /**
   * Lets messages arrive and calls @p tick every 5 ms until the host stops. The receivers must be
   * set before, as in a node.
   */
  void RunTicks(std::function<void()> tick) {
    network_.Attach(settings_.node, [this](const std::string& from, const std::string& payload) {
      channel_.Receive(from, wire::Channel::kReplication, payload);
    });
    ticker_ = std::jthread([this, tick = std::move(tick)](const std::stop_token& stop) {
      while (!stop.stop_requested()) {
        tick();
        timers_.RunDue();
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
      }
    });
  }

  /** Ends ticks and messages; the parts may be destroyed then. */
  void Stop() {
    ticker_ = {};
    network_.Detach(settings_.node);
  }

  const NodeServices& services() const { return services_; }
  GroupHub& hub() { return hub_; }
  PolicyTable& policies() { return policies_; }

 private:
  static settings::NodeSettings MakeSettings(std::string name,
                                             const std::vector<std::string>& control_hosts) {
    settings::NodeSettings settings;
    settings.node = std::move(name);
    settings.region = "r";
    for (const std::string& host : control_hosts) {
      settings.control_peers.push_back({host, "r", {}});
    }
    return settings;
  }

  static base::Random ThreadSafeRandom() {
    static std::atomic<std::uint64_t> next = 0;
    return [] { return base::Hash("random", ++next); };
  }

  MemoryNetwork& network_;
  const settings::NodeSettings settings_;
  timer::TimerService timers_{base::SystemClock()};
  PolicyTable policies_;
  metrics::NodeMetrics metrics_;
  tracing::SpanExporter spans_{settings_.node, [](std::string_view) {}, 16};
  const NodeServices services_{settings_,
                               base::SystemClock(),
                               base::SystemWallClock(),
                               ThreadSafeRandom(),
                               policies_,
                               metrics_,
                               spans_,
                               timers_};
  ControlChannel channel_{
      settings_.node, settings_.control_peers,
      [this](std::function<void()> task) { network_.Post(settings_.node, std::move(task)); }};
  GroupHub hub_{channel_};
  std::jthread ticker_;
};

/** Waits for a condition, for 20 s at most so that a loaded machine does not decide a verdict. */
inline bool Eventually(const std::function<bool()>& is_met) {
  for (int round = 0; round < 4000; ++round) {
    if (is_met()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return false;
}

}  // namespace borageloft::node

#endif  // BORAGELOFT_TESTS_NODE_CLUSTER_H_
