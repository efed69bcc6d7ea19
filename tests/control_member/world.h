#ifndef BORAGELOFT_TESTS_CONTROL_MEMBER_WORLD_H_
#define BORAGELOFT_TESTS_CONTROL_MEMBER_WORLD_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libraries/control_member/control_member.h"
#include "tests/storage/faulty_file_system.h"

namespace borageloft::control_member {

/**
 * Simulates a group of control hosts on a manual clock, with disks that lose unsynced data and a
 * network that delays, loses and partitions messages.
 */
class World {
 public:
  explicit World(std::uint64_t seed);
  ~World();

  /** Starts a host at @p address, with the disk of its previous process if there is one. */
  void Start(const std::string& address, bool is_first_start);
  /** Stops a host's process in order, and kills it once it has stopped or after 1.5 s. */
  void Stop(const std::string& address);
  /** Kills a host's process; if @p loss is given, the machine also loses power. */
  void Kill(const std::string& address, std::optional<storage::PowerLoss> loss = {});
  /** Kills a host's process and replaces its disk by an empty one. */
  void WipeDisk(const std::string& address);
  /** Makes the disk of a host refuse one modifying operation that lies ahead. */
  void FailDisk(const std::string& address, std::uint64_t operation);
  /** Partitions a host from all others, or ends its partition. */
  void SetPartitioned(const std::string& address, bool is_partitioned);

  void Advance(std::chrono::milliseconds time);
  /** Advances until @p condition holds. @return Whether it did within @p limit. */
  template <typename Condition>
  bool AdvanceUntil(std::chrono::milliseconds limit, Condition condition) {
    const base::TimePoint end = now_ + limit;
    while (!condition() && now_ < end) {
      Advance(std::chrono::milliseconds(10));
    }
    return condition();
  }

  /** @return Address of the leader with the highest term, or empty. */
  std::string Leader() const;
  /** Sends the next declaration to the leader, if there is one, and records its acknowledgement. */
  void ReplaceDeclaration();
  /** Checks that every host that answers a read returns a declaration no older than the newest
   * acknowledged one. */
  void CheckReads();

  bool IsRunning(const std::string& address) const { return hosts_.at(address).member != nullptr; }
  Member& member(const std::string& address) { return *hosts_.at(address).member; }
  /** @return Newest acknowledged version, 0 before the first one. */
  declaration::Version acknowledged() const { return acknowledged_; }
  std::size_t VoterCount() const;
  /** @return Whether the group has five members, all of them running voters. */
  bool HasAllVoters() const;

  base::Random random;

 private:
  struct Host {
    std::unique_ptr<storage::FaultyFileSystem> disk;
    std::unique_ptr<storage::FileSystem> hooks;
    std::unique_ptr<storage::DataFolder> folder;
    std::unique_ptr<timer::TimerService> timers;
    std::unique_ptr<Member> member;
    bool is_partitioned = false;
    std::uint64_t incarnation = 0;
  };
  struct Packet {
    base::TimePoint due;
    std::string from;
    std::string to;
    std::string bytes;
    std::uint64_t incarnation = 0;
  };

  void Deliver();

  base::TimePoint now_{std::chrono::seconds(1000)};
  std::map<std::string, Host> hosts_;
  std::deque<Packet> packets_;
  std::uint64_t last_incarnation_ = 0;
  declaration::Version next_version_ = 1;
  declaration::Version acknowledged_ = 0;
  std::map<declaration::Version, std::string> texts_;
};

}  // namespace borageloft::control_member

#endif  // BORAGELOFT_TESTS_CONTROL_MEMBER_WORLD_H_
