#include "libraries/node/control_group.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "tests/node/cluster.h"

namespace borageloft::node {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kGroup = "test";

/** Three control hosts with real storage; their state machine counts commands. */
class ControlGroupTest : public ::testing::Test {
 protected:
  struct Host {
    std::unique_ptr<TestHost> base;
    std::unique_ptr<storage::DataFolder> folder;
    std::atomic<int> applied = 0;
    std::unique_ptr<ControlGroup> group;
    std::unique_ptr<GroupClient> client;
  };

  void SetUp() override {
    base::ReplaceLogSink([](std::string_view) {});
  }
  void TearDown() override {
    for (const std::string& name : names_) {
      StopHost(name);
    }
    base::ReplaceLogSink({});
  }

  void StartHost(const std::string& name) {
    Host& host = hosts_[name];
    host.applied = 0;
    host.base = std::make_unique<TestHost>(network_, name, names_);
    host.folder =
        std::make_unique<storage::DataFolder>(file_system_, (folder_.path() / name).string());
    replication::StateMachine machine;
    machine.apply = [&host](consensus::Index, const std::string&) {
      return std::to_string(++host.applied);
    };
    machine.snapshot = [&host] { return std::to_string(host.applied); };
    machine.restore = [&host](const std::string& data) {
      host.applied = data.empty() ? 0 : std::stoi(data);
    };
    host.group = std::make_unique<ControlGroup>(host.base->services(), *host.folder,
                                                host.base->hub(), kGroup, names_, machine);
    host.client = std::make_unique<GroupClient>(host.base->services(), host.base->hub(), kGroup,
                                                client_hosts_);
    host.group->Start();
    host.base->RunTicks([&host] {
      host.group->Tick();
      host.client->Tick();
    });
  }

  void StopHost(const std::string& name) {
    const auto found = hosts_.find(name);
    if (found != hosts_.end() && found->second.base) {
      found->second.base->Stop();
      found->second.client.reset();
      found->second.group.reset();
      found->second.folder.reset();
      found->second.base.reset();
    }
  }

  void EraseFiles(const std::string& name) { std::filesystem::remove_all(folder_.path() / name); }

  void StartAll() {
    for (const std::string& name : names_) {
      StartHost(name);
    }
    ASSERT_TRUE(Eventually([this] { return !Leader().empty(); }));
  }

  std::string Leader() {
    for (auto& [name, host] : hosts_) {
      if (host.group && host.group->status().host.soft_state.role == consensus::Role::kLeader) {
        return name;
      }
    }
    return "";
  }

  CommandOutcome Command(const std::string& name, base::Duration patience = seconds(20)) {
    return hosts_[name].client->SendAndWait("x", base::SystemClock()() + patience);
  }

  TemporaryFolder folder_;
  const storage::FileSystem file_system_ = storage::PosixFileSystem();
  MemoryNetwork network_;
  const std::vector<std::string> names_ = {"a", "b", "c"};
  std::vector<std::string> client_hosts_ = names_;
  std::map<std::string, Host> hosts_;
};

// Guards against two groups of one name, each founded by hosts that did not see the others.
TEST_F(ControlGroupTest, FoundingWaitsForAllHosts) {
  StartHost("a");
  StartHost("b");
  std::this_thread::sleep_for(seconds(1));
  EXPECT_EQ(hosts_["a"].group->status().host.state, replication::HostState::kCreated);
  EXPECT_EQ(Leader(), "");
  StartHost("c");
  EXPECT_TRUE(Eventually([this] { return !Leader().empty(); }));
}

// Guards against a second vote in one term, cast by a host that forgot the first with its disk.
TEST_F(ControlGroupTest, HostWithoutFilesJoinsUnderNewId) {
  StartAll();
  ASSERT_EQ(Command("a").result, ForwardResult::kCommitted);
  const auto old_id = hosts_["c"].group->status().host.replica;
  StopHost("c");
  EraseFiles("c");
  StartHost("c");
  ASSERT_TRUE(Eventually([&] {
    return hosts_["c"].group->status().host.state == replication::HostState::kRunning &&
           hosts_["c"].applied == 1;
  }));
  EXPECT_NE(hosts_["c"].group->status().host.replica, old_id);
  // The old id must not count towards a quorum any more.
  std::vector<std::string> members;
  EXPECT_TRUE(Eventually([&] {
    const std::string leader = Leader();
    if (!leader.empty()) {
      members = hosts_[leader].group->status().members;
    }
    return std::count(members.begin(), members.end(), "c") == 1 && members.size() == 3;
  })) << ::testing::PrintToString(members);
}

// Guards against a restarted host that forgets what it stored.
TEST_F(ControlGroupTest, RestartedHostsKeepCommands) {
  StartAll();
  ASSERT_EQ(Command("b").value, "1");
  for (const std::string& name : names_) {
    StopHost(name);
  }
  StartAll();
  EXPECT_EQ(Command("b").value, "2");
}

// Guards against a client that stays with a follower or with a host that is gone.
TEST_F(ControlGroupTest, ClientFindsNewLeader) {
  StartAll();
  const std::string leader = Leader();
  const std::string other = leader == "a" ? "b" : "a";
  ASSERT_EQ(Command(other).result, ForwardResult::kCommitted);
  network_.CutOff({leader});
  EXPECT_EQ(Command(other).result, ForwardResult::kCommitted);
  network_.CutOff({});
}

// Guards against "no effect" for a command that a cut-off leader may still commit.
TEST_F(ControlGroupTest, ClientReportsUnknownForCutOffLeader) {
  StartAll();
  const std::string leader = Leader();
  ASSERT_EQ(Command(leader).result, ForwardResult::kCommitted);
  network_.CutOff({leader});
  EXPECT_EQ(Command(leader, milliseconds(100)).result, ForwardResult::kUnknown);
}

// Guards against "unknown" where every host that was asked has refused the command.
TEST_F(ControlGroupTest, ClientReportsNoEffectWhenAllRefuse) {
  client_hosts_ = {"c"};
  StartAll();
  network_.CutOff({"c"});
  ASSERT_TRUE(Eventually([this] {
    return hosts_["c"].group->status().host.soft_state.role != consensus::Role::kLeader;
  }));
  EXPECT_EQ(Command("c", milliseconds(200)).result, ForwardResult::kNoEffect);
}

}  // namespace
}  // namespace borageloft::node
