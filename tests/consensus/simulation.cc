#include "tests/consensus/simulation.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

namespace borageloft::consensus {

using std::chrono::microseconds;
using std::chrono::milliseconds;

Simulation::Simulation(std::uint64_t seed) : random_(base::SeededRandom(seed)) {
  options_.election_timeout = milliseconds(100);
  options_.heartbeat_interval = milliseconds(20);
  options_.max_append_bytes = 200;
  options_.max_in_flight_bytes = 1000;
  options_.max_apply_bytes = 500;
  options_.snapshot_chunk_bytes = 256;
  options_.retained_entries = base::DrawBelow(random_, 100);
  options_.catch_up_entries = 16;
  snapshot_every_ = 100 + base::DrawBelow(random_, 300);
  latency_us_ = 1000 + base::DrawBelow(random_, 40'000);
  fault_one_in_ = 100 + base::DrawBelow(random_, 1500);
  std::vector<std::string> names;
  const std::size_t size = 3 + base::DrawBelow(random_, 3);
  for (std::size_t i = 0; i < size; ++i) {
    names.push_back(fmt::format("host-{}", i));
  }
  const Membership first = Membership::OfVoters(names);
  for (std::size_t i = 0; i < size; ++i) {
    Host& host = hosts_.emplace_back();
    host.name = names[i];
    host.id = i + 1;
    host.clock_percent = 60 + static_cast<std::int64_t>(base::DrawBelow(random_, 80));
    host.used_ids.insert(host.id);
    host.disk = PersistedState::ForBootstrap(host.id, first);
    Start(host);
  }
}

void Simulation::Step() {
  now_ += microseconds(base::DrawBelow(random_, 1000));
  RunHost(AnyHost());
  if (Chance(4)) {
    SubmitRequest();
  }
  if (Chance(20)) {
    RepairMembership();
  }
  if (!is_healed_ && Chance(fault_one_in_)) {
    InjectFault();
  }
}

void Simulation::HealAndConverge() {
  is_healed_ = true;
  blocked_until_.clear();
  const auto is_converged = [&] {
    return std::all_of(hosts_.begin(), hosts_.end(), [&](Host& host) {
      return host.replica && host.replica->membership().IsVoter(host.id) &&
             host.replica->membership().members().size() == hosts_.size() &&
             host.replica->commit() + 20 >= applied_.size();
    });
  };
  const Index goal = applied_.size() + 50;
  const base::TimePoint deadline = now_ + std::chrono::seconds(60);
  while (!is_converged() || applied_.size() < goal) {
    Step();
    Require(now_ < deadline, "group did not converge after all faults ended");
  }
}

Simulation::Host* Simulation::FindHost(ReplicaId id) {
  const auto found =
      std::find_if(hosts_.begin(), hosts_.end(), [&](const Host& host) { return host.id == id; });
  return found == hosts_.end() ? nullptr : &*found;
}

Simulation::Host* Simulation::Leader() {
  Host* leader = nullptr;
  for (Host& host : hosts_) {
    if (host.replica && host.replica->is_leader() &&
        (leader == nullptr || host.replica->term() > leader->replica->term())) {
      leader = &host;
    }
  }
  return leader;
}

void Simulation::RunHost(Host& host) {
  if (!host.replica) {
    if (host.id != kNoReplica && now_ >= host.down_until) {
      Start(host);
    }
    return;
  }
  if (!is_healed_ && now_ < host.paused_until) {
    return;
  }
  // A resumed host may handle old messages, proposals and reads before its next tick.
  if (Chance(2)) {
    host.replica->Tick(TimeAt(host));
  }
  Deliver(host);
  CheckInvariants(host);
  ProcessReady(host);
  if (host.replica) {
    CheckInvariants(host);
  }
}

void Simulation::Deliver(Host& host) {
  std::size_t budget = 4;
  for (auto it = network_.begin(); it != network_.end() && it->first <= now_ && budget > 0;) {
    Message message = DecodeMessage(it->second);
    if (message.to == host.id) {
      host.replica->Step(std::move(message));
      --budget;
      it = network_.erase(it);
    } else {
      // Messages to hosts that are down or have no replica id are lost.
      const Host* to = FindHost(message.to);
      it = to == nullptr || !to->replica ? network_.erase(it) : std::next(it);
    }
  }
}

base::TimePoint Simulation::TimeAt(const Host& host) const {
  return base::TimePoint(now_.time_since_epoch() * host.clock_percent / 100);
}

void Simulation::ProcessReady(Host& host) {
  if (!host.ready) {
    host.ready = host.replica->TakeReady();
    host.is_persisted = false;
  } else if (!host.is_persisted) {
    Persist(host, /*is_torn=*/false);
  } else {
    FinishReady(host);
  }
}

void Simulation::Persist(Host& host, bool is_torn) {
  const Ready& ready = *host.ready;
  // A torn write stops after a random number of write steps.
  const std::size_t steps = ready.entries.size() + 5;
  std::size_t budget = is_torn ? base::DrawBelow(random_, steps) : steps;
  const auto take_step = [&] { return budget > 0 && budget-- > 0; };
  std::vector<Entry>& stored = host.disk.entries;
  if (ready.hard_state && take_step()) {
    host.disk.hard_state = *ready.hard_state;
  }
  if (ready.snapshot && take_step()) {
    host.disk.snapshot = ready.snapshot;
    stored.clear();
  }
  if (!ready.entries.empty() && take_step()) {
    const Index first = ready.entries.front().index;
    std::erase_if(stored, [&](const Entry& entry) { return entry.index >= first; });
    for (const Entry& entry : ready.entries) {
      if (!take_step()) {
        break;
      }
      stored.push_back(DecodeEntry(EncodeEntry(entry)));
    }
  }
  host.is_persisted = true;
}

void Simulation::FinishReady(Host& host) {
  const Ready ready = std::move(*host.ready);
  host.ready.reset();
  if (ready.snapshot) {
    const std::string& data = ready.snapshot->data;
    host.applied = ready.snapshot->index;
    host.digest = std::stoull(data);
    Require(host.applied < applied_.size() && applied_[host.applied].digest == host.digest,
            "installed snapshot differs from the committed entries");
    ++counts_.snapshots_installed;
  }
  for (const Message& message : ready.messages) {
    Send(host, message);
  }
  for (const Entry& entry : ready.committed) {
    Apply(host, entry);
  }
  for (const ReadState& read : ready.read_states) {
    const auto found = reads_.find(read.context);
    Require(found != reads_.end(), "read completed twice");
    Require(!read.is_confirmed || read.index >= found->second,
            "confirmed read has an index below an earlier commit");
    counts_.reads += read.is_confirmed ? 1 : 0;
    reads_.erase(found);
  }
  host.replica->Advance(ready.receipt);
  if (host.applied >= host.disk.snapshot->index + snapshot_every_) {
    TakeSnapshot(host);
  }
}

void Simulation::Apply(Host& host, const Entry& entry) {
  Require(entry.index == host.applied + 1, "entries applied out of order");
  host.applied = entry.index;
  host.digest = base::Hash(entry.data, host.digest + entry.term);
  if (entry.index == applied_.size()) {
    applied_.push_back({entry.term, host.replica->term(), host.digest});
    ++counts_.commits;
  }
  Require(applied_[entry.index].term == entry.term && applied_[entry.index].digest == host.digest,
          "two replicas committed different entries at the same index");
}

void Simulation::TakeSnapshot(Host& host) {
  std::string data = fmt::format("{} ", host.digest);
  data.append(base::DrawBelow(random_, 2000), 'x');
  const SnapshotPointer snapshot = host.replica->MakeSnapshot(host.applied, std::move(data));
  host.disk.snapshot = std::make_shared<const Snapshot>(DecodeSnapshot(EncodeSnapshot(*snapshot)));
  std::erase_if(host.disk.entries,
                [&](const Entry& entry) { return entry.index <= snapshot->index; });
  host.replica->Compact(snapshot);
}

void Simulation::Send(Host& host, const Message& message) {
  const auto* request = std::get_if<VoteRequest>(&message.body);
  const auto* response = std::get_if<VoteResponse>(&message.body);
  // Only a pre-vote request and its grant carry a term that the sender has not entered.
  const bool is_pre_vote = (request != nullptr && request->is_pre_vote) ||
                           (response != nullptr && response->is_pre_vote && response->is_granted);
  Require(is_pre_vote || message.term <= host.disk.hard_state.term,
          "message sent before its term was durable");
  if (response != nullptr && response->is_granted && !response->is_pre_vote) {
    const auto [found, is_new] = votes_.try_emplace({message.from, message.term}, message.to);
    Require(is_new || found->second == message.to,
            "replica voted for two candidates in the same term");
    // A later durable term also rules out another vote in this term.
    const HardState& durable = host.disk.hard_state;
    Require(
        durable.term > message.term || (durable.term == message.term && durable.vote == message.to),
        "vote granted before it was durable");
  }
  const auto blocked = blocked_until_.find({message.from, message.to});
  const bool is_blocked = blocked != blocked_until_.end() && now_ < blocked->second;
  if (is_blocked || (!is_healed_ && Chance(30))) {
    return;
  }
  const std::string bytes = EncodeMessage(message);
  for (int copies = !is_healed_ && Chance(30) ? 2 : 1; copies > 0; --copies) {
    const std::uint64_t spread = !is_healed_ && Chance(40) ? 300'000 : latency_us_;
    network_.emplace(now_ + microseconds(base::DrawBelow(random_, spread)), bytes);
  }
}

void Simulation::CheckInvariants(Host& host) {
  const Replica& replica = *host.replica;
  Require(replica.commit() >= host.seen_commit, "committed index decreased");
  host.seen_commit = replica.commit();
  Require(host.applied <= replica.commit(), "uncommitted entry applied");
  if (replica.is_leader() && replica.term() != host.seen_leader_term) {
    host.seen_leader_term = replica.term();
    CheckNewLeader(host);
  }
}

void Simulation::CheckNewLeader(const Host& host) {
  const Replica& replica = *host.replica;
  ++counts_.leaders;
  const auto [found, is_new] = leaders_.try_emplace(replica.term(), replica.id());
  Require(is_new || found->second == replica.id(), "two leaders in the same term");
  for (Index index = applied_.size() - 1; index > replica.snapshot_index(); --index) {
    if (applied_[index].first_applied_term < replica.term()) {
      Require(replica.TermAt(index) == applied_[index].term, "new leader lacks committed entries");
      return;
    }
  }
}

void Simulation::Start(Host& host) {
  host.ready.reset();
  host.applied = host.disk.snapshot->index;
  host.digest = host.applied == 0 ? 0 : std::stoull(host.disk.snapshot->data);
  host.seen_commit = host.applied;
  host.seen_leader_term = 0;
  host.replica.emplace(options_, base::SeededRandom(random_()), host.disk, TimeAt(host));
}

void Simulation::Crash(Host& host, bool loses_disk) {
  if (host.replica && host.ready && !host.is_persisted && Chance(2)) {
    Persist(host, /*is_torn=*/true);
  }
  host.replica.reset();
  host.ready.reset();
  host.down_until = now_ + milliseconds(base::DrawBelow(random_, Chance(10) ? 5000 : 300));
  ++counts_.restarts;
  if (loses_disk) {
    host.id = kNoReplica;
    ++counts_.lost_disks;
  }
}

void Simulation::InjectFault() {
  // Half of the faults hit the leader, because most races need a change of leader.
  Host* leader = Leader();
  Host& host = leader != nullptr && Chance(2) ? *leader : AnyHost();
  switch (base::DrawBelow(random_, 7)) {
    case 0:
    case 1:
      Crash(host, /*loses_disk=*/false);
      break;
    case 2: {
      // If a second disk is lost before the first host is replaced, the group may lose its quorum
      // for good. Only crashes and partitions may therefore overlap with a repair.
      const bool is_fully_repaired =
          leader != nullptr && !leader->replica->HasPendingMembership() &&
          leader->replica->membership().voter_count() == hosts_.size() &&
          std::all_of(hosts_.begin(), hosts_.end(), [&](const Host& other) {
            return other.id != kNoReplica && leader->replica->membership().IsVoter(other.id);
          });
      if (is_fully_repaired) {
        Crash(host, /*loses_disk=*/true);
      }
      break;
    }
    case 3:
    case 4: {
      const base::TimePoint until =
          now_ + milliseconds(base::DrawBelow(random_, Chance(5) ? 10'000 : 500));
      const bool is_one_way = Chance(2);
      for (const Host& other : hosts_) {
        if (other.id != host.id && !Chance(4)) {
          blocked_until_[{host.id, other.id}] = until;
          if (!is_one_way) {
            blocked_until_[{other.id, host.id}] = until;
          }
        }
      }
      break;
    }
    case 5:
      host.paused_until = now_ + milliseconds(base::DrawBelow(random_, 1000));
      break;
    default:
      if (leader != nullptr) {
        counts_.transfers += leader->replica->TransferLeadership() ? 1 : 0;
      }
  }
}

void Simulation::SubmitRequest() {
  Host& host = AnyHost();
  if (!host.replica) {
    return;
  }
  if (Chance(3)) {
    // Every entry applied on any host was committed before this read.
    if (host.replica->RequestRead(++sequence_)) {
      reads_[sequence_] = applied_.size() - 1;
    }
    return;
  }
  // Several hosts may act as leader and append different commands at the same index.
  std::string command = fmt::format("{}:{}", host.name, ++sequence_);
  command.append(base::DrawBelow(random_, 60), 'c');
  host.replica->Propose(std::move(command));
}

void Simulation::RepairMembership() {
  Host* leader = Leader();
  if (leader == nullptr || leader->replica->HasPendingMembership()) {
    return;
  }
  Replica& replica = *leader->replica;
  const auto propose = [&](MembershipChangeKind kind, ReplicaId id, const std::string& name) {
    return replica.ProposeMembership({kind, id, name}).status == ProposalStatus::kAppended;
  };
  std::set<std::string> present;
  const std::map<ReplicaId, Member> members = replica.membership().members();
  for (const auto& [id, member] : members) {
    Host& host = *std::find_if(hosts_.begin(), hosts_.end(), [&](const Host& candidate) {
      return candidate.name == member.host;
    });
    if (host.id == kNoReplica && !host.used_ids.contains(id)) {
      host.id = id;
      host.used_ids.insert(id);
      host.disk = PersistedState::ForJoin(id);
    }
    if (host.id != id && propose(MembershipChangeKind::kRemove, id, "")) {
      return;
    }
    if (host.id == id) {
      present.insert(host.name);
      if (!member.is_voter && replica.HasCaughtUp(id) &&
          propose(MembershipChangeKind::kPromoteLearner, id, "")) {
        ++counts_.promotions;
        // A second failure right after the repair.
        if (!is_healed_ && Chance(2)) {
          Crash(AnyHost(), /*loses_disk=*/false);
        }
        return;
      }
    }
  }
  for (const Host& host : hosts_) {
    if (!present.contains(host.name)) {
      propose(MembershipChangeKind::kAddLearner, kNoReplica, host.name);
      return;
    }
  }
}

void Simulation::Require(bool condition, const char* what) const {
  if (!condition) {
    throw InvariantFailure(what);
  }
}

}  // namespace borageloft::consensus
