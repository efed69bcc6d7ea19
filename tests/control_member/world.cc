#include "tests/control_member/world.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace borageloft::control_member {

namespace {

constexpr std::chrono::milliseconds kStep{10};
constexpr std::chrono::milliseconds kMaximumStopTime{1500};
const std::vector<std::string> kSeeds = {"c1", "c2", "c3"};

}  // namespace

World::World(std::uint64_t seed) : random(base::SeededRandom(seed)) {
  base::ReplaceLogSink([](std::string_view) {});
}

World::~World() {
  hosts_.clear();
  base::ReplaceLogSink({});
}

void World::Start(const std::string& address, bool is_first_start) {
  Host& host = hosts_[address];
  if (!host.disk) {
    host.disk = std::make_unique<storage::FaultyFileSystem>(random());
  }
  host.hooks = std::make_unique<storage::FileSystem>(host.disk->Hooks());
  host.folder = std::make_unique<storage::DataFolder>(*host.hooks, "/data");
  host.timers = std::make_unique<timer::TimerService>([this] { return now_; });
  host.incarnation = ++last_incarnation_;
  MemberOptions options;
  options.address = address;
  options.seeds = kSeeds;
  options.is_first_start = is_first_start;
  options.tolerated_losses = 2;
  MemberHooks hooks;
  hooks.clock = [this] { return now_; };
  hooks.random = base::SeededRandom(random());
  hooks.send = [this, address](const std::string& to, std::string bytes) {
    const auto target = hosts_.find(to);
    const bool is_lost = target == hosts_.end() || hosts_[address].is_partitioned ||
                         target->second.is_partitioned || base::DrawBelow(random, 100) < 2;
    if (!is_lost) {
      packets_.push_back({now_ + std::chrono::milliseconds(1 + base::DrawBelow(random, 12)),
                          address, to, std::move(bytes), target->second.incarnation});
    }
  };
  hooks.on_declaration = [] {};
  host.member =
      std::make_unique<Member>(std::move(options), std::move(hooks), *host.folder, *host.timers);
  host.member->Start();
}

void World::Stop(const std::string& address) {
  bool is_stopped = false;
  hosts_.at(address).member->Shutdown([&is_stopped] { is_stopped = true; });
  AdvanceUntil(kMaximumStopTime, [&is_stopped] { return is_stopped; });
  Kill(address);
}

void World::Kill(const std::string& address, std::optional<storage::PowerLoss> loss) {
  Host& host = hosts_.at(address);
  host.member.reset();
  host.timers.reset();
  host.folder.reset();
  host.incarnation = ++last_incarnation_;
  if (loss && host.disk) {
    host.disk->LosePower(*loss);
  }
}

void World::WipeDisk(const std::string& address) {
  Kill(address);
  hosts_.at(address).disk.reset();
}

void World::FailDisk(const std::string& address, std::uint64_t operation) {
  hosts_.at(address).disk->FailAt(operation);
}

void World::SetPartitioned(const std::string& address, bool is_partitioned) {
  hosts_.at(address).is_partitioned = is_partitioned;
}

void World::Advance(std::chrono::milliseconds time) {
  const base::TimePoint end = now_ + time;
  while (now_ < end) {
    now_ += kStep;
    Deliver();
    for (auto& [address, host] : hosts_) {
      if (host.timers) {
        host.timers->RunDue();
      }
    }
  }
}

void World::Deliver() {
  for (std::size_t count = packets_.size(); count > 0; --count) {
    Packet packet = std::move(packets_.front());
    packets_.pop_front();
    Host& target = hosts_.at(packet.to);
    if (packet.due > now_) {
      packets_.push_back(std::move(packet));
    } else if (target.member && target.incarnation == packet.incarnation) {
      target.member->Receive(packet.from, packet.bytes);
    }
  }
}

std::string World::Leader() const {
  std::string leader;
  consensus::Term term = 0;
  for (const auto& [address, host] : hosts_) {
    if (!host.member) {
      continue;
    }
    const consensus::SoftState state = host.member->status().replica_host.soft_state;
    if (state.role == consensus::Role::kLeader && state.term > term) {
      leader = address;
      term = state.term;
    }
  }
  return leader;
}

std::size_t World::VoterCount() const {
  const std::string leader = Leader();
  return leader.empty() ? 0
                        : hosts_.at(leader).member->status().replica_host.membership.voter_count();
}

bool World::HasAllVoters() const {
  const std::string leader = Leader();
  if (leader.empty()) {
    return false;
  }
  const consensus::Membership membership =
      hosts_.at(leader).member->status().replica_host.membership;
  std::size_t running_voters = 0;
  for (const auto& [address, host] : hosts_) {
    const bool is_voter =
        host.member && membership.IsVoter(host.member->status().replica_host.replica);
    running_voters += is_voter ? 1 : 0;
  }
  return running_voters == 5 && membership.members().size() == 5;
}

void World::ReplaceDeclaration() {
  const std::string leader = Leader();
  if (leader.empty()) {
    return;
  }
  const declaration::Version base = hosts_.at(leader).member->applied().version();
  const declaration::Version version = base + 1 + base::DrawBelow(random, 3) + next_version_++ % 2;
  const std::string text = "declaration " + std::to_string(random());
  hosts_.at(leader).member->Replace({base, version, text},
                                    [this, version, text](ReplaceStatus status) {
                                      if (status == ReplaceStatus::kAccepted) {
                                        // A leader that lost contact may report an older success
                                        // after a newer one.
                                        acknowledged_ = std::max(acknowledged_, version);
                                        texts_[version] = text;
                                      }
                                    });
}

void World::CheckReads() {
  for (auto& [address, host] : hosts_) {
    if (!host.member) {
      continue;
    }
    host.member->ReadNewest([this, minimum_version = acknowledged_,
                             address = address](const declaration::DeclarationRegister* newest) {
      if (newest == nullptr) {
        return;
      }
      EXPECT_GE(newest->version(), minimum_version)
          << "a stale declaration was read at " << address;
      if (const auto text = texts_.find(newest->version()); text != texts_.end()) {
        EXPECT_EQ(newest->text(), text->second);
      }
    });
  }
}

}  // namespace borageloft::control_member
