#include "libraries/quota/quota.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>

namespace borageloft::quota {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kStep{5};

/** Nodes and owners on one manual clock, with messages that take time and may be lost. */
class Fleet {
 public:
  Fleet(std::uint32_t seed, std::size_t nodes,
        const std::vector<declaration::ClientAccount>& accounts)
      : random_(seed), accounts_(accounts) {
    for (std::size_t i = 0; i < nodes; ++i) {
      const std::string name = "n" + std::to_string(i);
      QuotaHooks hooks;
      hooks.clock = [this] { return now_; };
      hooks.random = [this] { return random_(); };
      hooks.send = [this, name](directory::QuotaRequest request) {
        Send(name, [this, request] { Deliver(request); });
      };
      Node& node = nodes_[name];
      node.client = std::make_unique<QuotaClient>(name, 1, QuotaOptions{}, std::move(hooks));
      node.client->set_nodes(nodes);
      node.client->SetAccounts(accounts);
    }
    ElectOwner();
  }

  /** A new leader owns the quotas; messages to the earlier one are lost from now on. */
  void ElectOwner() {
    owner_ = std::make_unique<QuotaOwner>(QuotaOptions{});
    owner_->BeginTerm(now_);
    owner_->SetAccounts(accounts_, now_);
    has_owner_ = true;
  }
  void LoseOwner() { has_owner_ = false; }
  void set_cut(const std::string& node, bool is_cut) { nodes_.at(node).is_cut = is_cut; }

  void Ask(const std::string& node, const std::string& account) {
    ++asked_[account];
    nodes_.at(node).client->Request(account, [this, account](const QuotaVerdict& verdict) {
      if (verdict.outcome == QuotaOutcome::kAdmitted) {
        admitted_[account].push_back(now_);
        ++admitted_count_[account];
      }
      last_ = verdict;
    });
  }

  void Advance(base::Duration time) {
    const base::TimePoint end = now_ + time;
    while (now_ < end) {
      now_ += kStep;
      while (!messages_.empty() && messages_.begin()->first <= now_) {
        const auto message = std::move(messages_.begin()->second);
        messages_.erase(messages_.begin());
        message();
      }
      if (now_ >= next_poll_) {
        next_poll_ = now_ + QuotaClient::kPollInterval;
        for (auto& [name, node] : nodes_) {
          node.client->Poll();
        }
      }
      CheckWindows();
    }
  }

  std::size_t asked(const std::string& account) { return asked_[account]; }
  std::size_t admitted(const std::string& account) { return admitted_count_[account]; }
  const std::optional<QuotaVerdict>& last() const { return last_; }
  QuotaClient& client(const std::string& node) { return *nodes_.at(node).client; }
  void set_loss(double share) { loss_ = share; }
  std::mt19937_64& random() { return random_; }
  std::size_t messages_sent() const { return messages_sent_; }

 private:
  struct Node {
    std::unique_ptr<QuotaClient> client;
    bool is_cut = false;
  };

  void Send(const std::string& node, std::function<void()> message) {
    ++messages_sent_;
    const bool is_lost = std::uniform_real_distribution<>(0, 1)(random_) < loss_;
    if (!nodes_.at(node).is_cut && !is_lost) {
      messages_.emplace(now_ + milliseconds(1 + random_() % 8), std::move(message));
    }
  }

  void Deliver(const directory::QuotaRequest& request) {
    if (!has_owner_) {
      return;
    }
    const directory::QuotaAnswer answer = owner_->Handle(request, now_);
    Send(request.node,
         [this, answer, node = request.node] { nodes_.at(node).client->HandleAnswer(answer); });
  }

  void CheckWindows() {
    for (const declaration::ClientAccount& account : accounts_) {
      std::deque<base::TimePoint>& admitted = admitted_[account.name];
      while (!admitted.empty() && admitted.front() <= now_ - QuotaOptions().window) {
        admitted.pop_front();
      }
      const double quota = account.quota.rate * 5 + account.quota.burst;
      ASSERT_LE(static_cast<double>(admitted.size()), quota * 1.1 + 20)
          << account.name << " at "
          << std::chrono::duration_cast<milliseconds>(now_.time_since_epoch()).count();
    }
  }

