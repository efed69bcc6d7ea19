#include "libraries/node/ledger_table.h"

#include <gtest/gtest.h>

#include "libraries/node/ledger_layout.h"
#include "tests/node/cluster.h"

namespace borageloft::node {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kNote = R"([note]
number = 1
author = test
[added service pay]
idempotent = no
)";

wire::Request MakeRequest(const std::string& key, std::string body = "x") {
  wire::Request request;
  request.service = "pay";
  request.method = "POST";
  request.path = "/claims";
  request.body = std::move(body);
  request.idempotency_key = key;
  return request;
}

wire::Response MakeAnswer(std::string body) {
  wire::Response response;
  response.outcome = wire::Outcome::kRan;
  response.status = 201;
  response.headers = {{"X-Answer", "yes"}};
  response.body = std::move(body);
  return response;
}

/** Three control hosts with real storage, and gates of two nodes. */
class LedgerTableTest : public ::testing::Test {
 protected:
  struct Control {
    std::unique_ptr<TestHost> base;
    std::unique_ptr<storage::DataFolder> folder;
    std::unique_ptr<LedgerControl> ledger;
  };
  struct Gate {
    std::unique_ptr<TestHost> base;
    std::unique_ptr<LedgerTable> table;
  };

  void SetUp() override {
    base::ReplaceLogSink([](std::string_view) {});
    for (const std::string& name : names_) {
      Control& control = controls_[name];
      control.base = std::make_unique<TestHost>(network_, name, names_);
      control.folder =
          std::make_unique<storage::DataFolder>(file_system_, (folder_.path() / name).string());
      control.ledger = std::make_unique<LedgerControl>(control.base->services(), *control.folder,
                                                       control.base->hub());
      control.ledger->Start();
      control.base->RunTicks([&control] { control.ledger->Tick(); });
    }
    StartGate("n1", 1);
    StartGate("n2", 1);
    // The first grant waits for the founding and the election.
    ASSERT_TRUE(Eventually([this] {
      const auto request = MakeRequest(NewKey());
      if (Acquire("n1", request)) {
        return false;
      }
      Finish("n1", request, MakeAnswer("first"));
      return true;
    }));
  }

  void TearDown() override {
    for (auto& [name, gate] : gates_) {
      StopGate(name);
    }
    for (auto& [name, control] : controls_) {
      control.base->Stop();
      control.ledger.reset();
      control.folder.reset();
    }
    base::ReplaceLogSink({});
  }

  void StartGate(const std::string& name, std::uint64_t incarnation) {
    Gate& gate = gates_[name];
    gate.base = std::make_unique<TestHost>(network_, name, names_);
    gate.table =
        std::make_unique<LedgerTable>(gate.base->services(), gate.base->hub(), incarnation);
    std::vector<settings::Issue> issues;
    gate.table->ApplyPolicy(
        notes::Policy().Apply(notes::ReleaseNote::Parse(kNote, "note"), issues));
    ASSERT_TRUE(issues.empty());
    gate.base->RunTicks([&gate] { gate.table->Tick(); });
  }

  void StopGate(const std::string& name) {
    Gate& gate = gates_[name];
    if (gate.base) {
      gate.table->Stop();
      gate.base->Stop();
      gate.table.reset();
      gate.base.reset();
    }
  }

  std::string NewKey() {
    return ledger::IdempotencyKey::Generate(base::SystemWallClock()(), random_).ToString();
  }

  std::optional<wire::Response> Acquire(const std::string& gate, const wire::Request& request,
                                        base::Duration patience = seconds(5)) {
    return gates_[gate].table->Acquire(request, base::SystemClock()() + patience);
  }

  wire::Response Finish(const std::string& gate, const wire::Request& request,
                        wire::Response response) {
    return gates_[gate].table->Finish(request, std::move(response),
                                      base::SystemClock()() + seconds(5));
  }

  TemporaryFolder folder_;
  const storage::FileSystem file_system_ = storage::PosixFileSystem();
  MemoryNetwork network_;
  const std::vector<std::string> names_ = {"a", "b", "c"};
  std::map<std::string, Control> controls_;
  std::map<std::string, Gate> gates_;
  base::Random random_ = base::SeededRandom(7);
};

// Guards against a request that is admitted under a key that the ledger cannot bound in time.
TEST_F(LedgerTableTest, RefusesBadKeys) {
  const auto malformed = Acquire("n1", MakeRequest("not-a-key"));
  ASSERT_TRUE(malformed.has_value());
  EXPECT_EQ(malformed->outcome, wire::Outcome::kNotRun);
  EXPECT_EQ(malformed->reason, "key_malformed");
  const auto old_time = base::SystemWallClock()() - std::chrono::hours(25);
  const auto expired =
      Acquire("n1", MakeRequest(ledger::IdempotencyKey::Generate(old_time, random_).ToString()));
  ASSERT_TRUE(expired.has_value());
  EXPECT_EQ(expired->outcome, wire::Outcome::kUnknown);
  EXPECT_EQ(expired->reason, "key_expired");
}

// Guards against a second run of a finished key, at its own gate and at another one.
TEST_F(LedgerTableTest, ResendOfFinishedKeyGetsFirstAnswer) {
  const auto request = MakeRequest(NewKey());
  ASSERT_FALSE(Acquire("n1", request).has_value());
  EXPECT_EQ(Finish("n1", request, MakeAnswer("done")).body, "done");
  for (const char* gate : {"n1", "n2"}) {
    std::optional<wire::Response> answer;
    // The other gate hears of the answer once the ledger has stored it.
    ASSERT_TRUE(Eventually([&] {
      answer = Acquire(gate, request);
      EXPECT_TRUE(answer.has_value());
      return !answer || answer->outcome == wire::Outcome::kRan;
    }));
    ASSERT_TRUE(answer.has_value());
    EXPECT_EQ(answer->status, 201U);
    EXPECT_EQ(answer->body, "done");
    EXPECT_EQ(answer->headers, MakeAnswer("").headers);
  }
  const auto other = Acquire("n1", MakeRequest(request.idempotency_key, "other"));
  ASSERT_TRUE(other.has_value());
  EXPECT_EQ(other->reason, "digest_differs");
}

