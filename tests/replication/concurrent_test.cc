#include <fmt/format.h>
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <future>
#include <mutex>
#include <thread>

#include "tests/replication/memory_storage.h"

namespace borageloft::replication {
namespace {

using consensus::ReplicaId;
using std::chrono::milliseconds;

/** Queue of messages to one host, delivered by a separate thread. */
class Mailbox {
 public:
  void Put(std::string bytes) {
    const std::scoped_lock lock(mutex_);
    messages_.push_back(std::move(bytes));
    changed_.notify_one();
  }

  void Close() {
    const std::scoped_lock lock(mutex_);
    is_closed_ = true;
    changed_.notify_one();
  }

  void DeliverTo(ReplicaHost& host) {
    std::unique_lock lock(mutex_);
    while (true) {
      changed_.wait(lock, [&] { return is_closed_ || !messages_.empty(); });
      if (is_closed_) {
        return;
      }
      const std::string bytes = std::move(messages_.front());
      messages_.pop_front();
      lock.unlock();
      host.Receive(bytes);
      lock.lock();
    }
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<std::string> messages_;
  bool is_closed_ = false;
};

struct Node {
  MemoryStorage storage;
  Mailbox mailbox;
  std::vector<std::string> commands;  // Accessed only by the persist loop.
  std::unique_ptr<ReplicaHost> host;
  std::thread receiver;
};

// Guards against data races, and against lost or duplicate proposals with concurrent proposals and
// reads.
TEST(ReplicaHostConcurrentTest, ThreadsProposeAndReadAtOnce) {
  constexpr int kThreads = 4;
  constexpr int kProposals = 100;
  base::ReplaceLogSink([](std::string_view) {});
  timer::TimerService timers(base::SystemClock());
  std::array<Node, 3> nodes;
  for (ReplicaId id = 1; id <= 3; ++id) {
    Node& node = nodes[id - 1];
    ReplicaHost::Dependencies dependencies;
    dependencies.clock = base::SystemClock();
    dependencies.random = base::SeededRandom(id);
    dependencies.timers = &timers;
    dependencies.storage = node.storage.Hooks();
    dependencies.state_machine = {[&node](consensus::Index, const std::string& command) {
                                    node.commands.push_back(command);
                                    return command;
                                  },
                                  [] { return std::string("unused"); }, [](const std::string&) {}};
    dependencies.send = [&nodes](ReplicaId to, std::string bytes) {
      nodes[to - 1].mailbox.Put(std::move(bytes));
    };
    ReplicaHostOptions options;
    options.proposal_timeout = std::chrono::seconds(60);
    options.snapshot_interval = 1'000'000;
    node.host = std::make_unique<ReplicaHost>(options, std::move(dependencies));
    node.host->Start({StartMode::kBootstrap, id, consensus::Membership::OfVoters({"a", "b", "c"})});
  }
  for (Node& node : nodes) {
    node.receiver = std::thread([&node] { node.mailbox.DeliverTo(*node.host); });
  }
  std::atomic<bool> is_over = false;
  std::thread ticker([&] {
    while (!is_over) {
      timers.RunDue();
      std::this_thread::sleep_for(milliseconds(2));
    }
  });
  std::atomic<int> committed = 0;
  std::atomic<int> reads = 0;
  std::vector<std::thread> callers;
  for (int thread = 0; thread < kThreads; ++thread) {
    callers.emplace_back([&, thread] {
      for (int i = 0; i < kProposals; ++i) {
        // A proposal that failed with kNotLeader is safe to retry; the limit ends the test if there
        // is no leader.
        for (int attempt = 0; attempt < 20'000; ++attempt) {
          Node& node = nodes[static_cast<std::size_t>(attempt) % nodes.size()];
          std::promise<ProposalOutcomeKind> done;
          node.host->Propose(fmt::format("{}-{}", thread, i),
                             [&](const ProposalOutcome& outcome) { done.set_value(outcome.kind); });
          const ProposalOutcomeKind kind = done.get_future().get();
          if (kind == ProposalOutcomeKind::kCommitted) {
            ++committed;
            std::promise<void> read;
            node.host->Read([&](const ReadOutcome& outcome) {
              reads += outcome.kind == ReadOutcomeKind::kReady && !node.commands.empty() ? 1 : 0;
              read.set_value();
            });
            read.get_future().wait();
            break;
          }
          ASSERT_EQ(kind, ProposalOutcomeKind::kNotLeader);
          std::this_thread::sleep_for(milliseconds(1));
        }
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  is_over = true;
  ticker.join();
  for (Node& node : nodes) {
    node.mailbox.Close();
  }
  for (Node& node : nodes) {
    node.receiver.join();
  }
  EXPECT_EQ(committed, kThreads * kProposals);
  EXPECT_GT(reads, 0);
  std::size_t longest = 0;
  for (const Node& node : nodes) {
    longest = std::max(longest, node.commands.size());
    for (std::size_t i = 0; i < std::min(node.commands.size(), nodes[0].commands.size()); ++i) {
      ASSERT_EQ(node.commands[i], nodes[0].commands[i]);
    }
  }
  EXPECT_EQ(longest, static_cast<std::size_t>(kThreads * kProposals));
  for (Node& node : nodes) {
    node.host.reset();
  }
  base::ReplaceLogSink({});
}

}  // namespace
}  // namespace borageloft::replication
