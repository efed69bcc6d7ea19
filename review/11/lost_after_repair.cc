/**
 * @file A core machine is replaced; two others lose their disks, the second of them when the
 * successor has had its time to catch up.
 */

#include <cstdlib>
#include <iostream>
#include <thread>

#include "review/harness-3/deployment.h"

namespace {

using review::Clock;
using review::Machine;
using review::milliseconds;

// `catch_up_s` of the deployment: a removed machine counts as lost until its successor has run for
// this long, and one that was down until this long after it is back.
constexpr milliseconds kCatchUp{4000};
constexpr milliseconds kFirstDiskAfter{1900};
constexpr milliseconds kDown{3000};
constexpr milliseconds kMargin{500};
// `recover_s` of the deployment, from which on the operator reads, and for how long.
constexpr milliseconds kRecover{15000};
constexpr milliseconds kReads{20000};

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

/** @return A started core machine other than the given ones. */
Machine* FindOther(review::Deployment& deployment, const Machine* first, const Machine* second) {
  for (std::size_t i = 0; i + 1 < deployment.cores(); ++i) {
    Machine& machine = deployment.core(i);
    if (machine.process != nullptr && &machine != first && &machine != second) {
      return &machine;
    }
  }
  return nullptr;
}

}  // namespace

int main(int count, char** arguments) {
  if (count != 3) {
    std::cerr << "usage: lost_after_repair FOLDER RECORD\n";
    return kCouldNotRun;
  }
  const char* trouble_text = std::getenv("TROUBLE");
  const bool has_trouble = trouble_text == nullptr || std::string(trouble_text) != "0";
  review::Record record(arguments[2]);
  review::Deployment deployment(record, arguments[1], {"front"}, 1);
  const std::string route =
      R"({"name":"claims","path_prefix":"/claims/","kind":"unsafe","timeout_ms":3000,)"
      R"("target_latency_ms":1000,"priority":0,"service":"front","attempts":2})";
  const std::string first = review::MakeConfiguration(5, route, {"front"});
  const std::string second = review::MakeConfiguration(7, route, {"front"});
  if (!deployment.Start() || deployment.Put(0, first, milliseconds(30000)) != 200 ||
      deployment.Put(5, second, milliseconds(5000)) != 200) {
    return kCouldNotRun;
  }
  std::this_thread::sleep_for(milliseconds(3000));
  Machine* leader = deployment.FindLeader();
  if (leader == nullptr) {
    return kCouldNotRun;
  }
  record.Write(leader->name + " leads");
  if (has_trouble) {
    // A machine that is no seed, if the leader is not that one.
    Machine& removed = deployment.core(leader == &deployment.core(4) ? 3 : 4);
    Machine& successor = deployment.core(deployment.cores() - 1);
    deployment.Remove(removed);
    deployment.StartSpare(successor);
    const Clock::time_point started = Clock::now();
    std::this_thread::sleep_until(started + kFirstDiskAfter);
    deployment.LoseDisk(*leader);
    std::this_thread::sleep_until(started + kCatchUp + kMargin);
    Machine* other = FindOther(deployment, leader, &successor);
    deployment.LoseDisk(*other);
    std::this_thread::sleep_until(started + kFirstDiskAfter + kDown);
    deployment.StartAgain(*leader);
    std::this_thread::sleep_until(started + kCatchUp + kMargin + kDown);
    deployment.StartAgain(*other);
  }
  std::this_thread::sleep_for(kRecover);
  const std::string read = deployment.Read(kReads);
  const bool has_ended = !deployment.Ended().empty();
  record.Write(read == second ? "the newest configuration is read back"
               : read.empty() ? "no configuration is read back"
                              : "another configuration is read back");
  if (has_ended) {
    return kCouldNotRun;
  }
  std::cout << (read == second ? "read back\n" : "not read back\n");
  return read == second ? kHeld : kBroken;
}