  std::mt19937_64 random_;
  std::vector<declaration::ClientAccount> accounts_;
  base::TimePoint now_{seconds(1000)};
  base::TimePoint next_poll_{};
  std::map<std::string, Node> nodes_;
  std::unique_ptr<QuotaOwner> owner_;
  bool has_owner_ = true;
  double loss_ = 0;
  std::multimap<base::TimePoint, std::function<void()>> messages_;
  std::size_t messages_sent_ = 0;
  std::map<std::string, std::deque<base::TimePoint>> admitted_;
  std::map<std::string, std::size_t> asked_;
  std::map<std::string, std::size_t> admitted_count_;
  std::optional<QuotaVerdict> last_;
};

std::vector<declaration::ClientAccount> Accounts() {
  return {{"large", {"k1"}, std::nullopt, {700, 700}},
          {"small", {"k2"}, std::nullopt, {4, 4}},
          {"free", {"k3"}, std::nullopt, {0, 0}}};
}

std::string NodeName(std::size_t number) { return "n" + std::to_string(number); }

// Guards against refusing what stays within the quota, in particular where all callers of an
// account use one node, whose equal share of the rate would be far too small.
TEST(QuotaTest, ServesTheQuotaWhereverItIsUsed) {
  Fleet fleet(1, 90, Accounts());
  fleet.Advance(seconds(6));
  for (int i = 0; i < 1000; ++i) {
    fleet.Ask("n7", "small");  // 3.3 per second, at one node.
    for (int request = 0; request < 135; ++request) {
      fleet.Ask(NodeName(fleet.random()() % 90), "large");  // 450 per second.
    }
    fleet.Advance(milliseconds(300));
    if (i == 100) {
      break;
    }
  }
  EXPECT_GE(fleet.admitted("small"), fleet.asked("small") * 98 / 100);
  EXPECT_GE(fleet.admitted("large"), fleet.asked("large") * 98 / 100);
}

// Guards against a quota that is exceeded when an account sends many times its usual load at once
// at all nodes, and against one that is left unused meanwhile.
TEST(QuotaTest, KeepsTheQuotaInASurge) {
  Fleet fleet(2, 90, Accounts());
  fleet.Advance(seconds(6));
  for (int i = 0; i < 1500; ++i) {
    for (int request = 0; request < 17; ++request) {
      fleet.Ask(NodeName(fleet.random()() % 90), "large");  // 3,400 per second.
    }
    fleet.Ask(NodeName(fleet.random()() % 90), "small");  // 200 per second.
    fleet.Advance(kStep);
  }
  EXPECT_GE(fleet.admitted("large"), 7.5 * 700 * 0.9);
  EXPECT_GE(fleet.admitted("small"), 7.5 * 4 * 0.9);
  EXPECT_EQ(fleet.last()->outcome, QuotaOutcome::kExceeded);
  EXPECT_GT(fleet.last()->retry_after, base::Duration::zero());
}

// Guards against a quota that is spent twice when the owner is lost: by the nodes' own shares and
// by the next owner, which does not know them.
TEST(QuotaTest, KeepsTheQuotaWhenTheOwnerIsLost) {
  for (std::uint32_t seed = 1; seed <= 5; ++seed) {
    Fleet fleet(seed, 90, Accounts());
    const auto load = [&](int steps) {
      for (int i = 0; i < steps; ++i) {
        for (int request = 0; request < 8; ++request) {
          fleet.Ask(NodeName(fleet.random()() % 90), "large");
        }
        fleet.Ask(NodeName(fleet.random()() % 90), "small");
        fleet.Advance(kStep);
      }
    };
    fleet.Advance(seconds(6));
    load(200);
    fleet.LoseOwner();
    const std::size_t before = fleet.admitted("large");
    load(400);
    // The nodes' own shares, which begin after half a second, carry the account while there is no
    // owner.
    EXPECT_GE(static_cast<double>(fleet.admitted("large") - before), 0.9 * 1.5 * 700);
    fleet.ElectOwner();
    load(1200);
    fleet.LoseOwner();
    load(100);
    fleet.ElectOwner();
    load(400);
  }
}

// Guards against a node that goes on spending after it was cut off, beside what the others get.
TEST(QuotaTest, KeepsTheQuotaWhileNodesAreCutOff) {
  Fleet fleet(6, 30, Accounts());
  fleet.set_loss(0.02);
  fleet.Advance(seconds(6));
  for (int i = 0; i < 2400; ++i) {
    for (int request = 0; request < 5; ++request) {
      fleet.Ask(NodeName(fleet.random()() % 30), "large");
    }
    fleet.Ask(NodeName(fleet.random()() % 30), "small");
    if (i % 400 == 100 || i % 400 == 300) {
      for (std::size_t node = 0; node < 20; ++node) {
        fleet.set_cut(NodeName(node), i % 400 == 100);
      }
    }
    fleet.Advance(kStep);
  }
}

// Guards against a node that has lost the owner for good and serves an account for ever.
TEST(QuotaTest, ANodeCutOffForLongRefusesLimitedAccounts) {
  Fleet fleet(7, 3, Accounts());
  fleet.Advance(seconds(6));
  fleet.Ask("n0", "large");
  fleet.Advance(milliseconds(300));
  fleet.set_cut("n0", true);
  for (int i = 0; i < 10; ++i) {
    fleet.Ask("n0", "large");
    fleet.Advance(milliseconds(500));
  }
  fleet.Ask("n0", "large");
  fleet.Advance(milliseconds(400));
  EXPECT_EQ(fleet.last()->outcome, QuotaOutcome::kUnknown);
  fleet.Ask("n0", "free");
  EXPECT_EQ(fleet.last()->outcome, QuotaOutcome::kAdmitted);
  fleet.set_cut("n0", false);
  fleet.Advance(seconds(1));
  fleet.Ask("n0", "large");
  fleet.Advance(milliseconds(100));
  EXPECT_EQ(fleet.last()->outcome, QuotaOutcome::kAdmitted);
}

// Guards against the loss of the quota of requests that an upstream did not run.
TEST(QuotaTest, AReturnedTokenIsUsedAgain) {
  Fleet fleet(8, 1, {{"tiny", {"k"}, std::nullopt, {0.5, 1}}});
  fleet.Advance(seconds(6));
  fleet.Ask("n0", "tiny");
  fleet.Advance(milliseconds(50));
  ASSERT_EQ(fleet.admitted("tiny"), 1U);
  fleet.client("n0").Return("tiny");
  fleet.Ask("n0", "tiny");
  EXPECT_EQ(fleet.admitted("tiny"), 2U);
}

// Guards against a lowered limit that tokens of the earlier one outlive.
TEST(QuotaTest, ALoweredLimitAppliesAtOnce) {
  QuotaOwner owner{QuotaOptions{}};
  base::TimePoint now{seconds(100)};
  owner.BeginTerm(now);
  owner.SetAccounts({{"a", {"k"}, std::nullopt, {100, 100}}}, now);
  now += seconds(6);
  directory::QuotaRequest request;
  request.node = "n";
  request.nodes = 1;
  request.uses = {{"a", 0, 0, 0}};
  owner.Handle(request, now);
  now += seconds(2);
  owner.SetAccounts({{"a", {"k"}, std::nullopt, {5, 2}}}, now);
  request.uses = {{"a", 100, 100, 0}};
  EXPECT_LE(owner.Handle(request, now).grants.at(0).granted, QuotaOptions().BucketSize({5, 2}));
}

}  // namespace
}  // namespace borageloft::quota