// Guards against a resend that runs while the first attempt does.
TEST_F(LedgerTableTest, ResendOfRunningKeyJoinsOrIsUnknown) {
  const auto request = MakeRequest(NewKey());
  ASSERT_FALSE(Acquire("n1", request).has_value());
  const auto elsewhere = Acquire("n2", request);
  ASSERT_TRUE(elsewhere.has_value());
  EXPECT_EQ(elsewhere->outcome, wire::Outcome::kUnknown);
  auto joined = std::async(std::launch::async, [&] { return Acquire("n1", request); });
  std::this_thread::sleep_for(milliseconds(50));
  Finish("n1", request, MakeAnswer("done"));
  const auto answer = joined.get();
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->body, "done");
}

// Guards against a second run after one whose outcome is not known.
TEST_F(LedgerTableTest, ResendOfUncertainKeyStaysUnknown) {
  const auto request = MakeRequest(NewKey());
  ASSERT_FALSE(Acquire("n1", request).has_value());
  wire::Response lost;
  lost.outcome = wire::Outcome::kUnknown;
  Finish("n1", request, lost);
  for (const char* gate : {"n1", "n2"}) {
    const auto answer = Acquire(gate, request);
    ASSERT_TRUE(answer.has_value());
    EXPECT_EQ(answer->outcome, wire::Outcome::kUnknown);
  }
}

// Guards against "not run" for a key that another gate may still run.
TEST_F(LedgerTableTest, UnreachedRunIsClosedBeforeItIsToldAsNotRun) {
  const auto request = MakeRequest(NewKey());
  ASSERT_FALSE(Acquire("n1", request).has_value());
  wire::Response unreached;
  unreached.outcome = wire::Outcome::kNotRun;
  unreached.reason = "upstream_unreachable";
  EXPECT_EQ(Finish("n1", request, unreached).outcome, wire::Outcome::kNotRun);
  const auto answer = Acquire("n2", request);
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->reason, "key_not_run");
}

// Guards against two grants of one key for gates that ask at the same time.
TEST_F(LedgerTableTest, RacingGatesGetOneGrant) {
  for (int round = 0; round < 20; ++round) {
    const auto request = MakeRequest(NewKey());
    std::atomic<int> runs = 0;
    std::vector<std::jthread> threads;
    for (const char* gate : {"n1", "n1", "n2", "n2"}) {
      threads.emplace_back([&, gate] {
        if (!Acquire(gate, request)) {
          ++runs;
          Finish(gate, request, MakeAnswer("done"));
        }
      });
    }
    threads.clear();
    EXPECT_EQ(runs, 1);
  }
}

// Guards against requests that hang or run without a quorum, and against a gate that stays shut
// after its return.
TEST_F(LedgerTableTest, RefusesWithoutQuorumAndRecovers) {
  network_.CutOff({"n1", "n2"});
  const auto first = Acquire("n1", MakeRequest(NewKey()), milliseconds(100));
  ASSERT_TRUE(first.has_value());
  EXPECT_EQ(first->outcome, wire::Outcome::kUnknown);
  std::optional<wire::Response> later;
  ASSERT_TRUE(Eventually([&] {
    later = Acquire("n1", MakeRequest(NewKey()), milliseconds(100));
    return !later || later->outcome == wire::Outcome::kNotRun;
  }));
  ASSERT_TRUE(later.has_value());
  EXPECT_EQ(later->reason, "no_quorum");
  network_.CutOff({});
  EXPECT_TRUE(Eventually([&] { return !Acquire("n1", MakeRequest(NewKey())).has_value(); }));
}

// Guards against a restarted gate that runs a key again that its earlier life may have run.
TEST_F(LedgerTableTest, RestartedGateDoesNotRunOldKeys) {
  const auto running = MakeRequest(NewKey());
  ASSERT_FALSE(Acquire("n1", running).has_value());
  StopGate("n1");
  StartGate("n1", 2);
  const auto answer = Acquire("n1", running);
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->outcome, wire::Outcome::kUnknown);
  EXPECT_FALSE(Acquire("n1", MakeRequest(NewKey())).has_value());
}

// Guards against nodes that disagree on the voters of a group.
TEST(LedgerLayoutTest, DividesHostsOfEachRegion) {
  settings::NodeSettings settings;
  settings.ledger_groups = 2;
  for (const char* name : {"e", "d", "c", "b", "a"}) {
    settings.control_peers.push_back({name, "r", {}});
  }
  settings.control_peers.push_back({"z", "s", {}});
  const auto layout = LayOutLedgerGroups(settings);
  ASSERT_EQ(layout.size(), 4U);
  EXPECT_EQ(layout[0].name, "ledger-r-1");
  EXPECT_EQ(layout[0].hosts, (std::vector<std::string>{"a", "b", "c"}));
  EXPECT_EQ(layout[1].hosts, (std::vector<std::string>{"d", "e", "a"}));
  EXPECT_EQ(layout[2].hosts, (std::vector<std::string>{"z"}));
  settings.ledger_groups = 1;
  EXPECT_EQ(LayOutLedgerGroups(settings)[0].hosts.size(), 5U);
}

}  // namespace
}  // namespace borageloft::node
